package member

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

const (
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second

	// answerTimeout is the timeout of a request, beyond the time that the member itself may wait.
	answerTimeout = 2 * time.Second

	// minHedgeDelay is the least time that an answer may be late before the request is also sent on a second connection.
	minHedgeDelay = 200 * time.Millisecond

	// statusStatementName is the name of a connection's only prepared statement.
	statusStatementName = "egretlane-state"

	// hedgeLatencyFactor is the ratio of the hedge delay to the usual latency, if that gives more than minHedgeDelay.
	hedgeLatencyFactor = 3
)

// controlLink is a persistent connection, on which one request runs at a time.
type controlLink struct {
	// ctx ends all requests.
	ctx context.Context

	// dialer opens connections.
	dialer *Dialer

	// idleTimer closes conn when the link has been unused for idleTimeout.
	idleTimer *time.Timer

	// sem has one element while the link is in use. It guards the fields from here to mu.
	sem chan struct{}

	// conn is nil while there is no connection.
	conn *pgconn.PgConn

	// latency is the usual latency of answers, beyond the time that the member itself may wait. It rises at once and
	// falls slowly.
	latency time.Duration

	// mu guards next. It is acquired last.
	mu sync.Mutex

	// next is the shared request that is sent next, or nil.
	next *pendingCall
}

// pendingCall is a request that waits for the link or for its answer.
type pendingCall struct {
	member  egret.Member
	request request

	// done is closed when state and err are set.
	done chan struct{}

	state egret.MemberState
	err   error
}

// attempt is the result of sending a request on one connection. The connection is nil if it couldn't be opened.
type attempt struct {
	conn  *pgconn.PgConn
	state egret.MemberState
	err   error
}

