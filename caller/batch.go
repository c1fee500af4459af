package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// nameHashBytes is the length of the part of a statement's hash that goes into its name.
const nameHashBytes = 16

// codeOutOfMemory is SQLSTATE out_of_memory.
const codeOutOfMemory = "53200"

// codeConfigurationLimit is SQLSTATE configuration_limit_exceeded.
const codeConfigurationLimit = "53400"

// ErrTerminated reports that the caller has sent Terminate.
const ErrTerminated = errors.ConstError("the caller has closed its session")

// ErrMessageTooLarge reports that a message exceeds the size limit. The rest of the connection can't be read.
const ErrMessageTooLarge = errors.ConstError("the message is over the size limit")

// IncomingBatch is a batch as it was received from the caller, with what is needed to route it.
type IncomingBatch struct {
	// Batch has the messages and prepared statements for the lane, unless Refusal is set.
	Batch egret.Batch

	// Texts are the SQL texts of the statements that the batch binds or sends as simple queries, or, if there are none,
	// of those that it prepares or describes.
	Texts []string

	// Runs reports whether the batch runs a statement. A batch may also only prepare one.
	Runs bool

	// Refusal is the reason why the batch can't be run, or nil if it can.
	Refusal *egret.Failure

	// RefusalSent reports whether the refusal has been sent to the caller already.
	RefusalSent bool

	// changes are the prepared statements that the batch defines and closes, in order.
	changes []preparedChange
}

// preparedChange is the definition or closing of a prepared statement in a batch.
type preparedChange struct {
	// name is the caller's name for the statement.
	name string

	// statement is the definition, or nil if the statement is closed.
	statement *egret.NamedStatement
}

// ReadBatch sends the buffered output and reads a batch. While it waits for the first byte, it fails with ErrDraining when the proxy shuts down,
// unless a transaction is open or the batch has arrived, and with ErrIdleTimeout at idleDeadline if that isn't zero.
// If the proxy is shutting down already, the output stays buffered until it is known whether the caller has sent ahead:
// otherwise a caller that sends its next batch as soon as it has an answer would keep the session open.
func (c *Conn) ReadBatch(inTransaction bool, idleDeadline time.Time) (*IncomingBatch, error) {
	c.memory.endBatch(c.preparedSize.total())
	c.reader.beginWait(inTransaction, idleDeadline)
	b := batchBuilder{
		conn: c,
	}
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return nil, c.readError(err)
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			// It may have been read together with the batch before, whose answer the caller may still read.
			_ = c.Flush()
			return nil, errors.Trace(ErrTerminated)
		}
		if b.handle(m) {
			if c.memory.charged > 0 {
				c.memory.account.SetRunning(true)
			}
			c.memory.account.Admit()
			// The batch may have been read together with the one before.
			return b.batch(), c.Flush()
		}
	}
}

// readError returns the error of a failed read. Its cause is ErrMessageTooLarge for an oversized message, and egret.ErrNoMemory
// if the connection was closed for others.
func (c *Conn) readError(err error) error {
	if c.memory.account.Closed() {
		return errors.Trace(egret.ErrNoMemory)
	}
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return errors.Annotatef(ErrMessageTooLarge, "%d bytes where %d are allowed", tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	}
	return errors.Trace(err)
}

// UpdatePrepared updates the session's prepared statements after a batch has run. parseCompletes is the number of
// ParseComplete messages in the answer: the database has prepared that many statements. UpdatePrepared must not be
// called for a batch that did not run, as it prepares nothing.
func (c *Conn) UpdatePrepared(in *IncomingBatch, parseCompletes int) {
	for _, p := range in.changes {
		if p.statement == nil {
			c.removePrepared(p.name)
			continue
		}
		if parseCompletes == 0 {
			// After the first error the database skips the rest of the batch.
			return
		}
		parseCompletes--
		c.setPrepared(p.name, *p.statement)
	}
}

