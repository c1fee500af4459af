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
	// maxAttempts bounds how often one statement is sent to a member. Replicas that lag refuse it within a round trip,
	// so a few attempts cost little. Those that wait for the floor take longer; the last attempt needs none of them.
	maxAttempts = 8

	// slowReadFactor is how many times longer than expected a read may take before it is sent to another member.
	slowReadFactor = 10

	// minReadTimeout is the least time that a member gets to answer a read.
	minReadTimeout = 250 * time.Millisecond

	// idleMargin is added to the time that a transaction may be idle, for the network delay between proxies.
	idleMargin = 200 * time.Millisecond

	// rollbackTimeout bounds a member's answer to a rollback.
	rollbackTimeout = time.Second
)

// Stream runs the statements of one session. It implements egret.Stream.
type Stream struct {
	lane *Lane

	// mu guards the fields below, which the timer of idle transactions also uses. It is locked before the lane's mu.
	mu sync.Mutex

	// conn is the connection of the open transaction, or nil.
	conn *conn

	// wrote is set if the open transaction may have written.
	wrote bool

	// idleTimer rolls back a transaction that is idle for too long.
	idleTimer *time.Timer
}

// Stream returns a new stream for the statements of one session.
func (l *Lane) Stream() *Stream {
	return &Stream{
		lane: l,
	}
}

// Do runs a statement and returns its answer. It also starts the timer of a transaction that stays open.
func (s *Stream) Do(ctx context.Context, w egret.StatementRequest) egret.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	ctx, span := spans.Start(ctx, "lane", w.Query.ID, w.Service)
	a := s.do(ctx, &w)
	spans.End(span, a.Member, a.Fault.Kind.String())
	if s.conn != nil {
		s.idleTimer = time.AfterFunc(w.IdleTimeout+idleMargin, s.expire)
	}
	return a
}

// do runs the statement by its place in a transaction.
func (s *Stream) do(ctx context.Context, w *egret.StatementRequest) egret.Answer {
	switch {
	case w.Query.Verb == egret.VerbRollback:
		s.rollback()
		return egret.Answer{
			Signature: "-",
			Status:    egret.TxIdle,
		}
	case w.InTransaction:
		return s.continueTransaction(ctx, w)
	case w.Begin != egret.VerbInvalid:
		return s.beginTransaction(ctx, w)
	default:
		return s.runSingle(ctx, w)
	}
}

// Close rolls back an open transaction.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	s.rollback()
}

// expire rolls back a transaction that was idle for too long.
func (s *Stream) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return
	}
	s.lane.EventLog.Event("transaction-expired").Str("service", s.lane.Service).Str("member", s.conn.member.id).Msg("rolled back the transaction: it was idle for too long")
	s.rollback()
}

// runSingle runs a statement outside of transactions, and again on other members while that is safe.
func (s *Stream) runSingle(ctx context.Context, w *egret.StatementRequest) egret.Answer {
	arrived := clock.Now()
	if a, refused := s.lane.refusedByMeter(w, arrived); refused {
		return a
	}
	it := s.lane.newItem(w, arrived, needOf(w))
	last := busyFault("no member ran the statement")
	for attempt := range maxAttempts {
		requirePrimaryAtLast(it, last, attempt)
		c, fault := s.lane.acquireConn(ctx, it, w)
		if fault.Kind != egret.FaultNone {
			if attempt == 0 {
				s.lane.unmeter(w, arrived)
			}
			return s.lane.refusedAnswer(w, fault, last, arrived)
		}
		a, retry := s.lane.attempt(c, it, w, attempt)
		if !retry {
			return a
		}
		last = a.Fault
	}
	return s.lane.refusedAnswer(w, last, last, arrived)
}

// requirePrimaryAtLast makes the last attempt of a read go to the primary if a replica has just refused the read for its lag. attempt
// counts the attempts before.
func requirePrimaryAtLast(it *sched.Item, last egret.Fault, attempt int) {
	if attempt == maxAttempts-1 && last.Kind == egret.FaultLagging {
		it.Need, it.Excluded = sched.NeedPrimary, nil
	}
}

