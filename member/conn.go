package member

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// asyncFlushSize is the size in bytes from which a pipeline is written while answers are read. A member whose answers
// aren't read stops reading the pipeline, so that writing all of a large one first could block both sides.
const asyncFlushSize = 32 << 10

// Conn is a connection for callers' statements.
//
// One goroutine sends and receives. Others may call Cancel, SetDeadline and Close meanwhile.
type Conn struct {
	hijacked *pgconn.HijackedConn

	// flushed receives the result of a Flush that runs in the background. It is nil if there is none.
	flushed chan error
}

// Open opens a connection for callers' statements. It takes the connection's mark lock, by which a proxy that takes
// over the lane finds the connection.
func (d *Dialer) Open(ctx context.Context, m egret.Member) (*Conn, error) {
	conn, err := d.Connect(ctx, m, PurposeLane)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := takeMarkLock(ctx, conn); err != nil {
		_ = conn.Conn().Close()
		return nil, errors.Annotatef(err, "member %s", m.Name)
	}
	wire, err := conn.Hijack()
	if err != nil {
		_ = conn.Conn().Close()
		return nil, errors.Annotatef(err, "member %s", m.Name)
	}
	return &Conn{
		hijacked: wire,
	}, nil
}

// ProcessID returns the ID of the member's process that serves the connection.
func (c *Conn) ProcessID() uint32 {
	return c.hijacked.PID
}

// Send adds a message to the pipeline. Flush reports its errors.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	c.hijacked.Frontend.Send(m)
}

// Flush writes the pipeline, which has about size bytes. A large one is written in the background while answers are
// read, so that the two sides never block each other; WaitFlush returns its error. pgconn.SafeToRetry reports whether
// an error came before any byte was written.
func (c *Conn) Flush(size int) error {
	if size < asyncFlushSize {
		return c.hijacked.Frontend.Flush()
	}
	c.flushed = make(chan error, 1)
	go func() {
		c.flushed <- c.hijacked.Frontend.Flush()
	}()
	return nil
}

// WaitFlush waits until a Flush in the background has ended, and returns its error. It has to be called after the last
// answer and before the next Send.
func (c *Conn) WaitFlush() error {
	if c.flushed == nil {
		return nil
	}
	err := <-c.flushed
	c.flushed = nil
	return err
}

// Receive returns the next message, which is valid until the next call of Receive.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	return c.hijacked.Frontend.Receive()
}

// Buffered reports whether the read buffer holds data that Receive hasn't returned yet.
func (c *Conn) Buffered() bool {
	return c.hijacked.Frontend.ReadBufferLen() > 0
}

// SetDeadline sets the deadline for sending and receiving. One in the past interrupts them.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.hijacked.Conn.SetDeadline(t)
}

// Cancel sends the member a cancel request for the statement that runs on the connection.
func (c *Conn) Cancel(ctx context.Context) error {
	conn, err := pgconn.Construct(c.hijacked)
	if err != nil {
		return errors.Annotate(err, "cancel")
	}
	return errors.Annotate(conn.CancelRequest(ctx), "cancel")
}

// Close closes the connection. The member rolls back an open transaction.
func (c *Conn) Close() {
	_ = c.hijacked.Conn.Close()
}
