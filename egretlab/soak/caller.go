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
	// startWait bounds the answer to STARTUP.
	startWait = 2 * time.Second

	// statementTimeout is that of the routes, answerWait what a caller waits at most.
	statementTimeout = 3 * time.Second
	answerWait       = 5 * time.Second

	// items is how many items each database has. Few make sessions meet.
	items = 20

	// thinkTime is the mean pause between operations.
	thinkTime = 60 * time.Millisecond

	// promptly is how long a caller waits before it opens another session.
	promptly = 100 * time.Millisecond
)

// errSession ends a session without a fault of the proxy.
var errSession = errors.New("the session ends")

// caller runs sessions, one after the other.
type caller struct {
	soak  *Soak
	route route
	rand  *rand.Rand

	proxy   *proxy
	conn    net.Conn
	in      *bufio.Reader
	session *ledger.Session
	names   int

	// state is that of the last READY.
	state string
}

// lastID numbers statements, which are unique in a process.
var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%016x", lastID.Add(1))
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.open(); err == nil {
			c.operations(ctx)
		}
		if c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
		pause(ctx, promptly)
	}
}

// pause waits, but not beyond the context.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// open starts a session at a proxy that is in rotation.
func (c *caller) open() error {
	line := c.start(c.soak.pick(c.rand))
	if !strings.HasPrefix(line, "READY I") {
		return errors.Errorf("answer to STARTUP: %q", line)
	}
	return nil
}

func (c *caller) operations(ctx context.Context) {
	for n := c.rand.IntN(80); n >= 0 && ctx.Err() == nil; n-- {
		if err := c.operation(ctx); err != nil {
			return
		}
		pause(ctx, time.Duration(c.rand.ExpFloat64()*float64(thinkTime)))
	}
	// Nothing may come while no request is outstanding, but the end.
	_, _ = fmt.Fprint(c.conn, "TERMINATE\r\n")
}

// operation runs a statement or a transaction.
func (c *caller) operation(ctx context.Context) error {
	item := fmt.Sprintf("%s-%d", c.route.database, c.rand.IntN(items))
	writes := c.rand.Float64() < c.route.writes
	switch c.rand.IntN(10) {
	case 0:
		return c.ask(fmt.Sprintf("SET v%d %d", c.rand.IntN(3), c.rand.IntN(5)), time.Time{}, "")
	case 1, 2:
		return c.executePrepared(item, writes)
	case 3, 4, 5:
		return c.transaction(ctx, item, writes)
	}
	return c.ask(statement(item, writes), time.Time{}, "")
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
	c.names++
	// Names collide between callers.
	name := fmt.Sprintf("s%d", c.names%4)
	err := c.ask(fmt.Sprintf("PREPARE %s %s q%d", name, kind, c.rand.IntN(1<<16)), time.Time{}, "")
	if err != nil {
		return err
	}
	if err := c.ask("EXECUTE "+name+" "+item+data, time.Time{}, ""); err != nil {
		return err
	}
	if c.rand.IntN(2) == 0 {
		return nil
	}
	return c.ask("CLOSE "+name, time.Time{}, "")
}

func (c *caller) transaction(ctx context.Context, item string, writes bool) error {
	begun := time.Now()
	name := newID()
	begin := "BEGIN"
	if !writes && c.rand.IntN(2) == 0 {
		begin = "BEGIN READ"
	}
	if err := c.ask(begin, begun, name); err != nil {
		return err
	}
	for range 1 + c.rand.IntN(4) {
		if err := c.ask(statement(item, writes && c.rand.IntN(2) == 0), begun, name); err != nil {
			return err
		}
		if c.state == "E" {
			return c.ask("ROLLBACK", begun, name)
		}
		pause(ctx, time.Duration(c.rand.IntN(20))*time.Millisecond)
	}
	switch c.rand.IntN(8) {
	case 0:
		return c.ask("ROLLBACK", begun, name)
	case 1:
		return errSession
	}
	if err := c.ask("COMMIT", begun, name); err != nil {
		return err
	}
	if c.state != "I" {
		return errSession
	}
	return nil
}

// ask sends a statement and reads its answer. An error ends the session.
func (c *caller) ask(text string, begun time.Time, transaction string) error {
	id := newID()
	l := c.soak.ledger
	l.Sending(c.session, id, text, begun, transaction)
	sent := time.Now()
	if err := c.conn.SetDeadline(sent.Add(answerWait)); err != nil {
		return errors.Trace(err)
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		l.Unanswered()
		return errors.Trace(err)
	}
	fault, err := c.answer(id)
	if err != nil {
		l.Unanswered()
		c.soak.broken(c, id, text, sent, begun, err)
		return err
	}
	c.soak.note(sent, fault == "")
	verb, _, _ := strings.Cut(text, " ")
	if fault != "" && (verb == "SET" || verb == "PREPARE" || verb == "CLOSE") {
		return errSession
	}
	return nil
}

// answer reads the messages up to READY.
func (c *caller) answer(id string) (string, error) {
	rows, signature, fault := []string(nil), "", ""
	for {
		line, err := c.in.ReadString('\n')
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
			c.state, _, _ = strings.Cut(rest, " ")
			c.soak.ledger.Answered(id, rows, signature, fault)
			return fault, nil
		default:
			c.soak.ledger.Broken("MIXED", fmt.Sprintf("%q in the answer to %s", line, id))
			return "", errSession
		}
	}
}

// route is a database and what its callers do.
type route struct {
	database, service string
	kind              egret.RouteKind
	maxAge            time.Duration

	// writes is the part of operations that write, from 0 to 1.
	writes float64
}

// knows reports whether a proxy knows the database, and whether it told at all.
func (c *caller) knows(p *proxy) (bool, bool) {
	line := c.start(p)
	if c.conn != nil {
		c.conn.Close()
	}
	return !strings.HasPrefix(line, "ERROR NODB"), line != ""
}

// reads reports whether a proxy answers a read.
func (c *caller) reads(p *proxy) bool {
	line := c.start(p)
	if c.conn == nil {
		return false
	}
	defer c.conn.Close()
	return strings.HasPrefix(line, "READY") && c.ask("READ "+c.route.database+"-0", time.Time{}, "") == nil
}

// start opens a session and returns the answer to STARTUP, or nothing.
func (c *caller) start(p *proxy) string {
	c.proxy = p
	conn, err := net.DialTimeout("tcp", p.callers.String(), startWait)
	if err != nil {
		return ""
	}
	c.conn = conn
	c.in = bufio.NewReader(conn)
	c.session = &ledger.Session{
		Database: c.route.database,
		Kind:     c.route.kind,
		MaxAge:   c.route.maxAge,
	}
	if err := conn.SetDeadline(time.Now().Add(startWait)); err != nil {
		return ""
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s caller\r\n", c.route.database); err != nil {
		return ""
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}
