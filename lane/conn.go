package lane

import (
	"context"
	"sync/atomic"
	"time"

	"egretlane.example/egret/member"
)

// conn is a connection of a lane. One transaction uses it at a time.
type conn struct {
	wire *member.Conn

	// names are the prepared statements that the connection has.
	names names

	// readOnly says that its next transactions refuse writes.
	readOnly bool

	// used is when a transaction last ended on it.
	used time.Time

	// reads says that what runs has no effect. Lane.mu guards it.
	reads bool

	// silence measures how long an answer is awaited.
	silence silence

	// cancelled says that a cancel request was sent. A late one could hit a later transaction, so
	// the connection isn't lent again.
	cancelled atomic.Bool
}

// cancel asks the member to cancel what runs on the connection. It returns at once.
func (c *conn) cancel() {
	c.cancelled.Store(true)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
		defer cancel()
		// A cancel that doesn't arrive changes nothing: the statement ends by itself or with the
		// connection.
		_ = c.wire.Cancel(ctx)
	}()
}