// meter counts an operation against the quota of its workspace. It returns a fault if the operation must not run. One that
// this process can't take is not counted, as it is sent again.
func (l *Lane) meter(w *egret.StatementRequest) egret.Fault {
	if !w.Metered || l.Meter == nil {
		return egret.Fault{}
	}
	l.mu.Lock()
	ending := l.closed || l.draining
	l.mu.Unlock()
	if ending || !l.Lease.Valid() {
		return notHolderFault()
	}
	return l.Meter.Admit(w.Workspace, w.Priority)
}

// unmeter ends the count of an operation that was sent to no member. Operations that the queue refuses would otherwise use up
// the quota of a workspace whose callers repeat them.
func (l *Lane) unmeter(w *egret.StatementRequest, arrived clock.Time) {
	if w.Metered && l.Meter != nil {
		l.Meter.Return(w.Workspace, arrived)
	}
}

// refusedAnswer returns the answer for a statement that no member gave a result for. last is the fault of the attempt before,
// whose kind is added to the text of a busy fault.
func (l *Lane) refusedAnswer(w *egret.StatementRequest, f, last egret.Fault, arrived clock.Time) egret.Answer {
	if f.Kind == egret.FaultBusy && last.Kind != egret.FaultNone && last.Kind != egret.FaultBusy {
		f.Text += "; before that: " + last.Kind.String()
	}
	return l.refuse(w, f, f.Kind.String(), arrived)
}

// refuse logs that no member gave a result for the statement, counts it under the cause, and returns the answer with the fault.
func (l *Lane) refuse(w *egret.StatementRequest, f egret.Fault, cause string, arrived clock.Time) egret.Answer {
	if f.Kind != egret.FaultNotHolder {
		l.refusals.Count(w.Workspace, cause)
	}
	l.EventLog.Event("statement-refused").Str("request", w.Query.ID).Str("service", l.Service).Str("route", w.Route).
		Str("workspace", w.Workspace).Str("fault", f.Kind.String()).Str("cause", f.Text).Dur("waited", clock.Since(arrived)).Dur("timeout", w.Timeout).Msg("no member gave a result for the statement")
	return egret.Answer{
		Fault:  f,
		Status: egret.TxIdle,
	}
}

// acquireConn waits for a slot of a member and gets a connection to it. After a failure to connect it tries again
// until the statement's deadline, as nothing was sent.
func (l *Lane) acquireConn(ctx context.Context, it *sched.Item, w *egret.StatementRequest) (*conn, egret.Fault) {
	for {
		c, fault := l.tryAcquireConn(ctx, it, w)
		if c != nil || fault.Kind != egret.FaultNone {
			return c, fault
		}
	}
}

// tryAcquireConn is acquireConn for one slot. It returns neither a connection nor a fault if the statement has to wait
// for another slot, because the member could not be connected to or is no longer eligible.
func (l *Lane) tryAcquireConn(ctx context.Context, it *sched.Item, w *egret.StatementRequest) (*conn, egret.Fault) {
	m, fault := l.acquireSlot(ctx, it)
	if fault.Kind != egret.FaultNone {
		return nil, fault
	}
	if l.Metrics != nil {
		l.Metrics.ObserveQueueWait(w.Route, clock.Since(it.Arrived))
	}
	dialCtx, cancel := context.WithTimeout(ctx, clock.Until(it.Deadline))
	defer cancel()
	c, err := l.getConn(dialCtx, m, purpose{
		need:      it.Need,
		workspace: w.Workspace,
		values:    w.Values,
	})
	if err != nil {
		l.unassignConn(m, it)
		l.releaseSlot(m)
		if errors.Is(err, errIneligible) {
			return nil, egret.Fault{}
		}
		l.handleConnectError(dialCtx, m, err)
		if dialCtx.Err() != nil {
			return nil, busyFault("no connection was available in time")
		}
		l.excludeMember(it, m)
		return nil, egret.Fault{}
	}
	l.useConn(c, it)
	switch {
	case !l.Lease.Valid():
		fault = notHolderFault()
	case clock.Now() >= it.Deadline:
		fault = busyFault("no connection was available in time")
	default:
		return c, egret.Fault{}
	}
	l.putConn(c)
	l.releaseSlot(m)
	return nil, fault
}

