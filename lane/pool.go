package lane

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel"

	"egretlane.example/egret"
)

const (
	// checkAfter is the idle time from which a connection is checked before it is lent.
	checkAfter = time.Second

	// checkWait bounds the check.
	checkWait = 250 * time.Millisecond

	// idleLimit is how long an unused connection is kept.
	idleLimit = 30 * time.Second

	// fullWait is how long a member that has its number of connections is asked again.
	fullWait = 500 * time.Millisecond

	// fullRetry is the time between two such tries.
	fullRetry = 25 * time.Millisecond
)

// tracer makes the spans of lanes.
var tracer = otel.Tracer("egretlane.example/egret/lane")

// connection returns an idle connection, or a new one. Connections whose setting fits go first.
func (l *lane) connection(ctx context.Context, readOnly bool) (*conn, error) {
	for {
		c := l.takeIdle(readOnly)
		if c == nil {
			return l.dial(ctx)
		}
		if time.Since(c.used) < checkAfter || c.answers() {
			return c, nil
		}
		l.discard(c, closedSilent)
		l.distrust()
	}
}

// distrust closes all idle connections, since one was found to have gone silent: what made it silent
// may have done so to the others, and new ones are cheaper than to find out.
func (l *lane) distrust() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropIdle(time.Time{}, closedSilent)
}

// takeIdle takes the connection that was used last, of those whose setting fits if there are any.
func (l *lane) takeIdle(readOnly bool) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		return nil
	}
	taken := len(l.idle) - 1
	for i, c := range slices.Backward(l.idle) {
		if c.readOnly == readOnly {
			taken = i
			break
		}
	}
	c := l.idle[taken]
	l.idle = slices.Delete(l.idle, taken, taken+1)
	return c
}

// answers makes a round trip to find connections that have gone silent.
func (c *conn) answers() bool {
	c.wire.SetDeadline(time.Now().Add(checkWait))
	defer c.wire.SetDeadline(time.Time{})
	c.wire.Send(&pgproto3.Sync{})
	if err := c.wire.Flush(0); err != nil {
		return false
	}
	for {
		m, err := c.wire.Receive()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			return egret.TxStatus(m.TxStatus) == egret.TxIdle
		case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		default:
			return false
		}
	}
}

// dial opens a connection. A member that has its number of connections is asked again for a
// moment, since two lanes may overlap.
func (l *lane) dial(ctx context.Context) (*conn, error) {
	ctx, span := tracer.Start(ctx, "lane.connect")
	defer span.End()
	l.makeRoom()
	giveUp := time.Now().Add(fullWait)
	for {
		wire, err := l.dialer().Open(ctx, l.member())
		if err == nil {
			l.opened()
			return &conn{
				wire: wire,
			}, nil
		}
		if !refusesConnections(err) || time.Now().After(giveUp) {
			span.RecordError(err)
			return nil, errors.Trace(err)
		}
		select {
		case <-time.After(fullRetry):
		case <-ctx.Done():
			return nil, errors.Trace(err)
		}
	}
}

// makeRoom closes idle connections so that a new one stays within the limit.
func (l *lane) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 && len(l.idle)+l.queue.Lent() > l.queue.Connections {
		l.closeConn(l.idle[0], closedIdle)
		l.idle = slices.Delete(l.idle, 0, 1)
	}
}

func (l *lane) member() egret.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.member
}

func (l *lane) opened() {
	l.holder.Metrics.Opened.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections++
	l.gauge()
}

// putBack keeps a connection for the next transaction.
func (l *lane) putBack(c *conn) {
	c.used = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil || !l.handover.IsZero() {
		l.closeConn(c, closedHandover)
		return
	}
	l.idle = append(l.idle, c)
}

// discard closes a connection.
func (l *lane) discard(c *conn, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConn(c, cause)
}

// closeConn closes a connection. The caller has mu.
func (l *lane) closeConn(c *conn, cause string) {
	c.wire.Close()
	l.connections--
	l.holder.Metrics.Closed.WithLabelValues(cause).Inc()
	l.gauge()
}

// dropIdle closes the connections that were unused since the time; a zero time means all. The
// caller has mu.
func (l *lane) dropIdle(since time.Time, cause string) {
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		drop := since.IsZero() || c.used.Before(since)
		if drop {
			l.closeConn(c, cause)
		}
		return drop
	})
}

// activate notes that a statement runs on the connection.
func (l *lane) activate(c *conn, reads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reads = reads
	l.active = append(l.active, c)
}

func (l *lane) deactivate(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = slices.DeleteFunc(l.active, func(a *conn) bool {
		return a == c
	})
}