// batchBuilder assembles a batch from messages.
type batchBuilder struct {
	// conn has the prepared statements and the limits of the session.
	conn *Conn

	// in is the batch so far.
	in IncomingBatch

	// charged is the part of the connection's memory that in.Batch.Messages holds.
	charged int

	// boundQueries and parsedQueries are the texts of the statements that the batch binds, and of those that it parses
	// or describes. A simple query counts as bound.
	boundQueries, parsedQueries []string

	// change is the difference that the batch makes to the size of the session's prepared statements.
	change preparedSize

	// entries is the size of the names and parameter types of the statements that the batch defines and closes.
	entries int

	// unnamedParsed reports whether the batch has a Parse of the unnamed statement.
	unnamedParsed bool
}

// handle adds a message. It returns true when the batch is complete.
func (b *batchBuilder) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		b.in.Runs = true
		b.boundQueries = append(b.boundQueries, m.String)
		b.appendMessage(m)
		return true
	case *pgproto3.Sync:
		b.appendMessage(m)
		return true
	case *pgproto3.Parse:
		b.parse(m)
	case *pgproto3.Bind:
		b.bind(m)
	case *pgproto3.Describe:
		b.describe(m)
	case *pgproto3.Close:
		b.close(m)
	case *pgproto3.Execute:
		b.in.Runs = true
		b.appendMessage(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Sent by a caller whose COPY was refused. PostgreSQL ignores them as well.
	case *pgproto3.Flush:
		b.refuse(egret.CodeUnsupported, "Flush is not offered: end the batch with Sync")
		b.sendRefusal()
	case *pgproto3.FunctionCall:
		b.refuse(egret.CodeUnsupported, "function calls are not offered: use SELECT")
		// The caller sends no Sync after a function call: it already waits for the answer.
		return true
	default:
		b.refuse(egret.CodeUnsupported, "this message is not offered in pooled routes")
	}
	return false
}

func (b *batchBuilder) parse(m *pgproto3.Parse) {
	s := newStatement(m)
	if m.Name == "" {
		b.unnamedParsed = true
		b.recordParse("", s)
		b.appendMessage(m)
		return
	}
	if _, taken := b.find(m.Name); taken {
		b.refuse("42P05", "prepared statement \""+m.Name+"\" already exists")
		return
	}
	if !b.reservePrepared(m.Name, s) {
		return
	}
	b.recordParse(m.Name, s)
	b.addStatement(s)
	m.Name = s.Name
	b.appendMessage(m)
}

// recordParse makes a statement known to the rest of the batch, and later to the session if the database accepts it.
func (b *batchBuilder) recordParse(name string, s egret.NamedStatement) {
	b.parsedQueries = append(b.parsedQueries, s.Query)
	if former, found := b.find(name); found {
		b.change = b.change.minus(preparedSizeOf(name, former))
	}
	b.change = b.change.plus(preparedSizeOf(name, s))
	b.in.changes = append(b.in.changes, preparedChange{
		name:      name,
		statement: &s,
	})
}

func (b *batchBuilder) bind(m *pgproto3.Bind) {
	s, ok := b.lookUp(m.PreparedStatement)
	if !ok {
		return
	}
	b.boundQueries = append(b.boundQueries, s.Query)
	m.PreparedStatement = b.laneName(m.PreparedStatement, s)
	b.appendMessage(m)
}

func (b *batchBuilder) describe(m *pgproto3.Describe) {
	if m.ObjectType == 'S' {
		s, ok := b.lookUp(m.Name)
		if !ok {
			return
		}
		if !slices.Contains(b.parsedQueries, s.Query) {
			b.parsedQueries = append(b.parsedQueries, s.Query)
		}
		m.Name = b.laneName(m.Name, s)
	}
	b.appendMessage(m)
}

// close removes a statement from the session. The member keeps its statement, which other sessions may use. The
// message to the member names a statement that never exists, which the protocol allows: its answer, CloseComplete,
// stands at the right place among the answers.
func (b *batchBuilder) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		if !b.reserve(preparedSizeOf(m.Name, egret.NamedStatement{})) {
			return
		}
		if former, found := b.find(m.Name); found {
			b.change = b.change.minus(preparedSizeOf(m.Name, former))
		}
		b.in.changes = append(b.in.changes, preparedChange{
			name: m.Name,
		})
		m.Name = "egretlane-none"
	}
	b.appendMessage(m)
}

