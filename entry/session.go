package entry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/route"
)

// Names of the parameters that a session is told at the end of its requests.
const (
	memberParameter   = "egretlane.member"
	positionParameter = "egretlane.position"
)

// session is a caller's session. Its own goroutine uses it; only cancel is called from others.
type session struct {
	desk *Desk
	conn *caller.Conn

	// floor is what the session has written or read.
	floor egret.Floor

	// raised has the time at which the floor of a group was last raised. A group that is missing
	// has none, or one that the caller's token brought.
	raised map[string]time.Time

	// settled has the groups whose floor was looked up.
	settled map[string]struct{}

	// readOnly is the default for the session's transactions.
	readOnly bool

	// open is the transaction that is open. Its tx is nil if there is none.
	open openTransaction

	// lost says that the caller's transaction is gone and the caller has yet to end it.
	lost bool

	// told has the parameters as the caller knows them.
	told told

	mu sync.Mutex

	// running is what a cancel request cancels. It is nil between requests.
	running egret.Transaction

	// canceled says that a cancel came while a request was running or waiting.
	canceled bool

	// stop ends the running request's waits. It is nil between requests.
	stop context.CancelFunc
}

// openTransaction is a transaction that outlives its first batch.
type openTransaction struct {
	// tx is the transaction at the lane.
	tx egret.Transaction

	// group is the group's name.
	group string

	// member is the member's name.
	member string

	// route is the route that the transaction was opened by.
	route *egret.Route

	// readOnly says that the transaction can't write.
	readOnly bool

	// role names what serves the transaction, for the metrics.
	role string
}

// told is what the caller was told last.
type told struct {
	// token, member and position are the values of the session's parameters.
	token, member, position string
}

func (s *session) run(ctx context.Context) {
	defer s.closeTransaction()
	for {
		in, err := s.conn.Next(s.open.tx != nil, s.idleEnd())
		if err != nil {
			s.farewell(err)
			return
		}
		s.serve(ctx, in)
		if err := s.conn.Flush(); err != nil {
			return
		}
		if s.conn.Draining() && s.open.tx == nil && !s.lost {
			s.farewell(caller.ErrDraining)
			return
		}
	}
}

// idleEnd returns when an open transaction has been idle for too long.
func (s *session) idleEnd() time.Time {
	if s.open.tx == nil {
		return time.Time{}
	}
	return time.Now().Add(s.desk.TransactionIdle)
}

func (s *session) farewell(err error) {
	switch {
	case errors.Is(err, caller.ErrDraining):
		s.conn.FailFatal("57P01", "the proxy is shutting down: connect again")
	case errors.Is(err, caller.ErrIdle):
		s.conn.FailFatal("25P03", "the transaction was idle for too long and is rolled back")
	case errors.Is(err, caller.ErrTooLarge):
		s.conn.FailFatal(egret.CodeTooLarge, err.Error()+": the connection ends")
	case errors.Is(err, caller.ErrTerminated):
	default:
		// A broken message or a caller that has gone. The latter doesn't see this.
		s.conn.FailFatal(egret.CodeProtocol, "the connection ends: "+errors.Cause(err).Error())
	}
}

// serve answers one batch.
func (s *session) serve(ctx context.Context, in *caller.Incoming) {
	if in.Refusal != nil {
		s.refuse(in.Refusal, in.Answered)
		return
	}
	texts := scan(in.Texts)
	if f := forbidden(texts); f != nil {
		s.refuse(f, false)
		return
	}
	r := route.Classify(texts, s.readOnly)
	if s.lost {
		s.serveLost(in, r)
		return
	}
	if s.serveHere(in, r) {
		return
	}
	if s.open.tx != nil {
		s.continueTransaction(ctx, in, r)
		return
	}
	s.begin(ctx, in, r)
}

// forbidden returns the refusal of what callers may not use, or nil.
func forbidden(texts []route.Text) *egret.Failure {
	for _, t := range texts {
		if t.Forbidden != "" {
			return unsupported("\"" + t.Forbidden + "\" is not offered to callers")
		}
	}
	return nil
}

