package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/ledger"
)

const (
	// startupTimeout is the time-out of the connection and of the answer to STARTUP.
	startupTimeout = 2 * time.Second

	// answerMargin is added to the time-out of a statement for the caller's wait for its answer.
	answerMargin = 2 * time.Second

	// shortPauseLimit and longPauseLimit bound the pauses between the statements of a transaction.
	shortPauseLimit = 20 * time.Millisecond
	longPauseLimit  = 900 * time.Millisecond

	// itemsPerDatabase is the number of items in each database. It is low so that sessions access the same items.
	itemsPerDatabase = 20

	// meanThinkTime is the mean pause between operations.
	meanThinkTime = 60 * time.Millisecond

	// maxOperations bounds the operations of a session, maxKeyedOperations those where keys may be withdrawn: sessions have to
	// last for longer than a withdrawal takes.
	maxOperations      = 80
	maxKeyedOperations = 400

	// reconnectDelay is the pause between two sessions of a caller.
	reconnectDelay = 100 * time.Millisecond
)

// errSessionEnded ends a session that can't or shouldn't go on. It doesn't mean that the connection failed.
var errSessionEnded = errors.New("session ended")

// caller runs random sessions on a route, one after the other.
type caller struct {
	soak  *Soak
	route route
	rand  *rand.Rand

	// workspace is the number of the workspace whose key the next session is opened with. That of none is the number of
	// workspaces.
	workspace int

	// spends says that the caller exceeds a quota, so that refusals don't count for the recovery after faults.
	spends bool

	proxy         *proxy
	conn          net.Conn
	reader        *bufio.Reader
	session       *ledger.Session
	preparedCount int

	// txState is the transaction state in the last READY: I for none, E for a failed transaction.
	txState string
}

// lastID is the last identifier that newID returned. Identifiers are unique within the process.
var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%016x", lastID.Add(1))
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.openSession(); err == nil {
			c.runOperations(ctx)
		}
		if c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
		pause(ctx, reconnectDelay)
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// openSession opens a session at a proxy that is in rotation.
func (c *caller) openSession() error {
	if n := c.soak.Plan.Workspaces; n > 0 {
		c.workspace = c.rand.IntN(n + 1)
	}
	line := c.connect(c.soak.pickProxy(c.rand))
	c.soak.ledger.CheckStartup(c.session, line)
	if !strings.HasPrefix(line, "READY I") {
		return errors.Errorf("unexpected answer to STARTUP: %q", line)
	}
	return nil
}

func (c *caller) runOperations(ctx context.Context) {
	limit := maxOperations
	if c.soak.Plan.Workspaces > 0 {
		limit = maxKeyedOperations
	}
	for n := c.rand.IntN(limit); n >= 0 && ctx.Err() == nil; n-- {
		if err := c.runOperation(ctx); err != nil {
			return
		}
		pause(ctx, time.Duration(c.rand.ExpFloat64()*float64(meanThinkTime)))
	}
	// No request is outstanding, so the proxy may send nothing and only close the connection.
	_, _ = fmt.Fprint(c.conn, "TERMINATE\r\n")
}

// runOperation runs a random operation: a SET, a prepared statement, a transaction or a single statement.
func (c *caller) runOperation(ctx context.Context) error {
	item := fmt.Sprintf("%s-%d", c.route.database, c.rand.IntN(itemsPerDatabase))
	writes := c.rand.Float64() < c.route.writeRatio
	switch c.rand.IntN(10) {
	case 0:
		return c.execute(fmt.Sprintf("SET v%d %d", c.rand.IntN(3), c.rand.IntN(5)), time.Time{}, "")
	case 1, 2:
		return c.executePrepared(item, writes)
	case 3, 4, 5:
		return c.runTransaction(ctx, item, writes)
	}
	return c.execute(statement(item, writes), time.Time{}, "")
}

func statement(item string, writes bool) string {
	if !writes {
		return "READ " + item
	}
	return "WRITE " + item + " " + newID()
}

func (c *caller) executePrepared(item string, writes bool) error {
	kind, data := "READ", ""
	if writes {
		kind, data = "WRITE", " "+newID()
	}
	c.preparedCount++
	// The names of different callers collide on purpose.
	name := fmt.Sprintf("s%d", c.preparedCount%4)
	err := c.execute(fmt.Sprintf("PREPARE %s %s q%d", name, kind, c.rand.IntN(1<<16)), time.Time{}, "")
	if err != nil {
		return err
	}
	if err := c.execute("EXECUTE "+name+" "+item+data, time.Time{}, ""); err != nil {
		return err
	}
	if c.rand.IntN(2) == 0 {
		return nil
	}
	return c.execute("CLOSE "+name, time.Time{}, "")
}

