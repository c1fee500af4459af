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
	// reroutePause is the time before a statement is sent again that found no holder.
	reroutePause = 20 * time.Millisecond

	// hopelessAfter is for how long both a holder and the store have to be silent before statements
	// are refused at once.
	hopelessAfter = time.Second

	// leastTime is the least time that a statement needs to be worth sending.
	leastTime = 5 * time.Millisecond
)

// Entry returns a stream that brings a caller's statements to the holders of their services.
func (f *Fleet) Entry() egret.Stream {
	return &routed{
		fleet:   f,
		passOn:  true,
		detours: true,
	}
}

// Stream returns a stream for statements from another proxy. passOn lets it pass them on to the
// holder.
func (f *Fleet) Stream(passOn bool) egret.Stream {
	return &routed{
		fleet:  f,
		passOn: passOn,
	}
}

// routed is a stream that follows the holder of one service at a time.
type routed struct {
	fleet *Fleet

	// passOn allows to send statements to another proxy, and detours to one that isn't the holder.
	passOn, detours bool

	// stream leads to target.
	stream egret.Stream
	target target
}

// target is where statements of a service go. The zero target is nowhere.
type target struct {
	// lane is set if this process holds the service.
	lane *group.Lane

	// address is the proxy that holds the service, or one that reaches the holder if detour is set.
	address netip.AddrPort
	detour  bool
}

// find returns where the service's statements go now.
func (r *routed) find(service string) target {
	f := r.fleet
	f.mu.Lock()
	lane, c := f.lanes[service], f.claims[service]
	f.mu.Unlock()
	if lane != nil {
		return target{
			lane: lane,
		}
	}
	if c == nil || !r.passOn {
		return target{}
	}
	s, known := c.Seen()
	if !known || s.Revision == 0 || s.Record.Released || s.Record.Node == f.Self.ID {
		return target{}
	}
	if _, asked := f.Pool.Heard(s.Record.Address); r.detours && asked != 0 && clock.Since(asked) > doubtAfter {
		f.doubt(s.Record.Address, s.Record.Incarnation)
		if by, found := f.detour(s.Record.Address); found {
			return target{
				address: by,
				detour:  true,
			}
		}
	}
	return target{
		address: s.Record.Address,
	}
}

// Do brings a statement to the holder and settles what is known of it if the holder is lost.
func (r *routed) Do(ctx context.Context, w egret.Work) egret.Answer {
	deadline := clock.Now().Add(w.Timeout)
	if w.InTransaction {
		return r.proceed(ctx, w)
	}
	last := "no process holds the service"
	for {
		left := clock.Until(deadline)
		if left < leastTime || ctx.Err() != nil {
			return r.refuse(w, last)
		}
		// Other proxies are told by a move, as they may know more.
		if cause := r.fleet.hopeless(w.Service); cause != "" && r.detours {
			return r.refuse(w, cause)
		}
		if !r.connect(r.find(w.Service)) {
			if !r.passOn {
				return answer(egret.FaultMoved, "this process doesn't hold the service", egret.TxIdle)
			}
			sleep(ctx, min(reroutePause, left))
			continue
		}
		w.Timeout = left
		a := r.stream.Do(ctx, w)
		switch {
		case a.Fault.Kind == egret.FaultMoved:
			last = a.Fault.Text
			r.Close()
			r.fleet.moved(r.target.address)
			sleep(ctx, min(reroutePause, left))
		case a.Fault.Kind != egret.FaultLost:
			return a
		case w.Writes && w.Begin == egret.VerbInvalid:
			return r.inDoubt(w, a)
		default:
			// A read, or the first statement of a transaction that can't be committed any more.
			last = a.Fault.Text
			r.Close()
		}
	}
}

// proceed runs a further statement of the open transaction, where it was opened.
func (r *routed) proceed(ctx context.Context, w egret.Work) egret.Answer {
	status := egret.TxFailed
	if w.Query.Verb == egret.VerbCommit {
		status = egret.TxIdle
	}
	if r.stream == nil {
		return answer(egret.FaultAborted, "the proxy that had the transaction was lost", status)
	}
	a := r.stream.Do(ctx, w)
	switch {
	case a.Fault.Kind == egret.FaultMoved:
		return answer(egret.FaultAborted, "the holder of the service changed", status)
	case a.Fault.Kind != egret.FaultLost:
		return a
	case w.Query.Verb == egret.VerbCommit && w.Writes:
		return r.inDoubt(w, a)
	}
	r.Close()
	return answer(egret.FaultAborted, a.Fault.Text, status)
}

// hopeless says why nobody can run the service's statements in the next moments, or "". Without the
// store, nobody can succeed a holder that is lost or has given up.
func (f *Fleet) hopeless(service string) string {
	lost := clock.Time(f.storeLost.Load())
	c := f.Claim(service)
	if lost == 0 || clock.Since(lost) < hopelessAfter || c == nil {
		return ""
	}
	s, known := c.Seen()
	switch {
	case !known || s.Revision == 0:
		return ""
	case s.Record.Node == f.Self.ID && !c.Asked():
		return "this process has lost its right to the service, and the store gives no answer to renew it"
	case s.Record.Node == f.Self.ID:
		return ""
	case f.GaveUp(s.Revision):
		return "the holder has given up the service, and the store gives no answer to replace it"
	}
	_, asked := f.Pool.Heard(s.Record.Address)
	if asked == 0 || clock.Since(asked) < hopelessAfter {
		return ""
	}
	if _, heard := f.detour(s.Record.Address); heard {
		return ""
	}
	return "the holder of the service is lost, and the store gives no answer to replace it"
}

func (r *routed) inDoubt(w egret.Work, a egret.Answer) egret.Answer {
	r.Close()
	r.fleet.Trail.Event("outcome-unknown").Str("request", w.Query.ID).Str("service", w.Service).Str("cause", a.Fault.Text).Msg("the holder was lost after the statement was sent")
	return answer(egret.FaultInDoubt, a.Fault.Text, egret.TxIdle)
}

func (r *routed) refuse(w egret.Work, cause string) egret.Answer {
	r.fleet.Trail.Event("statement-unrouted").Str("request", w.Query.ID).Str("service", w.Service).Str("route", w.Route).Str("cause", cause).Msg("not run: no holder took the statement in time")
	return answer(egret.FaultBusy, cause, egret.TxIdle)
}

// connect makes the stream lead to the target. It returns false if that is nowhere.
func (r *routed) connect(t target) bool {
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
		r.stream = r.fleet.Pool.Stream(t.address, t.detour)
	}
	return true
}

// Close ends the stream. An open transaction is rolled back.
func (r *routed) Close() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
}

func answer(kind egret.FaultKind, text string, status egret.TxStatus) egret.Answer {
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
