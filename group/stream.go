package group

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
	"egretlane.example/egret/spans"
)

const (
	// maxTries bounds how often one statement is given a member. Replicas that lag refuse within a
	// round trip, so a few tries cost little.
	maxTries = 8

	// trySlowness is after how many expected times a read is tried on another member.
	trySlowness = 10

	// minTry is the least time that a read is given on a member.
	minTry = 250 * time.Millisecond

	// idleSlack is added to the time that a transaction may rest, for the way between proxies.
	idleSlack = 200 * time.Millisecond

	// rollbackTimeout bounds the rollback of a transaction.
	rollbackTimeout = time.Second
)

// Stream runs the statements of one session. It implements egret.Stream.
type Stream struct {
	lane *Lane

	// mu guards all below against the timer of resting transactions. It comes before the lane's mu.
	mu sync.Mutex

	// conn is the connection of the open transaction, or nil.
	conn *conn

	// wrote says that the open transaction may have written.
	wrote bool

	// rest ends a transaction that rests for too long.
	rest *time.Timer
}

// Stream returns a new stream.
func (l *Lane) Stream() *Stream {
	return &Stream{
		lane: l,
	}
}

// Do runs a statement.
func (s *Stream) Do(ctx context.Context, w egret.Work) egret.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rest != nil {
		s.rest.Stop()
	}
	ctx, span := spans.Start(ctx, "lane", w.Query.ID, w.Service)
	a := s.do(ctx, &w)
	spans.End(span, a.Member, a.Fault.Kind.String())
	if s.conn != nil {
		s.rest = time.AfterFunc(w.Idle+idleSlack, s.expire)
	}
	return a
}

func (s *Stream) do(ctx context.Context, w *egret.Work) egret.Answer {
	switch {
	case w.Query.Verb == egret.VerbRollback:
		s.rollback()
		return egret.Answer{
			Signature: "-",
			Status:    egret.TxIdle,
		}
	case w.InTransaction:
		return s.proceed(ctx, w)
	case w.Begin != egret.VerbInvalid:
		return s.begin(ctx, w)
	default:
		return s.single(ctx, w)
	}
}

// Close rolls an open transaction back.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rest != nil {
		s.rest.Stop()
	}
	s.rollback()
}

// expire ends a transaction that rested for too long.
func (s *Stream) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return
	}
	s.lane.Trail.Event("transaction-expired").Str("service", s.lane.Service).Str("member", s.conn.member.backend.ID).Msg("the transaction rested for too long")
	s.rollback()
}

// single runs a statement outside of transactions.
func (s *Stream) single(ctx context.Context, w *egret.Work) egret.Answer {
	arrived := clock.Now()
	it := s.lane.item(w, arrived, need(w))
	last := busy("no member ran the statement")
	for try := range maxTries {
		c, fault := s.lane.open(ctx, it, w)
		if fault.Kind != egret.FaultNone {
			return s.lane.refused(w, fault, last, arrived)
		}
		a, again := s.lane.run(c, it, w, try)
		if !again {
			return a
		}
		last = a.Fault
	}
	return s.lane.refused(w, last, last, arrived)
}

// refused logs and returns the fault of a statement that no member ran.
func (l *Lane) refused(w *egret.Work, f, last egret.Fault, arrived clock.Time) egret.Answer {
	if f.Kind == egret.FaultBusy && last.Kind != egret.FaultNone && last.Kind != egret.FaultBusy {
		f.Text += "; before that: " + last.Kind.String()
	}
	l.Trail.Event("statement-refused").Str("request", w.Query.ID).Str("service", l.Service).Str("route", w.Route).
		Str("fault", f.Kind.String()).Str("cause", f.Text).Dur("waited", clock.Since(arrived)).Dur("timeout", w.Timeout).Msg("not run")
	return egret.Answer{
		Fault:  f,
		Status: egret.TxIdle,
	}
}

// open waits for a slot and takes a connection. Members that can't be used are tried again until the
// statement's deadline, as nothing was sent.
func (l *Lane) open(ctx context.Context, it *sched.Item, w *egret.Work) (*conn, egret.Fault) {
	for {
		c, fault := l.tryOpen(ctx, it, w)
		if c != nil || fault.Kind != egret.FaultNone {
			return c, fault
		}
	}
}

// tryOpen is open with one member. It returns no connection and no fault if the member couldn't be used.
func (l *Lane) tryOpen(ctx context.Context, it *sched.Item, w *egret.Work) (*conn, egret.Fault) {
	m, fault := l.acquire(ctx, it)
	if fault.Kind != egret.FaultNone {
		return nil, fault
	}
	if l.Counts != nil {
		l.Counts.Waited(w.Route, clock.Since(it.Arrived))
	}
	c, err := l.take(ctx, m, it.Need, w.Values)
	if err == nil && !l.Holding.Valid() {
		l.give(c)
		l.release(m)
		return nil, moved()
	}
	if err == nil {
		return c, egret.Fault{}
	}
	l.release(m)
	if errors.Is(err, errOutdated) {
		return nil, egret.Fault{}
	}
	l.unconnected(m, err)
	l.avoid(it, m)
	return nil, egret.Fault{}
}