func (c *caller) runTransaction(ctx context.Context, item string, writes bool) error {
	txStartedAt := time.Now()
	name := newID()
	begin := "BEGIN"
	if !writes && c.rand.IntN(2) == 0 {
		begin = "BEGIN READ"
	}
	if err := c.execute(begin, txStartedAt, name); err != nil {
		return err
	}
	statements, pauseLimit := 1+c.rand.IntN(4), shortPauseLimit
	if c.rand.Float64() < c.soak.Plan.LongTransactionRate {
		statements, pauseLimit = 12, longPauseLimit
	}
	for range statements {
		if err := c.execute(statement(item, writes && c.rand.IntN(2) == 0), txStartedAt, name); err != nil {
			return err
		}
		if c.txState == "E" {
			return c.execute("ROLLBACK", txStartedAt, name)
		}
		pause(ctx, time.Duration(c.rand.Int64N(int64(pauseLimit))))
	}
	switch c.rand.IntN(8) {
	case 0:
		return c.execute("ROLLBACK", txStartedAt, name)
	case 1:
		return errSessionEnded
	}
	if err := c.execute("COMMIT", txStartedAt, name); err != nil {
		return err
	}
	if c.txState != "I" {
		return errSessionEnded
	}
	return nil
}

// execute sends a statement, reads its answer, and reports both to the ledger. An error ends the session.
func (c *caller) execute(text string, txStartedAt time.Time, transaction string) error {
	id := newID()
	l := c.soak.ledger
	l.RecordSent(c.session, id, text, txStartedAt, transaction)
	sent := time.Now()
	if err := c.conn.SetDeadline(sent.Add(c.soak.Plan.StatementTimeout + answerMargin)); err != nil {
		return errors.Trace(err)
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		l.RecordUnanswered()
		return errors.Trace(err)
	}
	fault, err := c.readAnswer(id)
	if err != nil {
		l.RecordUnanswered()
		c.soak.checkUnanswered(c, id, text, sent, err)
		return err
	}
	if !c.spends {
		c.soak.recordStatement(c.route.service, sent, fault == "")
	}
	verb, _, _ := strings.Cut(text, " ")
	if fault != "" && (verb == "SET" || verb == "PREPARE" || verb == "CLOSE") {
		return errSessionEnded
	}
	return nil
}

// readAnswer reads the messages up to READY. It returns the code and text of an ERROR, or nothing.
func (c *caller) readAnswer(id string) (string, error) {
	rows, signature, fault := []string(nil), "", ""
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return "", errors.Trace(err)
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			rows = append(rows, rest)
		case "COMPLETE":
			signature = rest
		case "ERROR":
			fault = rest
		case "READY":
			c.txState, _, _ = strings.Cut(rest, " ")
			c.soak.ledger.RecordAnswer(id, rows, signature, fault)
			return fault, nil
		default:
			c.soak.ledger.RecordViolation("MIXED", fmt.Sprintf("%q in the answer to %s", line, id))
			return "", errSessionEnded
		}
	}
}

// route is a route to a database, with the ratio of writes of its callers.
type route struct {
	database, service string
	kind              egret.Consistency
	maxAge            time.Duration

	// public says that its callers need no key.
	public bool

	// writeRatio is the ratio of operations that write, from 0 to 1.
	writeRatio float64
}

// knowsDatabase reports whether a proxy knows the database, and whether it answered at all.
func (c *caller) knowsDatabase(p *proxy) (bool, bool) {
	line := c.connect(p)
	if c.conn != nil {
		c.conn.Close()
	}
	return !strings.HasPrefix(line, "ERROR NODB"), line != ""
}

// servesRead reports whether a proxy answers a read of the database.
func (c *caller) servesRead(p *proxy) bool {
	line := c.connect(p)
	if c.conn == nil {
		return false
	}
	defer c.conn.Close()
	return strings.HasPrefix(line, "READY") && c.execute("READ "+c.route.database+"-0", time.Time{}, "") == nil
}

// connect opens a session at a proxy and returns the answer to STARTUP, or an empty string if there is none.
func (c *caller) connect(p *proxy) string {
	c.proxy = p
	conn, err := net.DialTimeout("tcp", p.callers.String(), startupTimeout)
	if err != nil {
		return ""
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.session = &ledger.Session{
		Database: c.route.database,
		Kind:     c.route.kind,
		MaxAge:   c.route.maxAge,
		Key:      workspaceKey(c.workspace),
		Public:   c.route.public,
	}
	if err := conn.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return ""
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", c.route.database, c.session.Key); err != nil {
		return ""
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}
