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

// nameBytes is how much of a statement's hash goes into its name.
const nameBytes = 16

// preparedLimit bounds the texts of a session's prepared statements, in bytes.
const preparedLimit = 4 << 20

// codeLimit is SQLSTATE configuration_limit_exceeded.
const codeLimit = "53400"

// ErrTerminated says that the caller has closed its session.
const ErrTerminated = errors.ConstError("the caller has closed its session")

// ErrTooLarge says that a message is over the size limit. The connection can't go on behind it.
const ErrTooLarge = errors.ConstError("the message is over the size limit")

// Incoming is a batch as the entry needs it.
type Incoming struct {
	// Batch is what goes to the lane.
	Batch egret.Batch

	// Texts are the texts of the statements that the batch runs, or that it prepares or describes if
	// it runs none.
	Texts []string

	// Runs says that the batch runs a statement, and doesn't only prepare it.
	Runs bool

	// Refusal says that the batch can't be run as it is. It is nil for most.
	Refusal *egret.Failure

	// Answered says that the caller has been told of the refusal already.
	Answered bool

	// changes has what the batch prepares and closes, in order.
	changes []change
}

// change is what a batch does to a prepared statement.
type change struct {
	// name is the caller's name.
	name string

	// statement is nil if the statement is closed.
	statement *egret.Statement
}

// Next waits for a batch. The wait for its first byte ends with ErrDraining when the proxy shuts
// down, unless a transaction is open, and with ErrIdle at idleEnd if that isn't zero.
func (c *Conn) Next(inTransaction bool, idleEnd time.Time) (*Incoming, error) {
	c.gate.enter(inTransaction, idleEnd)
	g := gatherer{
		conn: c,
	}
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return nil, readError(err)
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil, errors.Trace(ErrTerminated)
		}
		if g.take(m) {
			return g.incoming(), nil
		}
	}
}

// readError gives an oversized message its own cause.
func readError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return errors.Annotatef(ErrTooLarge, "%d bytes where %d are allowed", tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	}
	return errors.Trace(err)
}

// Settle takes in which statements of the batch the database has prepared: as many as its answer has
// ParseComplete messages. A batch that did not run isn't settled, and prepares nothing.
func (c *Conn) Settle(in *Incoming, parseCompletes int) {
	for _, h := range in.changes {
		if h.statement == nil {
			c.forget(h.name)
			continue
		}
		if parseCompletes == 0 {
			// The database has passed over all that follows the first refusal.
			return
		}
		parseCompletes--
		c.forget(h.name)
		c.prepared[h.name] = *h.statement
		c.preparedBytes += len(h.statement.Query)
	}
}

func (c *Conn) forget(name string) {
	c.preparedBytes -= len(c.prepared[name].Query)
	delete(c.prepared, name)
}

// Reset drops all prepared statements.
func (c *Conn) Reset() {
	clear(c.prepared)
	c.preparedBytes = 0
}

// gatherer builds a batch from messages.
type gatherer struct {
	// conn has the prepared statements.
	conn *Conn

	// in is the batch so far.
	in Incoming

	// run and parsed are the texts of statements that are bound and parsed.
	run, parsed []string

	// unnamed says that the batch has parsed the unnamed statement itself.
	unnamed bool
}

// take adds a message. It returns true when the batch is whole.
func (g *gatherer) take(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		g.in.Runs = true
		g.run = append(g.run, m.String)
		g.add(m)
		return true
	case *pgproto3.Sync:
		g.add(m)
		return true
	case *pgproto3.Parse:
		g.parse(m)
	case *pgproto3.Bind:
		g.bind(m)
	case *pgproto3.Describe:
		g.describe(m)
	case *pgproto3.Close:
		g.close(m)
	case *pgproto3.Execute:
		g.in.Runs = true
		g.add(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Left over from a refused copy. PostgreSQL ignores them too.
	case *pgproto3.Flush:
		g.refuse(egret.CodeUnsupported, "Flush is not offered: end the batch with Sync")
		g.sendRefusal()
	case *pgproto3.FunctionCall:
		g.refuse(egret.CodeUnsupported, "function calls are not offered: use SELECT")
		// No Sync follows: the caller waits for the answer now.
		return true
	default:
		g.refuse(egret.CodeUnsupported, "this message is not offered in pooled routes")
	}
	return false
}

func (g *gatherer) parse(m *pgproto3.Parse) {
	s := statementOf(m)
	if m.Name == "" {
		g.unnamed = true
		g.prepare("", s)
		g.add(m)
		return
	}
	if _, taken := g.find(m.Name); taken {
		g.refuse("42P05", "prepared statement \""+m.Name+"\" already exists")
		return
	}
	if g.conn.preparedBytes+len(m.Query) > preparedLimit {
		g.refuse(codeLimit, "the session's prepared statements are over the limit of "+strconv.Itoa(preparedLimit)+" bytes: close some")
		return
	}
	g.prepare(m.Name, s)
	g.define(s)
	m.Name = s.Name
	g.add(m)
}

