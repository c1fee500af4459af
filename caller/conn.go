package caller

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// flushBytes is how much output is gathered before it is written.
const flushBytes = 32 << 10

// writeGrace is how long after the end of a request its answer may still be written. It keeps a
// caller that reads, and whose request ended late, connected.
const writeGrace = time.Second

// ErrDraining says that the proxy shuts down and the caller was idle.
const ErrDraining = errors.ConstError("the proxy is shutting down")

// ErrIdle says that the caller was idle for longer than allowed.
const ErrIdle = errors.ConstError("the caller was idle for too long")

// ErrSlow says that the rest of a batch did not come in time.
const ErrSlow = errors.ConstError("the rest of the request did not come in time")

// Conn is a caller's connection. One goroutine uses it; only drain may be called from others.
type Conn struct {
	// Start is what the caller said when it connected.
	Start Startup

	// Key names the session in cancel requests.
	Key CancelKey

	// net is the connection, encrypted or not.
	net net.Conn

	// backend decodes what the caller sends, through the gate.
	backend *pgproto3.Backend

	// gate is what backend reads from.
	gate *gate

	// out is output that has not been written.
	out []byte

	// limit is the size of the largest batch, in bytes.
	limit int

	// writeTimeout bounds each write.
	writeTimeout time.Duration

	// writeEnd bounds all writes until it is changed. It is zero for none.
	writeEnd time.Time

	// broken is the error of the first write that failed. A part of a message may have been written,
	// so that nothing may follow it.
	broken error

	// prepared has the caller's prepared statements by the caller's names. A statement is added once
	// the database has taken it.
	prepared map[string]egret.Statement

	// preparedBytes is the size of the texts of prepared. It stays within preparedLimit.
	preparedBytes int
}

func newConn(n net.Conn, limit int) *Conn {
	g := &gate{
		net: n,
	}
	b := pgproto3.NewBackend(g, n)
	// Nobody has proved who it is yet.
	b.SetMaxBodyLen(maxPacketBytes)
	return &Conn{
		net:      n,
		backend:  b,
		gate:     g,
		limit:    limit,
		prepared: make(map[string]egret.Statement),
	}
}

// Write adds encoded messages to the output. It writes when enough is gathered, and then waits for
// a slow caller.
func (c *Conn) Write(messages []byte) error {
	c.out = append(c.out, messages...)
	if len(c.out) < flushBytes {
		return nil
	}
	return c.Flush()
}

// Parameter tells the caller a parameter's value.
func (c *Conn) Parameter(name, value string) {
	c.send(&pgproto3.ParameterStatus{
		Name:  name,
		Value: value,
	})
}

// Fail reports a failure. The session goes on.
func (c *Conn) Fail(f *egret.Failure) {
	c.send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                f.Code,
		Message:             f.Message,
		Detail:              "egretlane: " + f.Outcome.String(),
	})
}

// FailFatal reports why the connection ends.
func (c *Conn) FailFatal(code, message string) {
	c.send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                code,
		Message:             message,
		Detail:              "egretlane: " + egret.NotRun.String(),
	})
	// The caller may have gone; the connection ends in any case.
	_ = c.Flush()
}

// Ready tells the caller that the next batch may come.
func (c *Conn) Ready(s egret.TxStatus) {
	c.send(&pgproto3.ReadyForQuery{
		TxStatus: byte(s),
	})
}

// Flush writes the output that was gathered. It fails if the caller doesn't take it in time: a caller
// that reads nothing must not hold a member's connection.
func (c *Conn) Flush() error {
	if c.broken != nil {
		return c.broken
	}
	if c.writeTimeout > 0 {
		// A failure means that the connection is gone, and then the write fails too.
		_ = c.net.SetWriteDeadline(c.writeDeadline(time.Now()))
	}
	_, err := c.net.Write(c.out)
	c.out = c.out[:0]
	if cap(c.out) > 4*flushBytes {
		c.out = nil
	}
	c.broken = errors.Trace(err)
	return c.broken
}

// Bound makes writes fail soon after the end, besides their own timeout. A zero end takes that back.
func (c *Conn) Bound(end time.Time) {
	c.writeEnd = end
	if !end.IsZero() {
		c.writeEnd = end.Add(writeGrace)
	}
}

func (c *Conn) writeDeadline(now time.Time) time.Time {
	d := now.Add(c.writeTimeout)
	if !c.writeEnd.IsZero() && c.writeEnd.Before(d) {
		return c.writeEnd
	}
	return d
}

// Draining reports whether the session should end between transactions.
func (c *Conn) Draining() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.draining
}

// drain ends the wait for a batch if nothing of it has come, now or later.
func (c *Conn) drain() {
	c.gate.drain()
}

// send adds a message to the output.
func (c *Conn) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(c.out)
	if err != nil {
		// Encoding fails only for messages over a gigabyte, which the limits exclude.
		return
	}
	c.out = out
}

// gate lets a wait for the first byte of a batch be interrupted, and no other read.
type gate struct {
	// net is the caller's connection.
	net net.Conn

	mu sync.Mutex

	// idle says that the reader waits for the first byte of a batch.
	idle bool

	// inTransaction keeps a drain from ending the wait: the transaction goes on.
	inTransaction bool

	// draining says that the proxy shuts down.
	draining bool

	// idleEnd is when the wait ends. It is zero for none. In a transaction the whole batch has to
	// come by then.
	idleEnd time.Time

	// batchTimeout bounds the rest of a batch outside of a transaction.
	batchTimeout time.Duration
}

// enter marks the start of the wait for a batch.
func (g *gate) enter(inTransaction bool, idleEnd time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = true
	g.inTransaction = inTransaction
	g.idleEnd = idleEnd
}

func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.idle && !g.inTransaction {
		// A failure here means that the connection is gone, and then the read ends too.
		_ = g.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// Read reads from the connection. It fails with ErrDraining or ErrIdle while the caller is idle, and
// with ErrSlow later.
func (g *gate) Read(b []byte) (int, error) {
	if err := g.setDeadline(); err != nil {
		return 0, err
	}
	n, err := g.net.Read(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	if n > 0 {
		return n, g.begin()
	}
	if !isTimeout(err) {
		return n, err
	}
	switch {
	case g.idle && g.draining && !g.inTransaction:
		return 0, ErrDraining
	case g.idle || g.inTransaction:
		return 0, ErrIdle
	default:
		return 0, ErrSlow
	}
}

// begin takes in that a batch has begun: a shutdown no longer ends the wait for the rest of it.
func (g *gate) begin() error {
	if !g.idle {
		return nil
	}
	g.idle = false
	if g.inTransaction {
		return nil
	}
	return g.net.SetReadDeadline(time.Now().Add(g.batchTimeout))
}

func (g *gate) setDeadline() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.idle {
		return nil
	}
	if g.draining && !g.inTransaction {
		return ErrDraining
	}
	return g.net.SetReadDeadline(g.idleEnd)
}
