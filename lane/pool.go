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
	// idleCheckAfter is the idle time from which a connection is checked before it is reused.
	idleCheckAfter = time.Second

	// idleCheckTimeout bounds the check.
	idleCheckTimeout = 250 * time.Millisecond

	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second

	// tooManyConnectionsTimeout is how long a connection is attempted while the member refuses it
	// because of its limit.
	tooManyConnectionsTimeout = 500 * time.Millisecond

	// tooManyConnectionsRetryInterval is the interval between these attempts.
	tooManyConnectionsRetryInterval = 25 * time.Millisecond
)

// tracer creates the spans of lanes.
var tracer = otel.Tracer("egretlane.example/egret/lane")

// acquireConn returns an idle connection or a new one. Idle connections with the same read-only
// setting are preferred.
func (l *lane) acquireConn(ctx context.Context, readOnly bool) (*conn, error) {
	for {
		c := l.takeIdle(readOnly)
		if c == nil {
			return l.dial(ctx)
		}
		if time.Since(c.lastUsed) < idleCheckAfter || c.isAlive() {
			return c, nil
		}
		l.discard(c, closedSilent)
		l.closeAllIdle()
	}
}

// closeAllIdle closes all idle connections after one of them was found not to answer: the cause may
// have affected the others too, and opening new ones costs less than checking each.
func (l *lane) closeAllIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle(time.Time{}, closedSilent)
}

// takeIdle removes and returns the most recently used idle connection, if possible one with the
// same read-only setting. It returns nil if there is none.
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

// isAlive makes a round trip to detect connections on which the member no longer answers.
func (c *conn) isAlive() bool {
	c.memberConn.SetDeadline(time.Now().Add(idleCheckTimeout))
	defer c.memberConn.SetDeadline(time.Time{})
	c.memberConn.Send(&pgproto3.Sync{})
	if err := c.memberConn.Flush(0); err != nil {
		return false
	}
	for {
		m, err := c.memberConn.Receive()
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

// dial opens a connection. If the member refuses it because of its limit, dial retries for a short
// time, since the connections of a lane's old and new owner may overlap during a handover.
func (l *lane) dial(ctx context.Context) (*conn, error) {
	ctx, span := tracer.Start(ctx, "lane.connect")
	defer span.End()
	l.closeIdleAboveLimit()
	deadline := time.Now().Add(tooManyConnectionsTimeout)
	for {
		memberConn, err := l.dialer().Open(ctx, l.member())
		if err == nil {
			l.recordOpened()
			return &conn{
				memberConn: memberConn,
			}, nil
		}
		if !isTooManyConnections(err) || time.Now().After(deadline) {
			span.RecordError(err)
			return nil, errors.Trace(err)
		}
		select {
		case <-time.After(tooManyConnectionsRetryInterval):
		case <-ctx.Done():
			return nil, errors.Trace(err)
		}
	}
}

// closeIdleAboveLimit closes the least recently used idle connections so that a new one stays
// within the limit.
func (l *lane) closeIdleAboveLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 && len(l.idle)+l.queue.HeldConns() > l.queue.Connections {
		l.closeConnLocked(l.idle[0], closedIdle)
		l.idle = slices.Delete(l.idle, 0, 1)
	}
}

func (l *lane) member() egret.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.member
}

func (l *lane) recordOpened() {
	l.manager.Metrics.ConnectionsOpened.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections++
	l.updateGauges()
}

// putBack makes a connection available for the next transaction.
func (l *lane) putBack(c *conn) {
	c.lastUsed = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil || !l.handoverSince.IsZero() {
		l.closeConnLocked(c, closedHandover)
		return
	}
	l.idle = append(l.idle, c)
}

// discard closes a connection and counts the cause.
func (l *lane) discard(c *conn, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConnLocked(c, cause)
}

// closeConnLocked is discard for callers that hold mu.
func (l *lane) closeConnLocked(c *conn, cause string) {
	c.memberConn.Close()
	l.connections--
	l.manager.Metrics.ConnectionsClosed.WithLabelValues(cause).Inc()
	l.updateGauges()
}

// closeIdle closes the connections that have been idle since before the given time; a zero time
// means all. The caller holds mu.
func (l *lane) closeIdle(before time.Time, cause string) {
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		drop := before.IsZero() || c.lastUsed.Before(before)
		if drop {
			l.closeConnLocked(c, cause)
		}
		return drop
	})
}

// activate records that a batch runs on the connection.
func (l *lane) activate(c *conn, readOnly bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.runsRead = readOnly
	l.active = append(l.active, c)
}

func (l *lane) deactivate(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = slices.DeleteFunc(l.active, func(a *conn) bool {
		return a == c
	})
}