// prepare notes a statement for the rest of the batch, and for the session if the database takes it.
func (g *gatherer) prepare(name string, s egret.Statement) {
	g.parsed = append(g.parsed, s.Query)
	g.in.changes = append(g.in.changes, change{
		name:      name,
		statement: &s,
	})
}

func (g *gatherer) bind(m *pgproto3.Bind) {
	s, ok := g.lookUp(m.PreparedStatement)
	if !ok {
		return
	}
	g.run = append(g.run, s.Query)
	m.PreparedStatement = g.nameFor(m.PreparedStatement, s)
	g.add(m)
}

func (g *gatherer) describe(m *pgproto3.Describe) {
	if m.ObjectType == 'S' {
		s, ok := g.lookUp(m.Name)
		if !ok {
			return
		}
		if !slices.Contains(g.parsed, s.Query) {
			g.parsed = append(g.parsed, s.Query)
		}
		m.Name = g.nameFor(m.Name, s)
	}
	g.add(m)
}

// close forgets a statement. The member keeps its own for other sessions, so that it is asked to
// close one that never exists, which the protocol allows and which gives the answer in its place.
func (g *gatherer) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		g.in.changes = append(g.in.changes, change{
			name: m.Name,
		})
		m.Name = "egretlane-none"
	}
	g.add(m)
}

func (g *gatherer) lookUp(name string) (egret.Statement, bool) {
	s, found := g.find(name)
	if !found {
		g.refuse("26000", "prepared statement \""+name+"\" does not exist")
	}
	return s, found
}

// find returns the statement that the name stands for at this point of the batch.
func (g *gatherer) find(name string) (egret.Statement, bool) {
	for _, h := range slices.Backward(g.in.changes) {
		if h.name != name {
			continue
		}
		if h.statement == nil {
			return egret.Statement{}, false
		}
		return *h.statement, true
	}
	s, found := g.conn.prepared[name]
	return s, found
}

// nameFor returns the name that the lane knows the statement by. The unnamed statement keeps its
// name within the batch that parses it, and later has one made from its text.
func (g *gatherer) nameFor(name string, s egret.Statement) string {
	if name == "" && g.unnamed {
		return ""
	}
	g.define(s)
	return s.Name
}

func (g *gatherer) define(s egret.Statement) {
	for _, d := range g.in.Batch.Statements {
		if d.Name == s.Name {
			return
		}
	}
	g.in.Batch.Statements = append(g.in.Batch.Statements, s)
}

func (g *gatherer) add(m pgproto3.FrontendMessage) {
	if g.in.Refusal != nil {
		return
	}
	messages, err := m.Encode(g.in.Batch.Messages)
	if err != nil {
		g.refuse(egret.CodeProtocol, err.Error())
		return
	}
	if len(messages) > g.conn.limit {
		g.refuse(egret.CodeTooLarge, "the batch is over the limit of "+strconv.Itoa(g.conn.limit)+" bytes")
		return
	}
	g.in.Batch.Messages = messages
}

// refuse keeps the first fault. Messages up to the end of the batch are passed over.
func (g *gatherer) refuse(code, message string) {
	if g.in.Refusal != nil {
		return
	}
	g.in.Refusal = &egret.Failure{
		Outcome: egret.NotRun,
		Code:    code,
		Message: message,
	}
	g.in.Batch = egret.Batch{}
}

// sendRefusal answers before the end of the batch, for callers that wait for it.
func (g *gatherer) sendRefusal() {
	g.conn.Fail(g.in.Refusal)
	// If the caller has gone, the next read says so.
	_ = g.conn.Flush()
	g.in.Answered = true
}

func (g *gatherer) incoming() *Incoming {
	g.in.Texts = g.run
	if len(g.run) == 0 {
		g.in.Texts = g.parsed
	}
	return &g.in
}

// statementOf gives a statement a name made from its text and types, so that one name means one
// statement on every connection.
func statementOf(m *pgproto3.Parse) egret.Statement {
	text := []byte(m.Query)
	for _, t := range m.ParameterOIDs {
		text = append(text, 0)
		text = strconv.AppendUint(text, uint64(t), 10)
	}
	// A hash that can't be forged keeps one caller from giving its statement the name of another's.
	sum := sha256.Sum256(text)
	return egret.Statement{
		Name:  "egretlane-" + hex.EncodeToString(sum[:nameBytes]),
		Query: m.Query,
		Types: slices.Clone(m.ParameterOIDs),
	}
}