// avoid keeps a statement from a member that failed it, as long as there are others. There is only one
// primary: it is asked again until it is replaced.
func (l *Lane) avoid(it *sched.Item, m *member) {
	if it.Need != sched.NeedAny {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	it.Avoid = append(it.Avoid, m.backend.ID)
	if len(it.Avoid) >= len(l.members) {
		it.Avoid = nil
	}
}

// unconnected acts on a failed connect.
func (l *Lane) unconnected(m *member, err error) {
	refused := &egret.RefusedError{}
	if errors.As(err, &refused) {
		l.answered(m, egret.Position{})
		l.rest(m, busyRest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.unheard(clock.Now())
	m.rested = clock.Now().Add(busyRest)
	l.check(m)
}

// run sends a single statement. It returns true if the statement may be tried again.
func (l *Lane) run(c *conn, it *sched.Item, w *egret.Work, try int) (egret.Answer, bool) {
	m := c.member
	floor := l.sendFloor(m, it, w)
	deadline := it.Deadline
	if it.Need == sched.NeedAny && try < maxTries-1 {
		deadline = min(deadline, clock.Now().Add(max(minTry, l.patience(m, it))))
	}
	sent := clock.Now()
	commands := append(c.setup(w, false), statement(w, floor))
	answers, err := c.backend.Exchange(time.Now().Add(deadline.Sub(sent)), commands)
	elapsed := clock.Since(sent)
	l.release(m)
	if err != nil {
		l.broken(c, w, sent, err)
		l.avoid(it, m)
		return l.lost(w, it, err), it.Need == sched.NeedAny && clock.Now() < it.Deadline
	}
	a := answers[len(answers)-1]
	a.Member = m.backend.ID
	l.ran(c, it, w, a, elapsed)
	if !setupDone(answers) || a.Status != egret.TxIdle {
		l.discard(c)
	} else {
		l.give(c)
	}
	return l.judge(m, it, w, a)
}

// patience returns how long an answer of the member may take before the statement is tried elsewhere.
func (l *Lane) patience(m *member, it *sched.Item) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(it.Cost)*m.view.Slowness)*trySlowness + m.view.Distance
}

// setupDone reports whether all commands before the statement were done.
func setupDone(answers []egret.Answer) bool {
	for _, a := range answers[:len(answers)-1] {
		if a.Fault.Kind != egret.FaultNone {
			return false
		}
	}
	return true
}

// ran learns from an answer.
func (l *Lane) ran(c *conn, it *sched.Item, w *egret.Work, a egret.Answer, elapsed time.Duration) {
	m := c.member
	if l.Counts != nil {
		l.Counts.Ran(w.Route, a.Fault.Kind, elapsed)
	}
	l.answered(m, a.Position)
	if a.Fault.Kind != egret.FaultNone {
		l.Trail.Event("member-refused").Str("request", w.Query.ID).Str("service", l.Service).Str("member", m.backend.ID).
			Str("fault", a.Fault.Kind.String()).Str("floor", it.Floor.String()).Str("position", a.Position.String()).
			Dur("elapsed", elapsed).Msg("the member did not give a result")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.view.Slowness = l.costs.learn(costKey{
		route:  w.Route,
		writes: w.Writes,
	}, max(time.Millisecond, elapsed-m.view.Distance), m.view.Slowness)
}

// judge decides what becomes of a single statement's answer.
func (l *Lane) judge(m *member, it *sched.Item, w *egret.Work, a egret.Answer) (egret.Answer, bool) {
	switch a.Fault.Kind {
	case egret.FaultNone:
		if w.Writes {
			return l.committed(w, a), false
		}
		return a, false
	case egret.FaultLagging:
		l.lagged(m)
		l.renewFloor(it, w)
		return a, true
	case egret.FaultBusy:
		l.rest(m, busyRest)
		return a, true
	case egret.FaultReadOnly:
		l.demoted(m)
		return a, true
	case egret.FaultNoStatement:
		return a, true
	case egret.FaultFailed:
		if !w.Writes && len(it.Avoid) == 0 {
			l.avoid(it, m)
			return a, true
		}
		return a, false
	default:
		return a, false
	}
}

// committed makes a commit known to later reads before its caller hears of it. If the right to the
// service has lapsed meanwhile, a successor may not know the commit, so its outcome stays open.
func (l *Lane) committed(w *egret.Work, a egret.Answer) egret.Answer {
	l.mu.Lock()
	if !a.Position.IsZero() {
		l.history.Commit(clock.Now(), a.Position)
	}
	a.Term = l.history.Term()
	ended := l.ended
	l.mu.Unlock()
	if ended || !l.Holding.Valid() {
		l.Trail.Event("commit-in-doubt").Str("request", w.Query.ID).Str("service", l.Service).Msg("the holding lapsed before the answer")
		return egret.Answer{
			Fault: egret.Fault{
				Kind: egret.FaultInDoubt,
				Text: "the holder changed before the commit was confirmed",
			},
			Status: egret.TxIdle,
		}
	}
	return a
}

// broken drops a connection after a failed exchange and has its member checked.
func (l *Lane) broken(c *conn, w *egret.Work, sent clock.Time, err error) {
	l.Trail.Event("exchange-failed").Str("request", w.Query.ID).Str("service", l.Service).Str("member", c.member.backend.ID).
		Dur("elapsed", clock.Since(sent)).Err(err).Msg("no whole answer from the member")
	l.discard(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.member.unheard(sent)
	l.check(c.member)
}

// lost is the answer for a single statement whose answer didn't come.
func (l *Lane) lost(w *egret.Work, it *sched.Item, err error) egret.Answer {
	kind := egret.FaultTimeout
	if w.Writes {
		kind = egret.FaultInDoubt
	}
	text := "the member gave no answer: " + errors.Cause(err).Error()
	if clock.Now() >= it.Deadline {
		text = "no answer within the statement's time"
	}
	return egret.Answer{
		Fault: egret.Fault{
			Kind: kind,
			Text: text,
		},
		Status: egret.TxIdle,
	}
}

func busy(text string) egret.Fault {
	return egret.Fault{
		Kind: egret.FaultBusy,
		Text: text,
	}
}
