package fleet

import (
	"context"
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/group"
)

const (
	// rerouteDelay is the delay before a statement that found no holder is routed again.
	rerouteDelay = 20 * time.Millisecond

	// failFastAfter is how long both the holder and the store must have been unresponsive before statements
	// are refused at once.
	failFastAfter = time.Second

	// minRemainingTime is the time until its timeout that a statement must have left to be sent.
	minRemainingTime = 5 * time.Millisecond
)

// CallerStream returns a stream for a caller's statements, which routes them to the holders of their services.
func (f *Fleet) CallerStream() egret.Stream {
	return &routedStream{
		fleet:              f,
		mayForward:         true,
		mayRouteIndirectly: true,
	}
}

// PeerStream returns a stream for statements from another proxy. If mayForward is set, it may forward them to
// the holder.
func (f *Fleet) PeerStream(mayForward bool) egret.Stream {
	return &routedStream{
		fleet:      f,
		mayForward: mayForward,
	}
}

// routedStream routes the statements of a session, and changes its target when the service or its holder
// changes.
type routedStream struct {
	fleet *Fleet

	// mayForward allows sending statements to the proxy that holds the service, and mayRouteIndirectly
	// also to a proxy that forwards them to the holder.
	mayForward, mayRouteIndirectly bool

	// stream is the open stream to target, or nil.
	stream egret.Stream
	target target
}

// target is the destination of a service's statements. The zero target means that there is none.
type target struct {
	// lane is set if this process holds the service.
	lane *group.Lane

	// address is that of the proxy that holds the service. If indirect is set, it is that of a proxy
	// that reaches the holder.
	address  netip.AddrPort
	indirect bool
}

// targetOf returns the current target for the service's statements.
func (r *routedStream) targetOf(service string) target {
	f := r.fleet
	f.mu.Lock()
	lane, l := f.lanes[service], f.leases[service]
	f.mu.Unlock()
	if lane != nil {
		return target{
			lane: lane,
		}
	}
	if l == nil || !r.mayForward {
		return target{}
	}
	// A contested holder serves on until a claim takes effect. The record shows that late if the store fails then.
	if h := l.ContestedHolder(); h != nil && h.Node != f.Self.ID && f.answers(h.Address) && f.GaveUpAt(h.Revision) == 0 {
		return target{
			address: h.Address,
		}
	}
	s, known := l.LatestRecord()
	if !known || !s.Stored.Exists() || s.Record.Released || s.Record.Node == f.Self.ID {
		return target{}
	}
	if _, unansweredSince := f.Pool.Liveness(s.Record.Address); r.mayRouteIndirectly && unansweredSince != 0 &&
		clock.Since(unansweredSince) > suspectAfter {
		f.probeIndirectly(s.Record.Address, s.Record.Incarnation)
		if via, found := f.indirectRoute(s.Record.Address); found {
			return target{
				address:  via,
				indirect: true,
			}
		}
	}
	return target{
		address: s.Record.Address,
	}
}

// Do routes a statement to the holder of its service. Until the timeout, it routes the statement again if
// it has not run, if it is a read, or if its transaction can no longer be committed. A write or a commit
// that was sent to a holder that is then lost is answered with FaultInDoubt.
func (r *routedStream) Do(ctx context.Context, w egret.StatementRequest) egret.Answer {
	deadline := clock.Now().Add(w.Timeout)
	if w.InTransaction {
		return r.continueTransaction(ctx, w)
	}
	lastCause := "no process holds the service"
	for {
		remaining := clock.Until(deadline)
		if remaining < minRemainingTime || ctx.Err() != nil {
			return r.refuse(w, lastCause)
		}
		// Only the statements of callers are refused here. Other proxies get FaultNotHolder below, as they may
		// have newer information.
		if cause := r.fleet.unavailableCause(w.Service); cause != "" && r.mayRouteIndirectly {
			return r.refuse(w, cause)
		}
		t := r.targetOf(w.Service)
		if t == (target{}) && r.fleet.awaitsUnreachable(w.Service) > remaining {
			// The former holder may still use the service. Another process that the caller turns to may reach it.
			return r.refuse(w, "the former holder's lease may be valid for longer than the statement has time")
		}
		if !r.connect(t) {
			if !r.mayForward {
				return faultAnswer(egret.FaultNotHolder, "this process doesn't hold the service", egret.TxIdle)
			}
			sleep(ctx, min(rerouteDelay, remaining))
			continue
		}
		w.Timeout = remaining
		a := r.stream.Do(ctx, w)
		switch {
		case a.Fault.Kind == egret.FaultNotHolder:
			lastCause = a.Fault.Text
			r.Close()
			r.fleet.pingAfterMove(r.target.address)
			sleep(ctx, min(rerouteDelay, remaining))
		case a.Fault.Kind != egret.FaultNoAnswer:
			return a
		case w.Writes && w.Begin == egret.VerbInvalid:
			return r.answerInDoubt(w, a)
		default:
			// The statement is a read, or the first of a transaction that can no longer be committed.
			lastCause = a.Fault.Text
			r.Close()
		}
	}
}

