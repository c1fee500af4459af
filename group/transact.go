package group

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

// beginTransaction rolls back an open transaction, opens a new one and runs its first statement in the same slot.
func (s *Stream) beginTransaction(ctx context.Context, w *egret.StatementRequest) egret.Answer {
	s.rollback()
	arrived := clock.Now()
	if a, refused := s.lane.refusedByMeter(w, arrived); refused {
		return a
	}
	it := s.lane.newItem(w, arrived, needOf(w))
	last := busyFault("no member opened the transaction")
	for attempt := range maxAttempts {
		requirePrimaryAtLast(it, last, attempt)
		c, fault := s.lane.acquireConn(ctx, it, w)
		if fault.Kind != egret.FaultNone {
			if attempt == 0 {
				s.lane.unmeter(w, arrived)
			}
			return s.lane.refusedAnswer(w, fault, last, arrived)
		}
		a, opened := s.lane.sendBegin(c, it, w, attempt)
		if !opened {
			s.lane.releaseSlot(c.member)
			last = a.Fault
			if a.Fault.Kind.NotRun() || a.Fault.Kind == egret.FaultTimeout {
				continue
			}
			return s.lane.refusedAnswer(w, abortedFault("the transaction was not opened: "+a.Fault.Text), last, arrived)
		}
		s.conn = c
		s.wrote = false
		if ctx.Err() != nil {
			// The sender has given up this stream, and may have sent the statement on another one.
			s.lane.releaseSlot(c.member)
			s.rollback()
			return s.lane.refusedAnswer(w, abortedFault("the stream ended before the statement was sent"), last, arrived)
		}
		return s.exchange(c.member, it, w)
	}
	return s.lane.refusedAnswer(w, busyFault("no member opened the transaction"), last, arrived)
}

// sendBegin sends BEGIN without the first statement: if the member refused to open a transaction, a statement in the
// same exchange would run outside of one. It returns true if the transaction is open, and otherwise the answer with
// the fault. n counts the attempts before.
func (l *Lane) sendBegin(c *conn, it *sched.Item, w *egret.StatementRequest, n int) (egret.Answer, bool) {
	m := c.member
	begin := egret.Command{
		Kind: egret.CommandBegin,
	}
	if w.Begin == egret.VerbBeginRead {
		begin.Kind = egret.CommandBeginRead
		begin.Floor = l.refreshedFloor(m, it, w)
	}
	deadline := l.attemptDeadline(m, it, n)
	sent, usage := l.usageOf(m)
	setup, _ := c.setupCommands(w, false)
	answers, err := c.backend.Exchange(time.Now().Add(deadline.Sub(sent)), append(setup, begin))
	if err != nil {
		l.handleExchangeError(c, w, sent, err)
		l.excludeMember(it, m)
		return egret.Answer{
			Fault: egret.Fault{
				Kind: egret.FaultTimeout,
				Text: "the member did not open the transaction",
			},
		}, false
	}
	a := answers[len(answers)-1]
	l.noteAnswer(m, a.Position)
	if a.Fault.Kind == egret.FaultNone && a.Status == egret.TxOpen && setupSucceeded(answers) {
		return a, true
	}
	l.discardConn(c)
	l.limitAfterFault(m, a.Fault.Kind, l.loadSince(m, sent, usage))
	switch a.Fault.Kind {
	case egret.FaultNone:
		a.Fault = busyFault("the connection was not set up")
	case egret.FaultLagging:
		l.noteLag(m)
		l.refreshFloor(it, w)
	case egret.FaultBusy:
		l.backOff(m, busyBackoff)
	case egret.FaultReadOnly:
		l.invalidatePrimary(m)
	}
	return a, false
}

// continueTransaction runs a further statement of the open transaction on the transaction's member.
func (s *Stream) continueTransaction(ctx context.Context, w *egret.StatementRequest) egret.Answer {
	if s.conn == nil {
		return s.lostTransaction(w, abortedFault("the transaction was ended before"))
	}
	it := s.lane.newItem(w, clock.Now(), sched.NeedMember)
	it.MemberID = s.conn.member.id
	m, fault := s.lane.acquireSlot(ctx, it)
	if fault.Kind != egret.FaultNone {
		s.rollback()
		return s.lostTransaction(w, abortedFault("the transaction was rolled back: "+fault.Text))
	}
	return s.exchange(m, it, w)
}

