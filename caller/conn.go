package caller

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// flushThresholdBytes is the size of buffered output from which on Write flushes.
const flushThresholdBytes = 32 << 10

// answerWriteGrace is how long the answer to a request may still be written after the request's deadline. Without it,
// a caller that does read would be disconnected when its request finished just before the deadline.
const answerWriteGrace = time.Second

// lastReadTimeout is how long a session that a shutdown ends waits for a batch that has arrived or is about to.
const lastReadTimeout = 5 * time.Millisecond

// ErrDraining reports that the proxy is shutting down and the caller was idle, or that the time for the shutdown is over. In
// the latter case it is also the cause of the end of the context that Handler.Serve was called with.
const ErrDraining = errors.ConstError("the proxy is shutting down")

// ErrIdleTimeout reports that the caller was idle for longer than allowed.
const ErrIdleTimeout = errors.ConstError("the caller was idle for too long")

// ErrBatchTimeout reports that the rest of a batch was not received within Server.BatchTimeout.
const ErrBatchTimeout = errors.ConstError("the rest of the request did not come in time")

// Conn is a caller's connection. It is used by one goroutine; only drain and end may be called by others.
type Conn struct {
	// Startup has the parameters of the caller's start-up message.
	Startup Startup

	// CancelKey identifies the session in cancel requests.
	CancelKey CancelKey

	// netConn is the connection, a *tls.Conn if it is encrypted.
	netConn net.Conn

	// backend decodes the caller's messages. It reads from reader.
	backend *pgproto3.Backend

	// reader reads from netConn and sets its read deadlines.
	reader *batchReader

	// output has encoded messages that have not been written yet.
	output []byte

	// maxBatchBytes is the maximum size of a batch.
	maxBatchBytes int

	// writeTimeout limits each write.
	writeTimeout time.Duration

	// answerDeadline is the deadline of all writes until it is changed, besides writeTimeout. Zero sets none.
	answerDeadline time.Time

	// writeErr is the error of the first write that failed. After it nothing may be written any more, as a part of a
	// message may have been sent.
	writeErr error

	// memory is the memory for the batch, and unread the writes of all connections that callers don't take.
	memory memory
	unread *unreadWrites

	// aborted is set once the connection was closed for others. onAbort is called with the cause.
	aborted atomic.Bool
	onAbort func(cause string)

	// prepared has the session's prepared statements by the caller's names. A statement is added once the database has
	// accepted it.
	prepared map[string]egret.NamedStatement

	// preparedSize is the size of prepared. A named statement is refused if it would raise the size above the limits.
	preparedSize preparedSize
}

func newConn(n net.Conn, maxBatchBytes int) *Conn {
	r := &batchReader{
		netConn: n,
	}
	b := pgproto3.NewBackend(r, n)
	// The caller is not authenticated yet, so only small messages are read.
	b.SetMaxBodyLen(maxPacketBytes)
	c := &Conn{
		netConn:       n,
		backend:       b,
		reader:        r,
		maxBatchBytes: maxBatchBytes,
		prepared:      make(map[string]egret.NamedStatement),
	}
	r.flush = c.Flush
	r.reserve = c.reserveRead
	return c
}

// Write buffers encoded messages. At flushThresholdBytes it flushes the buffer, which blocks while the caller is slow
// to read.
func (c *Conn) Write(messages []byte) error {
	c.output = append(c.output, messages...)
	if len(c.output) < flushThresholdBytes {
		return nil
	}
	return c.Flush()
}

// WriteParameter reports the value of a parameter to the caller.
func (c *Conn) WriteParameter(name, value string) {
	c.send(&pgproto3.ParameterStatus{
		Name:  name,
		Value: value,
	})
}

// WriteError reports a failure to the caller. The session continues.
func (c *Conn) WriteError(f *egret.Failure) {
	c.send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                f.Code,
		Message:             f.Message,
		Detail:              "egretlane: " + f.Outcome.String(),
	})
}

