package caller

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"egretlane.example/egret/alloc"
)

const (
	// longBytes is the size from which on messages, batches and output take memory of the budget. It is the size of the buffer
	// from which messages are decoded.
	longBytes = 8 << 10

	// messageCost is the memory that a long message takes in relation to its size: the buffer, which is a power of two, and the
	// decoded text.
	messageCost = 3

	// headerBytes is the length of a message's header: its type and the length of the rest.
	headerBytes = 5

	// unreadDelay is how long a write must take, and a second more for each unreadRate bytes, before its connection is closed
	// as too many take as long. The rate is that of the slowest links.
	unreadDelay = 250 * time.Millisecond
	unreadRate  = 1 << 20
)

// frameScanner finds the lengths of messages in the bytes that a caller sends, before the messages are decoded.
type frameScanner struct {
	// header has the first headerLen bytes of a header that isn't complete.
	header    [headerBytes]byte
	headerLen int

	// remaining is how much of the current message has not been scanned, long whether the message is a long one.
	remaining int
	long      bool
}

// scan scans the next bytes, and returns the total size of the long messages that begin in them. Messages over the limit are
// not counted, as they are refused.
func (f *frameScanner) scan(b []byte, maxBytes int) int {
	total := 0
	for len(b) > 0 {
		if f.remaining > 0 {
			n := min(f.remaining, len(b))
			f.remaining -= n
			b = b[n:]
			continue
		}
		n := copy(f.header[f.headerLen:], b)
		f.headerLen += n
		b = b[n:]
		if f.headerLen < headerBytes {
			break
		}
		f.headerLen = 0
		size := int(int32(binary.BigEndian.Uint32(f.header[1:]))) - 4
		f.long = size > longBytes && size <= maxBytes
		f.remaining = max(0, size)
		if f.long {
			total += size
		}
	}
	return total
}

// longRemaining returns how much of a long message is to be read, or zero.
func (f *frameScanner) longRemaining() int {
	if f.long {
		return f.remaining
	}
	return 0
}

// memory is the memory that a connection has for its batch and its prepared statements.
type memory struct {
	account *alloc.Account

	// charged is what the batch holds, prepared what prepared statements hold.
	charged, prepared int64
}

// take takes bytes for the batch, and waits for them.
func (m *memory) take(n int64) error {
	if n <= 0 {
		return nil
	}
	if err := m.account.Take(n); err != nil {
		return err
	}
	m.charged += n
	return nil
}

// endBatch returns the memory of the batch. Of the memory of prepared statements it keeps what those of the session need.
func (m *memory) endBatch(preparedBytes int) {
	if m.charged > 0 {
		m.account.SetRunning(false)
		m.account.Release(m.charged)
		m.charged = 0
	}
	if surplus := m.prepared - int64(preparedBytes); surplus > 0 {
		m.account.Release(surplus)
		m.prepared -= surplus
	}
}

// takePrepared takes memory for a prepared statement, or returns false.
func (m *memory) takePrepared(n int) bool {
	if !m.account.TryTake(int64(n)) {
		return false
	}
	m.prepared += int64(n)
	return true
}

// unreadWrites counts the writes whose callers don't take the output. Each may keep a slot of a member in use.
type unreadWrites struct {
	// limit is the maximum number of blocked writes, or zero for no limit.
	limit int

	// count is the number of writes in progress.
	count atomic.Int64
}

// begin registers a write of n bytes and returns a timer for end. If the write takes long while more than the limit are in
// progress, its connection is closed.
func (u *unreadWrites) begin(c *Conn, n int) *time.Timer {
	if u == nil || u.limit == 0 {
		return nil
	}
	u.count.Add(1)
	return time.AfterFunc(unreadDelay+time.Duration(n)*time.Second/unreadRate, func() {
		if u.count.Load() > int64(u.limit) {
			c.abort("unread-answer")
		}
	})
}

// end ends a write.
func (u *unreadWrites) end(t *time.Timer) {
	if t != nil {
		t.Stop()
		u.count.Add(-1)
	}
}

// abort makes the connection fail, and counts the cause.
func (c *Conn) abort(cause string) {
	if !c.aborted.Swap(true) && c.onAbort != nil {
		c.onAbort(cause)
	}
	c.disconnect()
}

// disconnect makes reads and writes fail.
func (c *Conn) disconnect() {
	// If this fails, the connection is closed already.
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

// limitSocket sets the sizes of the system's buffers of a connection.
func limitSocket(n net.Conn, bytes int) {
	if t, ok := n.(*net.TCPConn); ok && bytes > 0 {
		// If this fails, the system's sizes apply.
		_ = t.SetReadBuffer(bytes)
		_ = t.SetWriteBuffer(bytes)
	}
}
