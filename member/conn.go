package member

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// asyncFlush is the size in bytes from which a pipeline is written while answers are read. A member
// that can't write its answers reads no more of the pipeline.
const asyncFlush = 32 << 10

// Conn is a connection for callers' statements.
//
// Sending and receiving are for one goroutine; Cancel, Interrupt and Close may be called by others.
type Conn struct {
	wire *pgconn.HijackedConn

	// written carries the result of a Flush that went on while answers are read.
	written chan error
}

// Open opens a connection for callers' statements and marks it for lanes that take over.
func (d *Dialer) Open(ctx context.Context, m egret.Member) (*Conn, error) {
	conn, err := d.Connect(ctx, m, PurposeLane)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := mark(ctx, conn); err != nil {
		_ = conn.Conn().Close()
		return nil, errors.Annotatef(err, "member %s", m.Name)
	}
	wire, err := conn.Hijack()
	if err != nil {
		_ = conn.Conn().Close()
		return nil, errors.Annotatef(err, "member %s", m.Name)
	}
	return &Conn{
		wire: wire,
	}, nil
}

// Process returns the member's process of the connection.
func (c *Conn) Process() uint32 {
	return c.wire.PID
}

// Send adds a message to the pipeline. Errors are reported by Flush.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	c.wire.Frontend.Send(m)
}

// Flush writes the pipeline of about size bytes. A large one is written while answers are read,
// so that both sides never wait for each other. pgconn.SafeToRetry tells whether the error came
// before any byte was written.
func (c *Conn) Flush(size int) error {
	if size < asyncFlush {
		return c.wire.Frontend.Flush()
	}
	c.written = make(chan error, 1)
	go func() {
		c.written <- c.wire.Frontend.Flush()
	}()
	return nil
}

// Settle waits for the end of a large Flush. It is called after the last answer and before the
// next Send.
func (c *Conn) Settle() error {
	if c.written == nil {
		return nil
	}
	err := <-c.written
	c.written = nil
	return err
}

// Receive returns the next message. It is valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	return c.wire.Frontend.Receive()
}

// Buffered reports whether more has arrived than was received.
func (c *Conn) Buffered() bool {
	return c.wire.Frontend.ReadBufferLen() > 0
}

// SetDeadline bounds sending and receiving.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.wire.Conn.SetDeadline(t)
}

// Cancel asks the member to cancel the statement that runs on the connection.
func (c *Conn) Cancel(ctx context.Context) error {
	conn, err := pgconn.Construct(c.wire)
	if err != nil {
		return errors.Annotate(err, "cancel")
	}
	return errors.Annotate(conn.CancelRequest(ctx), "cancel")
}

// Close ends the connection. The member rolls back what is open.
func (c *Conn) Close() {
	_ = c.wire.Conn.Close()
}