// WriteFatal reports to the caller why the connection is closed.
func (c *Conn) WriteFatal(code, message string) {
	c.send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                code,
		Message:             message,
		Detail:              "egretlane: " + egret.OutcomeNotRun.String(),
	})
	// The caller may be disconnected already; the connection is closed in any case.
	_ = c.Flush()
}

// WriteReady tells the caller with ReadyForQuery that it may send the next batch.
func (c *Conn) WriteReady(s egret.TxStatus) {
	c.send(&pgproto3.ReadyForQuery{
		TxStatus: byte(s),
	})
}

// Flush writes the buffered output. It fails if the caller doesn't read it in time, so that a caller that reads nothing
// doesn't keep a member's connection in use.
func (c *Conn) Flush() error {
	if c.writeErr != nil || len(c.output) == 0 {
		return c.writeErr
	}
	if c.writeTimeout > 0 {
		// If this fails, the connection is closed and the write fails too.
		_ = c.netConn.SetWriteDeadline(c.writeDeadline(time.Now()))
	}
	err := c.writeOutput()
	c.output = c.output[:0]
	if cap(c.output) > 4*flushThresholdBytes {
		c.output = nil
	}
	c.writeErr = errors.Trace(err)
	return c.writeErr
}

// writeOutput writes the buffered output. Much of it counts as memory until the caller has taken it.
func (c *Conn) writeOutput() error {
	if len(c.output) < flushThresholdBytes {
		_, err := c.netConn.Write(c.output)
		return err
	}
	write := c.unread.begin(c, len(c.output))
	defer c.unread.end(write)
	held := int64(cap(c.output))
	c.memory.account.SetRunning(false)
	c.memory.account.Force(held)
	defer c.memory.account.Release(held)
	if c.memory.account.Closed() || c.aborted.Load() {
		return egret.ErrNoMemory
	}
	_, err := c.netConn.Write(c.output)
	if c.memory.charged > 0 {
		// endBatch ends it.
		c.memory.account.SetRunning(true)
	}
	return err
}

// reserveRead takes the memory for the long messages that begin in bytes that were read.
func (c *Conn) reserveRead(b []byte) error {
	if c.memory.account == nil {
		return nil
	}
	return c.memory.take(int64(c.reader.frames.scan(b, c.maxBatchBytes)) * messageCost)
}

// SetAnswerDeadline sets a deadline for all following writes, answerWriteGrace after the end of the request. Their own
// timeout applies as well. A zero end removes the deadline.
func (c *Conn) SetAnswerDeadline(end time.Time) {
	c.answerDeadline = end
	if !end.IsZero() {
		c.answerDeadline = end.Add(answerWriteGrace)
	}
}

func (c *Conn) writeDeadline(now time.Time) time.Time {
	d := now.Add(c.writeTimeout)
	if !c.answerDeadline.IsZero() && c.answerDeadline.Before(d) {
		return c.answerDeadline
	}
	return d
}

// drain makes waits for the first byte of a batch fail outside of a transaction, the current one and later ones, unless a
// batch has arrived.
func (c *Conn) drain() {
	c.reader.drain()
}

// end makes all reads fail with ErrDraining, the current one and later ones.
func (c *Conn) end() {
	c.reader.end()
}

// endOutput tells the caller that nothing follows, so that an encrypted connection doesn't look cut off.
func (c *Conn) endOutput() {
	if t, encrypted := c.netConn.(*tls.Conn); encrypted && c.writeErr == nil {
		// The caller may be disconnected already.
		_ = t.CloseWrite()
	}
}

// send encodes a message into the output.
func (c *Conn) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(c.output)
	if err != nil {
		// Encoding fails only for messages larger than a gigabyte, which the size limits rule out.
		return
	}
	c.output = out
}

