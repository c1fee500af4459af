package sess

import (
	"context"
	"math"
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// maxSleep bounds pg_sleep, so that its argument fits a duration.
const maxSleep = 24 * time.Hour

// platform runs one of the platform's functions. It takes no slot and opens no transaction.
func (s *Session) platform(ctx context.Context, n *query.Call, parameters []codec.Value) (*result, error) {
	a := arguments{
		parameters: parameters,
	}
	r := none(n.Command())
	r.columns = columnsOf(n)
	var err error
	switch n.Function.Name {
	case query.FunctionLocks:
		r.rows = s.lockRows()
	case query.FunctionTryLock, query.FunctionUnlock, query.FunctionTerminate:
		r.rows, err = s.connectionFunction(n, a)
	case query.FunctionPosition:
		p := s.Host.Member.Position()
		r.rows = one(codec.Uint(p.Term), codec.Uint(p.Offset))
	case query.FunctionRequire:
		r.rows, err = s.require(ctx, n, a)
	default:
		r.rows, err = s.stateFunction(ctx, n, a)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (s *Session) lockRows() rows {
	l := &list{}
	for _, k := range s.Host.Locks.List() {
		l.rest = append(l.rest, []codec.Value{
			codec.Int(k.Key),
			codec.Int(int64(k.Holder.Process)),
			codec.String(k.Holder.Application),
		})
	}
	return l
}

// connectionFunction runs a function of one number that answers with a bool.
func (s *Session) connectionFunction(n *query.Call, a arguments) (rows, error) {
	key, err := a.integer(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	done := false
	switch n.Function.Name {
	case query.FunctionTryLock:
		done = s.Host.Locks.TryLock(s.holder(), key)
	case query.FunctionUnlock:
		done = s.Host.Locks.Unlock(s.Process, key)
		if !done {
			s.warn("01000", "you don't own a lock of type ExclusiveLock")
		}
	default:
		done = key > 0 && key <= math.MaxUint32 && s.Host.Directory.Terminate(uint32(key))
	}
	return one(codec.Bool(done)), nil
}

func (s *Session) require(ctx context.Context, n *query.Call, a arguments) (rows, error) {
	p, wait, err := a.position(n)
	if err != nil {
		return nil, err
	}
	if err := s.Host.Member.Require(ctx, p, wait); err != nil {
		return nil, err
	}
	return one(codec.Bool(true)), nil
}

// stateFunction runs a function that answers with the member's state.
func (s *Session) stateFunction(ctx context.Context, n *query.Call, a arguments) (rows, error) {
	m := s.Host.Member
	switch n.Function.Name {
	case query.FunctionStatus:
		return s.stateRow(m.State()), nil
	case query.FunctionAwait:
		p, wait, err := a.position(n)
		if err != nil {
			return nil, err
		}
		st, err := m.Await(ctx, p, wait)
		return s.stateRow(st), err
	}
	term, err := a.natural(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	var st core.State
	switch n.Function.Name {
	case query.FunctionFence:
		st, err = m.Fence(term)
	case query.FunctionPromote:
		st, err = m.Promote(term)
	default:
		st, err = s.follow(term, n, a)
	}
	return s.stateRow(st), err
}

func (s *Session) follow(term uint64, n *query.Call, a arguments) (core.State, error) {
	text, err := a.text("primary", n.Arguments[1])
	if err != nil {
		return core.State{}, err
	}
	primary, err := netip.ParseAddrPort(text)
	if err != nil {
		return core.State{}, fault(codeBadValue, "the primary's address: %s", err)
	}
	return s.Host.Member.Follow(term, primary)
}

func (s *Session) stateRow(st core.State) rows {
	upstream := ""
	if st.Grant.Upstream.IsValid() {
		upstream = st.Grant.Upstream.String()
	}
	running, _ := s.Host.Slots.Usage()
	return one(
		codec.String(s.Host.Member.Name),
		codec.String(string(st.Grant.Role)),
		codec.Uint(st.Grant.Term),
		codec.Uint(st.Received.Term),
		codec.Uint(st.Received.Offset),
		codec.Uint(st.Applied.Term),
		codec.Uint(st.Applied.Offset),
		codec.String(upstream),
		codec.Bool(s.Host.Faults.Leaving()),
		codec.Int(int64(s.Host.Directory.Connections())),
		codec.Int(int64(running)),
	)
}

// ordinary runs a function or a constant that takes a slot like any other statement.
func (s *Session) ordinary(ctx context.Context, n *query.Call, a arguments) (*result, error) {
	r := none(n.Command())
	r.columns = columnsOf(n)
	if n.Function == nil {
		v, err := a.value(n.Arguments[0])
		if n.Constant == query.TypeBool {
			v = codec.Bool(v.Text == "true")
		}
		r.rows = one(v)
		return r, err
	}
	var err error
	switch n.Function.Name {
	case query.FunctionSleep:
		r.rows, err = s.sleep(ctx, n, a)
	case query.FunctionSeries:
		r.rows, err = newSeries(n, a)
	case query.FunctionRecovery:
		r.rows = one(codec.Bool(s.Host.Member.State().Grant.Role != egret.RolePrimary))
	case query.FunctionBackendPID:
		r.rows = one(codec.Int(int64(s.Process)))
	case query.FunctionVersion:
		r.rows = one(codec.String("PostgreSQL 15.0 (stand-in of egretlab)"))
	default:
		r.rows = one(codec.String(s.Database))
	}
	return r, err
}

func (s *Session) sleep(ctx context.Context, n *query.Call, a arguments) (rows, error) {
	seconds, err := a.float(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	if seconds > maxSleep.Seconds() {
		return nil, fault(codeBadValue, "pg_sleep takes at most %s", maxSleep)
	}
	if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
		return nil, err
	}
	return one(codec.String("")), nil
}

func newSeries(n *query.Call, a arguments) (rows, error) {
	first, err := a.integer(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	last, err := a.integer(n.Arguments[1])
	if err != nil {
		return nil, err
	}
	return &series{
		at:   first,
		last: last,
	}, nil
}

// position returns the arguments of a function that waits for a position.
func (a arguments) position(n *query.Call) (egret.Position, time.Duration, error) {
	term, err := a.natural(n.Arguments[0])
	if err != nil {
		return egret.Position{}, 0, err
	}
	offset, err := a.natural(n.Arguments[1])
	if err != nil {
		return egret.Position{}, 0, err
	}
	millis, err := a.natural(n.Arguments[2])
	if err != nil {
		return egret.Position{}, 0, err
	}
	wait := time.Duration(min(millis, uint64(maxSleep.Milliseconds()))) * time.Millisecond
	return egret.Position{
		Term:   term,
		Offset: offset,
	}, wait, nil
}

// natural returns a number that is not below zero.
func (a arguments) natural(v query.Value) (uint64, error) {
	n, err := a.integer(v)
	if err != nil {
		return 0, err
	}
	if n < 0 {
		return 0, fault(codeBadValue, "%d is below zero", n)
	}
	return uint64(n), nil
}
