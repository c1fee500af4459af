package lane

import (
	"context"
	"sync/atomic"
	"time"

	"egretlane.example/egret/member"
)

// conn is a lane's connection for statements. One transaction uses it at a time.
type conn struct {
	memberConn *member.Conn

	// prepared are the statements that are prepared on the connection.
	prepared preparedStatements

	// readOnly says that transactions begin as read-only on the connection.
	readOnly bool

	// lastUsed is when the last transaction on the connection ended.
	lastUsed time.Time

	// runsRead says that the running batch is read-only. lane.mu guards it.
	runsRead bool

	// replyTimer measures how long a reply is outstanding.
	replyTimer replyTimer

	// cancelled says that a cancel request was sent. It may arrive late and cancel a statement of a
	// later transaction, so the connection isn't reused.
	cancelled atomic.Bool
}

// cancel asks the member to cancel the running statement. It doesn't wait for the result.
func (c *conn) cancel() {
	c.cancelled.Store(true)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// If the request doesn't arrive, the statement ends by itself or with the connection.
		_ = c.memberConn.Cancel(ctx)
	}()
}