// batchReader is an io.Reader whose wait for the first byte of a batch can be interrupted by drain. Other reads are not
// interrupted.
type batchReader struct {
	// netConn is the caller's connection.
	netConn net.Conn

	// flush sends the output that is buffered.
	flush func() error

	// frames finds long messages, and reserve takes memory for those that begin in the bytes that were read.
	frames  frameScanner
	reserve func(b []byte) error

	mu sync.Mutex

	// idle reports whether the reader waits for the first byte of a batch.
	idle bool

	// inTransaction reports whether a transaction is open. drain doesn't interrupt the wait then.
	inTransaction bool

	// draining reports whether the proxy is shutting down, and ending whether the time for that is over.
	draining, ending bool

	// idleDeadline is the deadline of the wait. Zero sets none. In a transaction it is the deadline for the whole
	// batch.
	idleDeadline time.Time

	// batchTimeout limits the time from the first to the last byte of a batch outside of a transaction.
	batchTimeout time.Duration
}

// beginWait records that the wait for a batch begins.
func (r *batchReader) beginWait(inTransaction bool, idleDeadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = true
	r.inTransaction = inTransaction
	r.idleDeadline = idleDeadline
}

// drain makes waits for the first byte of a batch fail outside of a transaction, the current one and later ones, unless a
// batch has arrived.
func (r *batchReader) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.endsWait() {
		// If this fails, the connection is closed and the read fails too.
		_ = r.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// end makes all reads fail, the current one and later ones.
func (r *batchReader) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ending = true
	// If this fails, the connection is closed and the read fails too.
	_ = r.netConn.SetReadDeadline(time.Unix(1, 0))
}

// Read reads from the connection. On a timeout it returns ErrDraining or ErrIdleTimeout if the caller is idle. Within a
// batch it returns ErrIdleTimeout if a transaction is open, or else ErrBatchTimeout. Once end was called, it returns
// ErrDraining.
func (r *batchReader) Read(b []byte) (int, error) {
	if !r.isEnding() {
		if err := r.flush(); err != nil {
			return 0, err
		}
	}
	if long := r.frames.longRemaining(); long > 0 && long < len(b) {
		// What follows a long message is read when that has been handled and its memory was returned.
		b = b[:long]
	}
	n, err := r.read(b)
	if err != nil {
		return n, err
	}
	if err := r.reserve(b[:n]); err != nil {
		return 0, err
	}
	// The caller may wait for this output before it sends the rest of the batch.
	return n, r.flush()
}

// read is Read without the output.
func (r *batchReader) read(b []byte) (int, error) {
	if err := r.setDeadline(); err != nil {
		return 0, err
	}
	n, err := r.netConn.Read(b)
	if isTimeout(err) && r.beginLastRead() {
		n, err = r.netConn.Read(b)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > 0 {
		return n, r.beginBatch()
	}
	if !isTimeout(err) {
		return n, err
	}
	switch {
	case r.ending, r.endsWait():
		return 0, ErrDraining
	case r.idle || r.inTransaction:
		return 0, ErrIdleTimeout
	default:
		return 0, ErrBatchTimeout
	}
}

// isEnding reports whether the session ends unless a batch has arrived.
func (r *batchReader) isEnding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ending || r.endsWait()
}

// endsWait reports whether the shutdown ends the wait for a batch. The caller holds mu.
func (r *batchReader) endsWait() bool {
	return r.idle && r.draining && !r.inTransaction
}

// beginLastRead prepares a read after a wait that the shutdown has ended, or returns false: a read whose deadline is over fails
// also if a batch has arrived.
func (r *batchReader) beginLastRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ending || !r.endsWait() {
		return false
	}
	return r.netConn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// beginBatch records that the first bytes of a batch were received: a shutdown doesn't interrupt the rest of it. The
// caller holds mu.
func (r *batchReader) beginBatch() error {
	if !r.idle {
		return nil
	}
	r.idle = false
	if r.inTransaction || r.ending {
		return nil
	}
	return r.netConn.SetReadDeadline(time.Now().Add(r.batchTimeout))
}

// setDeadline sets the read deadline of the wait for a batch, or returns ErrDraining once end was called.
func (r *batchReader) setDeadline() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ending {
		return ErrDraining
	}
	if !r.idle {
		return nil
	}
	if r.endsWait() {
		return r.netConn.SetReadDeadline(time.Unix(1, 0))
	}
	return r.netConn.SetReadDeadline(r.idleDeadline)
}