// submit returns the shared call that is sent next if r may be shared and there is one, or else a new call. An unshared
// call whose context ends before it is sent is dropped.
func (l *controlLink) submit(ctx context.Context, m egret.Member, r request) *pendingCall {
	p := &pendingCall{
		member:  m,
		request: r,
		done:    make(chan struct{}),
	}
	if !r.shared {
		go l.run(ctx, p)
		return p
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != nil {
		return l.next
	}
	l.next = p
	go l.run(l.ctx, p)
	return p
}

// run sends the request when the link is free.
func (l *controlLink) run(ctx context.Context, p *pendingCall) {
	defer close(p.done)
	select {
	case l.sem <- struct{}{}:
	case <-ctx.Done():
		p.err = errors.Annotate(ctx.Err(), "control connection in use")
		return
	}
	defer l.release()
	l.mu.Lock()
	if l.next == p {
		l.next = nil
	}
	l.mu.Unlock()
	if ctx.Err() != nil {
		p.err = errors.Trace(ctx.Err())
		return
	}
	p.state, p.err = l.execute(p)
}

// execute sends the request on the kept connection, or on a new one if there is none. If the kept connection fails and
// mayRepeat allows it, or an idempotent request's answer is late, it also sends the request on a new connection.
func (l *controlLink) execute(p *pendingCall) (egret.MemberState, error) {
	ctx, cancel := context.WithTimeout(l.ctx, p.request.memberWait+answerTimeout)
	defer cancel()
	start := time.Now()
	attempts := make(chan attempt, 2)
	if l.conn == nil || l.conn.IsClosed() {
		go l.tryNewConn(ctx, p, attempts)
		return l.finish(<-attempts)
	}
	kept := l.conn
	go tryConn(ctx, kept, p, attempts)
	late := time.NewTimer(p.request.memberWait + l.hedgeDelay())
	defer late.Stop()
	select {
	case a := <-attempts:
		if !hasAnswered(a.err) && p.request.mayRepeat(a.err) {
			go l.tryNewConn(ctx, p, attempts)
			a = <-attempts
		}
		l.recordLatency(time.Since(start) - p.request.memberWait)
		return l.finish(a)
	case <-late.C:
	}
	if !p.request.idempotent {
		return l.finish(<-attempts)
	}
	go l.tryNewConn(ctx, p, attempts)
	first := <-attempts
	if !hasAnswered(first.err) {
		first = <-attempts
	}
	if first.conn == kept {
		l.recordLatency(time.Since(start) - p.request.memberWait)
	}
	go closeSlower(first.conn, kept, attempts)
	return l.finish(first)
}

// closeSlower closes the connection of the slower of two attempts.
func closeSlower(first *pgconn.PgConn, kept *pgconn.PgConn, attempts <-chan attempt) {
	if first != kept {
		_ = kept.Conn().Close()
		return
	}
	select {
	case other := <-attempts:
		if other.conn != nil && other.conn != first {
			_ = other.conn.Conn().Close()
		}
	case <-time.After(answerTimeout):
	}
}

// finish keeps the connection of the attempt if it is still usable, or else closes it, and returns the answer.
func (l *controlLink) finish(a attempt) (egret.MemberState, error) {
	if hasAnswered(a.err) {
		l.replaceConn(a.conn)
	} else {
		l.replaceConn(nil)
		if a.conn != nil {
			_ = a.conn.Conn().Close()
		}
	}
	return a.state, a.err
}

// tryNewConn sends the request on a new connection.
func (l *controlLink) tryNewConn(ctx context.Context, p *pendingCall, attempts chan<- attempt) {
	conn, err := l.dialer.Connect(ctx, p.member, PurposeControl)
	if err != nil {
		attempts <- attempt{
			err: err,
		}
		return
	}
	tryConn(ctx, conn, p, attempts)
}

// tryConn sends the request on a connection.
func tryConn(ctx context.Context, conn *pgconn.PgConn, p *pendingCall, attempts chan<- attempt) {
	state, err := query(ctx, conn, p.request)
	attempts <- attempt{
		conn:  conn,
		state: state,
		err:   err,
	}
}

// query sends the request and parses the state row, which is the last result of the answer.
func query(ctx context.Context, conn *pgconn.PgConn, r request) (egret.MemberState, error) {
	if r.shared {
		return queryPrepared(ctx, conn, r)
	}
	results, err := conn.Exec(ctx, r.query).ReadAll()
	if err != nil {
		return egret.MemberState{}, err
	}
	if len(results) == 0 || len(results[len(results)-1].Rows) != 1 {
		return egret.MemberState{}, errors.NotValidf("answer to %q", r.query)
	}
	return ParseState(results[len(results)-1].Rows[0], time.Now())
}

// queryPrepared sends a request that is repeated on the connection. It prepares the statement the second time, so that
// later answers come without the description of their columns, which is most of their size.
func queryPrepared(ctx context.Context, conn *pgconn.PgConn, r request) (egret.MemberState, error) {
	data := conn.CustomData()
	_, sent := data[r.query]
	statement, _ := data[r.query].(*pgconn.StatementDescription)
	if !sent {
		data[r.query] = nil
		r.shared = false
		return query(ctx, conn, r)
	}
	if statement == nil {
		prepared, err := conn.Prepare(ctx, statusStatementName, r.query, nil)
		if err != nil {
			return egret.MemberState{}, err
		}
		statement = prepared
		data[r.query] = prepared
	}
	result := conn.ExecStatement(ctx, statement, nil, nil, nil).Read()
	if result.Err != nil {
		return egret.MemberState{}, result.Err
	}
	if len(result.Rows) != 1 {
		return egret.MemberState{}, errors.NotValidf("answer to %q", r.query)
	}
	return ParseState(result.Rows[0], time.Now())
}

// hasAnswered reports whether a call with this error, or with none, got an answer from the member. A refusal is one,
// unless it is fatal and ends the connection.
func hasAnswered(err error) bool {
	var refusal *pgconn.PgError
	return err == nil || errors.As(err, &refusal) && refusal.Severity != "FATAL"
}

// mayRepeat reports whether the request may be sent again after the error.
func (r *request) mayRepeat(err error) bool {
	return r.idempotent || pgconn.SafeToRetry(err)
}

// hedgeDelay returns how long an answer may be late before the request is also sent on a second connection.
func (l *controlLink) hedgeDelay() time.Duration {
	return min(answerTimeout, max(minHedgeDelay, hedgeLatencyFactor*l.latency))
}

// recordLatency updates the usual latency with that of an answer.
func (l *controlLink) recordLatency(d time.Duration) {
	l.latency = max(d, l.latency*9/10)
}

// replaceConn keeps conn in place of the present connection, which it closes unless it is the same.
func (l *controlLink) replaceConn(conn *pgconn.PgConn) {
	if l.conn != nil && l.conn != conn {
		_ = l.conn.Conn().Close()
	}
	l.conn = conn
}

// release frees the link and restarts idleTimer.
func (l *controlLink) release() {
	l.idleTimer.Reset(idleTimeout)
	<-l.sem
}

// closeIdle closes the connection unless a request uses it.
func (l *controlLink) closeIdle() {
	select {
	case l.sem <- struct{}{}:
		l.replaceConn(nil)
		<-l.sem
	default:
	}
}
