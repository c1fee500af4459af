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
	// linkIdle is how long an unused control connection is kept.
	linkIdle = 30 * time.Second

	// answerLimit bounds a question, beyond the time that the member may take.
	answerLimit = 2 * time.Second

	// firstPatience is how long an answer may be late before a second connection is tried.
	firstPatience = 200 * time.Millisecond

	// preparedName is the name of the one prepared statement of a connection.
	preparedName = "egretlane-state"

	// patienceFactor is how many times the usual delay of answers that is, if it is more.
	patienceFactor = 3
)

// link is a kept connection, on which one question runs at a time.
type link struct {
	// ctx ends all questions.
	ctx context.Context

	// dialer opens connections.
	dialer *Dialer

	// idle closes conn when the link was unused for long.
	idle *time.Timer

	// lock has one element while the link is in use. It guards the fields up to mu.
	lock chan struct{}

	// conn is nil while there is no connection.
	conn *pgconn.PgConn

	// delay is how late answers usually are. It rises at once and falls slowly.
	delay time.Duration

	// mu guards next. It is taken last.
	mu sync.Mutex

	// next is the shared question that is asked next, or nil.
	next *question
}

// question is a request on its way.
type question struct {
	member  egret.Member
	request request

	// done is closed when state and err are set.
	done chan struct{}

	state egret.MemberState
	err   error
}

// attempt is a try to ask on one connection.
type attempt struct {
	conn  *pgconn.PgConn
	state egret.MemberState
	err   error
}

// join returns the question that is asked next, if it may be shared and there is one, or a new one.
// A question whose context ends before it is asked is dropped.
func (l *link) join(ctx context.Context, m egret.Member, r request) *question {
	q := &question{
		member:  m,
		request: r,
		done:    make(chan struct{}),
	}
	if !r.shared {
		go l.serve(ctx, q)
		return q
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != nil {
		return l.next
	}
	l.next = q
	go l.serve(l.ctx, q)
	return q
}

// serve asks a question when it is its turn.
func (l *link) serve(ctx context.Context, q *question) {
	defer close(q.done)
	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		q.err = errors.Annotate(ctx.Err(), "control connection in use")
		return
	}
	defer l.release()
	l.mu.Lock()
	if l.next == q {
		l.next = nil
	}
	l.mu.Unlock()
	if ctx.Err() != nil {
		q.err = errors.Trace(ctx.Err())
		return
	}
	q.state, q.err = l.ask(q)
}

// ask asks on the kept connection, and on a new one if that fails or is late.
func (l *link) ask(q *question) (egret.MemberState, error) {
	ctx, cancel := context.WithTimeout(l.ctx, q.request.wait+answerLimit)
	defer cancel()
	began := time.Now()
	tries := make(chan attempt, 2)
	if l.conn == nil || l.conn.IsClosed() {
		go l.tryNew(ctx, q, tries)
		return l.settle(<-tries)
	}
	kept := l.conn
	go tryOn(ctx, kept, q, tries)
	late := time.NewTimer(q.request.wait + l.patience())
	defer late.Stop()
	select {
	case a := <-tries:
		if !answered(a.err) && q.request.mayRepeat(a.err) {
			go l.tryNew(ctx, q, tries)
			a = <-tries
		}
		l.noteDelay(time.Since(began) - q.request.wait)
		return l.settle(a)
	case <-late.C:
	}
	if !q.request.idempotent {
		return l.settle(<-tries)
	}
	go l.tryNew(ctx, q, tries)
	first := <-tries
	if !answered(first.err) {
		first = <-tries
	}
	if first.conn == kept {
		l.noteDelay(time.Since(began) - q.request.wait)
	}
	go dropOther(first.conn, kept, tries)
	return l.settle(first)
}

// dropOther closes what the slower of two attempts was made on.
func dropOther(won *pgconn.PgConn, kept *pgconn.PgConn, tries <-chan attempt) {
	if won != kept {
		_ = kept.Conn().Close()
		return
	}
	select {
	case other := <-tries:
		if other.conn != nil && other.conn != won {
			_ = other.conn.Conn().Close()
		}
	case <-time.After(answerLimit):
	}
}

// settle keeps the connection of the attempt that counts, if it can be used on.
func (l *link) settle(a attempt) (egret.MemberState, error) {
	if answered(a.err) {
		l.replace(a.conn)
	} else {
		l.replace(nil)
		if a.conn != nil {
			_ = a.conn.Conn().Close()
		}
	}
	return a.state, a.err
}

// tryNew asks on a new connection.
func (l *link) tryNew(ctx context.Context, q *question, tries chan<- attempt) {
	conn, err := l.dialer.Connect(ctx, q.member, PurposeControl)
	if err != nil {
		tries <- attempt{
			err: err,
		}
		return
	}
	tryOn(ctx, conn, q, tries)
}

// tryOn asks on a connection.
func tryOn(ctx context.Context, conn *pgconn.PgConn, q *question, tries chan<- attempt) {
	state, err := query(ctx, conn, q.request)
	tries <- attempt{
		conn:  conn,
		state: state,
		err:   err,
	}
}

// query asks and reads the state row, the last of the answer.
func query(ctx context.Context, conn *pgconn.PgConn, r request) (egret.MemberState, error) {
	if r.shared {
		return queryOften(ctx, conn, r)
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

// queryOften asks what a connection is asked again and again. The second time it prepares the
// statement, so that later answers come without the description of their columns, which is most of
// their size.
func queryOften(ctx context.Context, conn *pgconn.PgConn, r request) (egret.MemberState, error) {
	data := conn.CustomData()
	_, asked := data[r.query]
	statement, _ := data[r.query].(*pgconn.StatementDescription)
	if !asked {
		data[r.query] = nil
		r.shared = false
		return query(ctx, conn, r)
	}
	if statement == nil {
		prepared, err := conn.Prepare(ctx, preparedName, r.query, nil)
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

// answered reports whether the member has answered, if only with a refusal.
func answered(err error) bool {
	var refusal *pgconn.PgError
	return err == nil || errors.As(err, &refusal) && refusal.Severity != "FATAL"
}

// mayRepeat reports whether the request may be sent again after an error.
func (r *request) mayRepeat(err error) bool {
	return r.idempotent || pgconn.SafeToRetry(err)
}

// patience is how long an answer may be late before a second connection is tried.
func (l *link) patience() time.Duration {
	return min(answerLimit, max(firstPatience, patienceFactor*l.delay))
}

// noteDelay takes in how late an answer was.
func (l *link) noteDelay(d time.Duration) {
	l.delay = max(d, l.delay*9/10)
}

// replace closes the kept connection and keeps another, which may be the same.
func (l *link) replace(conn *pgconn.PgConn) {
	if l.conn != nil && l.conn != conn {
		_ = l.conn.Conn().Close()
	}
	l.conn = conn
}

// release unlocks the link and starts the time that it may stay unused.
func (l *link) release() {
	l.idle.Reset(linkIdle)
	<-l.lock
}

// dropIdle closes the connection unless a question uses it.
func (l *link) dropIdle() {
	select {
	case l.lock <- struct{}{}:
		l.replace(nil)
		<-l.lock
	default:
	}
}