// continueTransaction runs a further statement of the open transaction at the target where it was opened.
func (r *routedStream) continueTransaction(ctx context.Context, w egret.StatementRequest) egret.Answer {
	status := egret.TxFailed
	if w.Query.Verb == egret.VerbCommit {
		status = egret.TxIdle
	}
	if r.stream == nil {
		return faultAnswer(egret.FaultAborted, "the proxy that had the transaction was lost", status)
	}
	a := r.stream.Do(ctx, w)
	switch {
	case a.Fault.Kind == egret.FaultNotHolder:
		return faultAnswer(egret.FaultAborted, "the holder of the service changed", status)
	case a.Fault.Kind != egret.FaultNoAnswer:
		return a
	case w.Query.Verb == egret.VerbCommit && w.Writes:
		return r.answerInDoubt(w, a)
	}
	r.Close()
	return faultAnswer(egret.FaultAborted, a.Fault.Text, status)
}

// unavailableCause returns why no process can run the service's statements for now, or "" if one may.
// While the store doesn't answer, no process can replace a holder that is lost or has given up.
func (f *Fleet) unavailableCause(service string) string {
	downSince := clock.Time(f.storeDownSince.Load())
	l := f.Lease(service)
	if downSince == 0 || clock.Since(downSince) < failFastAfter || l == nil {
		return ""
	}
	s, known := l.LatestRecord()
	switch {
	case !known || !s.Stored.Exists():
		return ""
	case s.Record.Node == f.Self.ID && !l.Acquired():
		return "this process has lost its right to the service, and the store gives no answer to renew it"
	case s.Record.Node == f.Self.ID:
		return ""
	case f.GaveUpAt(s.Revision) != 0:
		return "the holder has given up the service, and the store gives no answer to replace it"
	}
	_, unansweredSince := f.Pool.Liveness(s.Record.Address)
	if unansweredSince == 0 || clock.Since(unansweredSince) < failFastAfter {
		return ""
	}
	if _, reachable := f.indirectRoute(s.Record.Address); reachable {
		return ""
	}
	return "the holder of the service is lost, and the store gives no answer to replace it"
}

// awaitsUnreachable returns how long this process waits until it may use the service, as the voters of its former holder
// can't be reached, or zero.
func (f *Fleet) awaitsUnreachable(service string) time.Duration {
	l := f.Lease(service)
	if l == nil {
		return 0
	}
	return l.AwaitsUnreachable()
}

// answerInDoubt answers a write or a commit whose outcome is unknown, and closes the stream.
func (r *routedStream) answerInDoubt(w egret.StatementRequest, a egret.Answer) egret.Answer {
	r.Close()
	r.fleet.EventLog.Event("outcome-unknown").Str("request", w.Query.ID).Str("service", w.Service).Str("cause", a.Fault.Text).Msg("the holder was lost after the statement was sent")
	return faultAnswer(egret.FaultInDoubt, a.Fault.Text, egret.TxIdle)
}

// refuse answers a statement that was not run.
func (r *routedStream) refuse(w egret.StatementRequest, cause string) egret.Answer {
	r.fleet.EventLog.Event("statement-unrouted").Str("request", w.Query.ID).Str("service", w.Service).Str("route", w.Route).Str("cause", cause).Msg("not run: no holder took the statement in time")
	return faultAnswer(egret.FaultBusy, cause, egret.TxIdle)
}

// connect opens a stream to the target, unless it is open already. It returns false if there is no target.
func (r *routedStream) connect(t target) bool {
	if t == (target{}) {
		return false
	}
	if r.stream != nil && r.target == t {
		return true
	}
	r.Close()
	r.target = t
	if t.lane != nil {
		r.stream = t.lane.Stream()
	} else {
		r.stream = r.fleet.Pool.Stream(t.address, t.indirect)
	}
	return true
}

// Close ends the stream. If a transaction is open, it is rolled back.
func (r *routedStream) Close() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
}

func faultAnswer(kind egret.FaultKind, text string, status egret.TxStatus) egret.Answer {
	return egret.Answer{
		Fault: egret.Fault{
			Kind: kind,
			Text: text,
		},
		Status: status,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