// excludeMember excludes a member that failed a read from further attempts, until all members are excluded. Statements
// for the primary have no alternative: they are sent to it again until it is replaced.
func (l *Lane) excludeMember(it *sched.Item, m *member) {
	if it.Need != sched.NeedAny {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	it.Excluded = append(it.Excluded, m.id)
	if len(it.Excluded) >= len(l.members) {
		it.Excluded = nil
	}
}

// handleConnectError sends the member no new statements for busyBackoff, unless the context of the attempt ended first: the
// member may have needed more time than was left. Unless the member itself refused the connection, it also starts a check.
func (l *Lane) handleConnectError(ctx context.Context, m *member, err error) {
	refused := &egret.RefusedError{}
	if errors.As(err, &refused) {
		l.noteAnswer(m, egret.Position{})
		if refused.Fault.Kind == egret.FaultTooManyConnections && l.limitConnections(m) {
			return
		}
		l.backOff(m, busyBackoff)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.noteUnanswered(clock.Now())
	if ctx.Err() == nil {
		m.backoffUntil = clock.Now().Add(busyBackoff)
		l.limitAfterFailure(m)
	}
	l.startCheck(m)
}

// attempt sends a single statement and releases its slot. It returns true if the statement may be sent again. n counts
// the attempts before; the last one gets all the time that is left.
func (l *Lane) attempt(c *conn, it *sched.Item, w *egret.StatementRequest, n int) (egret.Answer, bool) {
	m := c.member
	floor := l.refreshedFloor(m, it, w)
	deadline := l.attemptDeadline(m, it, n)
	sent, usage := l.usageOf(m)
	commands := c.statementCommands(w, false, floor)
	answers, err := c.backend.Exchange(time.Now().Add(deadline.Sub(sent)), commands)
	elapsed := clock.Since(sent)
	load := l.loadSince(m, sent, usage)
	l.releaseSlot(m)
	if err != nil {
		l.handleExchangeError(c, w, sent, err)
		l.excludeMember(it, m)
		return l.unanswered(w, it, err), it.Need == sched.NeedAny && clock.Now() < it.Deadline
	}
	a := answers[len(answers)-1]
	a.Member = m.id
	l.recordAnswer(c, it, w, a, elapsed, load)
	if !setupSucceeded(answers) || a.Status != egret.TxIdle {
		l.discardConn(c)
	} else {
		l.putConn(c)
	}
	return l.evaluate(m, it, w, a)
}

// attemptDeadline returns until when the member's answer is awaited. n counts the attempts before. Statements that other
// members can run leave time for further attempts.
func (l *Lane) attemptDeadline(m *member, it *sched.Item, n int) clock.Time {
	if it.Need != sched.NeedAny || n >= maxAttempts-1 {
		return it.Deadline
	}
	return min(it.Deadline, clock.Now().Add(max(minReadTimeout, l.readTimeout(m, it))))
}

// readTimeout returns how long the member's answer to a read may take before the read is sent to another member.
func (l *Lane) readTimeout(m *member, it *sched.Item) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(it.Cost)*m.view.Slowness)*slowReadFactor + m.view.RoundTrip
}

// setupSucceeded reports whether all commands before the last one, the statement, succeeded.
func setupSucceeded(answers []egret.Answer) bool {
	for _, a := range answers[:len(answers)-1] {
		if a.Fault.Kind != egret.FaultNone {
			return false
		}
	}
	return true
}