// exchange sends a statement on the transaction's connection, and releases the slot that the statement was given. The slot's
// member is another object than the connection's if the member was removed and registered again meanwhile.
func (s *Stream) exchange(slot *member, it *sched.Item, w *egret.StatementRequest) egret.Answer {
	l, c := s.lane, s.conn
	if !l.Lease.Valid() {
		l.releaseSlot(slot)
		s.discardConn()
		return s.lostTransaction(w, abortedFault("the holder of the service changed"))
	}
	commit := w.Query.Verb == egret.VerbCommit
	sent, usage := l.usageOf(c.member)
	commands := c.statementCommands(w, true, egret.Position{})
	l.setSent(c, sent)
	answers, err := c.backend.Exchange(time.Now().Add(it.Deadline.Sub(sent)), commands)
	elapsed := clock.Since(sent)
	load := l.loadSince(c.member, sent, usage)
	l.setSent(c, 0)
	l.releaseSlot(slot)
	if err != nil {
		s.conn = nil
		l.handleExchangeError(c, w, sent, err)
		if commit && s.wrote {
			return s.lostTransaction(w, egret.Fault{
				Kind: egret.FaultInDoubt,
				Text: "no answer to the commit",
			})
		}
		return s.lostTransaction(w, abortedFault("the connection to the member was lost"))
	}
	a := answers[len(answers)-1]
	a.Member = c.member.id
	l.recordAnswer(c, it, w, a, elapsed, load)
	s.wrote = s.wrote || w.Writes
	if commit {
		return s.finishCommit(w, a)
	}
	if a.Fault.Kind == egret.FaultNone && a.Status == egret.TxOpen && setupSucceeded(answers) {
		return a
	}
	if a.Fault.Kind == egret.FaultNone {
		a.Fault = abortedFault("the transaction failed on the member")
	}
	if a.Fault.Kind == egret.FaultReadOnly {
		l.invalidatePrimary(c.member)
	}
	// No write of a failed transaction is kept, so it is rolled back now and its connection becomes idle.
	s.rollback()
	a.Rows, a.Signature = nil, ""
	a.Status = egret.TxFailed
	return a
}

// finishCommit returns the answer of a transaction whose commit was answered, and releases its connection.
func (s *Stream) finishCommit(w *egret.StatementRequest, a egret.Answer) egret.Answer {
	l, c := s.lane, s.conn
	s.conn = nil
	if a.Status == egret.TxIdle {
		l.putConn(c)
	} else {
		l.discardConn(c)
	}
	if a.Fault.Kind != egret.FaultNone {
		if a.Fault.Kind == egret.FaultReadOnly {
			l.invalidatePrimary(c.member)
		}
		return s.lostTransaction(w, a.Fault)
	}
	a.Status = egret.TxIdle
	if s.wrote {
		return l.recordCommit(w, a)
	}
	return a
}

// lostTransaction logs that the transaction has ended without a result, and returns the answer with the fault.
func (s *Stream) lostTransaction(w *egret.StatementRequest, f egret.Fault) egret.Answer {
	status := egret.TxFailed
	if w.Query.Verb == egret.VerbCommit {
		status = egret.TxIdle
	}
	s.lane.EventLog.Event("transaction-lost").Str("request", w.Query.ID).Str("service", s.lane.Service).Str("route", w.Route).
		Str("fault", f.Kind.String()).Str("cause", f.Text).Msg("the transaction ended without a result")
	return egret.Answer{
		Fault:  f,
		Status: status,
	}
}

// rollback rolls back an open transaction. Its connection is kept if the member confirms the rollback.
func (s *Stream) rollback() {
	c := s.conn
	if c == nil {
		return
	}
	s.conn = nil
	answers, err := c.backend.Exchange(time.Now().Add(rollbackTimeout), []egret.Command{{
		Kind: egret.CommandRollback,
	}})
	if err != nil || answers[0].Fault.Kind != egret.FaultNone || answers[0].Status != egret.TxIdle {
		s.lane.discardConn(c)
		return
	}
	s.lane.putConn(c)
}

// discardConn closes the connection of an open transaction, with which the member rolls it back.
func (s *Stream) discardConn() {
	if s.conn != nil {
		s.lane.discardConn(s.conn)
		s.conn = nil
	}
}

// setSent records when a statement of a transaction was sent. Zero records that it was answered.
func (l *Lane) setSent(c *conn, sent clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.member.inUse[c] = sent
}

func abortedFault(text string) egret.Fault {
	return egret.Fault{
		Kind: egret.FaultAborted,
		Text: text,
	}
}
