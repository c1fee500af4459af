package group

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

// begin opens a transaction and runs its first statement in the same slot.
func (s *Stream) begin(ctx context.Context, w *egret.Work) egret.Answer {
	s.rollback()
	arrived := clock.Now()
	it := s.lane.item(w, arrived, need(w))
	last := busy("no member opened the transaction")
	for range maxTries {
		c, fault := s.lane.open(ctx, it, w)
		if fault.Kind != egret.FaultNone {
			return s.lane.refused(w, fault, last, arrived)
		}
		a, opened := s.lane.openTransaction(c, it, w)
		if !opened {
			s.lane.release(c.member)
			last = a.Fault
			if a.Fault.Kind.NotRun() || a.Fault.Kind == egret.FaultTimeout {
				continue
			}
			return s.lane.refused(w, aborted("the transaction was not opened: "+a.Fault.Text), last, arrived)
		}
		s.conn = c
		s.wrote = false
		return s.exchange(it, w)
	}
	return s.lane.refused(w, busy("no member opened the transaction"), last, arrived)
}

// openTransaction sends BEGIN, alone: were the statement sent with it, it would run outside of the
// transaction if the member refused to open one.
func (l *Lane) openTransaction(c *conn, it *sched.Item, w *egret.Work) (egret.Answer, bool) {
	m := c.member
	begin := egret.Command{
		Kind: egret.CommandBegin,
	}
	if w.Begin == egret.VerbBeginRead {
		begin.Kind = egret.CommandBeginRead
		begin.Floor = l.sendFloor(m, it, w)
	}
	sent := clock.Now()
	commands := append(c.setup(w, false), begin)
	answers, err := c.backend.Exchange(time.Now().Add(it.Deadline.Sub(sent)), commands)
	if err != nil {
		l.broken(c, w, sent, err)
		return egret.Answer{
			Fault: egret.Fault{
				Kind: egret.FaultTimeout,
				Text: "the member did not open the transaction",
			},
		}, false
	}
	a := answers[len(answers)-1]
	l.answered(m, a.Position)
	if a.Fault.Kind == egret.FaultNone && a.Status == egret.TxOpen && setupDone(answers) {
		return a, true
	}
	l.discard(c)
	switch a.Fault.Kind {
	case egret.FaultNone:
		a.Fault = busy("the connection was not set up")
	case egret.FaultLagging:
		l.lagged(m)
		l.renewFloor(it, w)
	case egret.FaultBusy:
		l.rest(m, busyRest)
	case egret.FaultReadOnly:
		l.demoted(m)
	}
	return a, false
}

// proceed runs a further statement of the open transaction.
func (s *Stream) proceed(ctx context.Context, w *egret.Work) egret.Answer {
	if s.conn == nil {
		return s.over(w, aborted("the transaction was ended before"))
	}
	it := s.lane.item(w, clock.Now(), sched.NeedMember)
	it.Member = s.conn.member.backend.ID
	_, fault := s.lane.acquire(ctx, it)
	if fault.Kind != egret.FaultNone {
		s.rollback()
		return s.over(w, aborted("the transaction was rolled back: "+fault.Text))
	}
	return s.exchange(it, w)
}

// exchange sends a statement on the transaction's connection, in a slot that it gives back.
func (s *Stream) exchange(it *sched.Item, w *egret.Work) egret.Answer {
	l, c := s.lane, s.conn
	if !l.Holding.Valid() {
		l.release(c.member)
		s.drop()
		return s.over(w, aborted("the holder of the service changed"))
	}
	commit := w.Query.Verb == egret.VerbCommit
	sent := clock.Now()
	commands := append(c.setup(w, true), statement(w, egret.Position{}))
	l.sending(c, sent)
	answers, err := c.backend.Exchange(time.Now().Add(it.Deadline.Sub(sent)), commands)
	elapsed := clock.Since(sent)
	l.sending(c, 0)
	l.release(c.member)
	if err != nil {
		s.conn = nil
		l.broken(c, w, sent, err)
		if commit && s.wrote {
			return s.over(w, egret.Fault{
				Kind: egret.FaultInDoubt,
				Text: "no answer to the commit",
			})
		}
		return s.over(w, aborted("the connection to the member was lost"))
	}
	a := answers[len(answers)-1]
	a.Member = c.member.backend.ID
	l.ran(c, it, w, a, elapsed)
	s.wrote = s.wrote || w.Writes
	if commit {
		return s.ended(w, a)
	}
	if a.Fault.Kind == egret.FaultNone && a.Status == egret.TxOpen && setupDone(answers) {
		return a
	}
	if a.Fault.Kind == egret.FaultNone {
		a.Fault = aborted("the transaction failed on the member")
	}
	if a.Fault.Kind == egret.FaultReadOnly {
		l.demoted(c.member)
	}
	// Nothing of a failed transaction is kept, so its connection is free again.
	s.rollback()
	a.Rows, a.Signature = nil, ""
	a.Status = egret.TxFailed
	return a
}

// ended settles a transaction whose commit was answered.
func (s *Stream) ended(w *egret.Work, a egret.Answer) egret.Answer {
	l, c := s.lane, s.conn
	s.conn = nil
	if a.Status == egret.TxIdle {
		l.give(c)
	} else {
		l.discard(c)
	}
	if a.Fault.Kind != egret.FaultNone {
		if a.Fault.Kind == egret.FaultReadOnly {
			l.demoted(c.member)
		}
		return s.over(w, a.Fault)
	}
	a.Status = egret.TxIdle
	if s.wrote {
		return l.committed(w, a)
	}
	return a
}

// over is the answer for a transaction that has ended without a result.
func (s *Stream) over(w *egret.Work, f egret.Fault) egret.Answer {
	status := egret.TxFailed
	if w.Query.Verb == egret.VerbCommit {
		status = egret.TxIdle
	}
	s.lane.Trail.Event("transaction-lost").Str("request", w.Query.ID).Str("service", s.lane.Service).Str("route", w.Route).
		Str("fault", f.Kind.String()).Str("cause", f.Text).Msg("the transaction ended without a result")
	return egret.Answer{
		Fault:  f,
		Status: status,
	}
}

// rollback ends an open transaction and keeps its connection, if the member answers.
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
		s.lane.discard(c)
		return
	}
	s.lane.give(c)
}

// drop ends an open transaction with its connection.
func (s *Stream) drop() {
	if s.conn != nil {
		s.lane.discard(s.conn)
		s.conn = nil
	}
}

// sending notes when a statement of a transaction is sent, or zero when it was answered.
func (l *Lane) sending(c *conn, now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.member.started[c] = now
}

func aborted(text string) egret.Fault {
	return egret.Fault{
		Kind: egret.FaultAborted,
		Text: text,
	}
}