// recordAnswer updates the member's state, the service times and the metrics from an answer. load is how many statements
// ran on the member on average meanwhile.
func (l *Lane) recordAnswer(c *conn, it *sched.Item, w *egret.StatementRequest, a egret.Answer, elapsed time.Duration, load float64) {
	m := c.member
	if l.Metrics != nil {
		l.Metrics.ObserveStatement(w.Route, a.Fault.Kind, elapsed)
	}
	l.noteAnswer(m, a.Position)
	if a.Fault.Kind != egret.FaultNone {
		if a.Fault.Kind == egret.FaultNoStatement {
			c.dirty = true
		}
		l.limitAfterFault(m, a.Fault.Kind, load)
		l.EventLog.Event("member-refused").Str("request", w.Query.ID).Str("service", l.Service).Str("member", m.id).
			Str("fault", a.Fault.Kind.String()).Str("floor", it.Floor.String()).Str("position", a.Position.String()).
			Dur("elapsed", elapsed).Msg("the member answered with a fault")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := costKey{
		route:  w.Route,
		writes: w.Writes,
	}
	service := max(time.Millisecond, elapsed-m.view.RoundTrip)
	l.limitAfterAnswer(m, key, service, load)
	m.view.Slowness = l.costs.learn(key, service, m.view.Slowness)
}

// evaluate returns the answer to a single statement, and whether the statement may be sent again instead. It updates
// the state of a member that refused the statement.
func (l *Lane) evaluate(m *member, it *sched.Item, w *egret.StatementRequest, a egret.Answer) (egret.Answer, bool) {
	switch a.Fault.Kind {
	case egret.FaultNone:
		if w.Writes {
			return l.recordCommit(w, a), false
		}
		return a, false
	case egret.FaultLagging:
		l.noteLag(m)
		l.refreshFloor(it, w)
		return a, true
	case egret.FaultBusy:
		l.backOff(m, busyBackoff)
		return a, true
	case egret.FaultReadOnly:
		l.invalidatePrimary(m)
		return a, true
	case egret.FaultNoStatement:
		return a, true
	case egret.FaultFailed:
		if !w.Writes && len(it.Excluded) == 0 {
			l.excludeMember(it, m)
			return a, true
		}
		return a, false
	default:
		return a, false
	}
}

// recordCommit adds a commit to the history before it is acknowledged to the caller, so that later reads see it. If
// the lease has expired meanwhile, the next holder may not know the commit, so the outcome is reported as unknown.
func (l *Lane) recordCommit(w *egret.StatementRequest, a egret.Answer) egret.Answer {
	l.mu.Lock()
	if !a.Position.IsZero() {
		l.history.RecordCommit(clock.Now(), a.Position)
	}
	a.Term = l.history.Term()
	closed := l.closed
	l.mu.Unlock()
	if closed || !l.Lease.Valid() {
		l.EventLog.Event("commit-in-doubt").Str("request", w.Query.ID).Str("service", l.Service).Msg("the lease expired before the commit was answered")
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

// handleExchangeError closes a connection after a failed exchange and starts a check of its member.
func (l *Lane) handleExchangeError(c *conn, w *egret.StatementRequest, sent clock.Time, err error) {
	l.EventLog.Event("exchange-failed").Str("request", w.Query.ID).Str("service", l.Service).Str("member", c.member.id).
		Dur("elapsed", clock.Since(sent)).Err(err).Msg("the exchange with the member failed before all answers arrived")
	l.discardConn(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.member.noteUnanswered(sent)
	l.limitAfterFailure(c.member)
	l.startCheck(c.member)
}

// unanswered returns the answer to a single statement that its member did not answer: a timeout for a read, an unknown
// outcome for a write.
func (l *Lane) unanswered(w *egret.StatementRequest, it *sched.Item, err error) egret.Answer {
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

func busyFault(text string) egret.Fault {
	return egret.Fault{
		Kind: egret.FaultBusy,
		Text: text,
	}
}

// limitConnections limits the member's connections to those that there are, as it refused a further one. It returns false
// if there are none that statements can use.
func (l *Lane) limitConnections(m *member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !m.conns.Refused(clock.Now()) {
		return false
	}
	l.dispatch()
	return true
}