func scan(texts []string) []route.Text {
	scanned := make([]route.Text, 0, len(texts))
	for _, t := range texts {
		scanned = append(scanned, route.Scan(t))
	}
	return scanned
}

// serveLost answers a caller whose transaction is gone: only its end is taken, alone, so that nothing
// that comes with it is taken for done or runs by itself.
func (s *session) serveLost(in *caller.Incoming, r route.Request) {
	if len(r.Actions) != 1 || r.Actions[0] != route.ActionEnd {
		s.fail(&egret.Failure{
			Outcome: egret.NotRun,
			Code:    "25P02",
			Message: "the transaction was rolled back: end it first, with a ROLLBACK by itself",
		}, egret.TxFailed)
		return
	}
	s.conn.Answer(in, caller.Answer{
		Tag: "ROLLBACK",
	})
	s.lost = !in.Runs
	s.ready(s.status())
}

// raise lifts the session's floor in a group.
func (s *session) raise(group string, p egret.Position) {
	if p.Compare(s.floor.At(group)) <= 0 {
		return
	}
	s.floor.Raise(group, p)
	s.raised[group] = time.Now()
}

// refuse reports that a batch is not run. An open transaction is rolled back, as a database does
// after any error.
func (s *session) refuse(f *egret.Failure, answered bool) {
	s.desk.Metrics.Requests.WithLabelValues("", roleNone, outcomeLabel(f, false)).Inc()
	status := egret.TxIdle
	if s.open.tx != nil || s.lost {
		s.closeTransaction()
		s.lost = true
		status = egret.TxFailed
	}
	if !answered {
		s.conn.Fail(f)
	}
	s.ready(status)
}

// fail reports a failure and the status after it.
func (s *session) fail(f *egret.Failure, status egret.TxStatus) {
	s.conn.Fail(f)
	s.ready(status)
}

// ready tells the caller what has changed, and that the next batch may come.
func (s *session) ready(status egret.TxStatus) {
	s.tell()
	s.conn.Ready(status)
}

func (s *session) tell() {
	token := s.desk.Sealer.Seal(s.conn.Start.User, s.conn.Start.Database, &s.floor)
	if len(s.floor.Marks()) > 0 && token != s.told.token {
		s.told.token = token
		s.conn.Parameter(caller.TokenParameter, token)
	}
}

// tellMember says which member served the request, and its log position.
func (s *session) tellMember(member string, p egret.Position) {
	if member != s.told.member {
		s.told.member = member
		s.conn.Parameter(memberParameter, member)
	}
	if position := p.String(); !p.IsZero() && position != s.told.position {
		s.told.position = position
		s.conn.Parameter(positionParameter, position)
	}
}

func (s *session) closeTransaction() {
	if s.open.tx == nil {
		return
	}
	s.open.tx.Close()
	s.open = openTransaction{}
}

// cancel cancels the running request. A request that waits ends as not run.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop == nil {
		return
	}
	s.canceled = true
	if s.running != nil {
		s.running.Cancel()
		return
	}
	s.stop()
}

// start marks a request as running. It returns false if the request was canceled.
func (s *session) start(tx egret.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = tx
	return !s.canceled
}

// arm makes cancel requests reach the request, until disarm.
func (s *session) arm(stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
	s.canceled = false
	s.running = nil
}

func (s *session) disarm() {
	s.arm(nil)
}

func (s *session) isCanceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// reply counts what passes to the caller.
type reply struct {
	// conn is the caller.
	conn *caller.Conn

	// sent is the number of bytes that have passed.
	sent int

	// parseCompletes is the number of statements that the database has prepared.
	parseCompletes int

	// failed says that an error of the database has passed.
	failed bool
}

// pass hands encoded messages to the caller. Messages are whole.
func (p *reply) pass(messages []byte) error {
	const header = 5
	for rest := messages; len(rest) >= header; {
		switch rest[0] {
		case '1':
			p.parseCompletes++
		case 'E':
			p.failed = true
		}
		length := 1 + int(binary.BigEndian.Uint32(rest[1:header]))
		if length > len(rest) {
			break
		}
		rest = rest[length:]
	}
	p.sent += len(messages)
	return p.conn.Write(messages)
}