func (b *batchBuilder) lookUp(name string) (egret.NamedStatement, bool) {
	s, found := b.find(name)
	if !found {
		b.refuse("26000", "prepared statement \""+name+"\" does not exist")
	}
	return s, found
}

// find returns the statement that has the caller's name at this point of the batch.
func (b *batchBuilder) find(name string) (egret.NamedStatement, bool) {
	for _, p := range slices.Backward(b.in.changes) {
		if p.name != name {
			continue
		}
		if p.statement == nil {
			return egret.NamedStatement{}, false
		}
		return *p.statement, true
	}
	s, found := b.conn.prepared[name]
	return s, found
}

// laneName returns the name under which lanes and members know the statement. The unnamed statement stays
// unnamed in the batch that parses it; later batches refer to it by a name derived from its text.
func (b *batchBuilder) laneName(name string, s egret.NamedStatement) string {
	if name == "" && b.unnamedParsed {
		return ""
	}
	b.addStatement(s)
	return s.Name
}

// addStatement adds a statement to those that the batch needs, once.
func (b *batchBuilder) addStatement(s egret.NamedStatement) {
	for _, d := range b.in.Batch.Statements {
		if d.Name == s.Name {
			return
		}
	}
	b.in.Batch.Statements = append(b.in.Batch.Statements, s)
}

// appendMessage encodes a message into the batch, unless the batch is refused.
func (b *batchBuilder) appendMessage(m pgproto3.FrontendMessage) {
	if b.in.Refusal != nil {
		return
	}
	messages, err := m.Encode(b.in.Batch.Messages)
	if err != nil {
		b.refuse(egret.CodeProtocol, err.Error())
		return
	}
	if len(messages) > b.conn.maxBatchBytes {
		b.refuse(egret.CodeTooLarge, "the batch is over the limit of "+strconv.Itoa(b.conn.maxBatchBytes)+" bytes")
		return
	}
	if size := cap(messages); size > longBytes && size > b.charged {
		if err := b.conn.memory.take(int64(size - b.charged)); err != nil {
			b.refuse(codeOutOfMemory, err.Error())
			return
		}
		b.charged = size
	}
	b.in.Batch.Messages = messages
}

// refuse sets the refusal, unless there is one already. The remaining messages of the batch are skipped.
func (b *batchBuilder) refuse(code, message string) {
	if b.in.Refusal != nil {
		return
	}
	b.in.Refusal = &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Code:    code,
		Message: message,
	}
	b.in.Batch = egret.Batch{}
}

// sendRefusal sends the refusal before the end of the batch, to a caller that waits for an answer without Sync.
func (b *batchBuilder) sendRefusal() {
	b.conn.WriteError(b.in.Refusal)
	// If the caller is disconnected, the next read fails.
	_ = b.conn.Flush()
	b.in.RefusalSent = true
}

// batch returns the batch once it is complete.
func (b *batchBuilder) batch() *IncomingBatch {
	b.in.Texts = b.boundQueries
	if len(b.boundQueries) == 0 {
		b.in.Texts = b.parsedQueries
	}
	return &b.in
}

// newStatement returns the statement of a Parse message under a name derived from its text and parameter types, so
// that a name stands for the same statement on every connection.
func newStatement(m *pgproto3.Parse) egret.NamedStatement {
	text := []byte(m.Query)
	for _, t := range m.ParameterOIDs {
		text = append(text, 0)
		text = strconv.AppendUint(text, uint64(t), 10)
	}
	// The hash is cryptographic, so that no caller can construct a statement with the name of another caller's.
	sum := sha256.Sum256(text)
	return egret.NamedStatement{
		Name:  "egretlane-" + hex.EncodeToString(sum[:nameHashBytes]),
		Query: m.Query,
		Types: slices.Clone(m.ParameterOIDs),
	}
}
