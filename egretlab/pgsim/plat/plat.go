// Package plat implements the SQL functions of the platform, which read a member's log position and role,
// fence it, promote it or make it follow a primary. It also implements PostgreSQL's advisory locks and
// pg_terminate_backend.
//
//	r, err := platform.Call(ctx, holder, call, arguments)
//
// No function takes a statement slot or opens a transaction.
package plat

import (
	"context"
	"math"
	"net/netip"

	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/exec"
	"egretlane.example/egret/egretlab/pgsim/locks"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/slots"
)

// Platform runs the functions. Its fields must be set before use.
type Platform struct {
	// Member is the member's state.
	Member *core.Member

	// Slots limits the number of running statements.
	Slots *slots.Pool

	// Locks holds the advisory locks.
	Locks *locks.Table

	// Faults holds the faults that operators inject.
	Faults *Faults

	// Registry tracks the open client connections.
	Registry Registry
}

// Registry tracks the open client connections of a member.
type Registry interface {
	// ConnectionCount returns the number of connections that count against the limit.
	ConnectionCount() int

	// Terminate ends a connection. It returns false if no connection has the process number.
	Terminate(process uint32) bool
}

// Call runs a function for the connection that h identifies.
func (p *Platform) Call(ctx context.Context, h locks.Holder, n *query.Call, a exec.Arguments) (*exec.Result, error) {
	r := exec.NoRows(n.Command())
	r.Columns = exec.Columns(n)
	var err error
	switch n.Function.Name {
	case query.FunctionLocks:
		r.Rows = p.lockRows()
	case query.FunctionTryAdvisoryLock, query.FunctionAdvisoryUnlock, query.FunctionTerminateBackend:
		r.Rows, err = p.boolFunction(h, n, a)
	case query.FunctionPosition:
		end := p.Member.AppliedPosition()
		r.Rows = exec.OneRow(codec.Uint(end.Term), codec.Uint(end.Offset))
	case query.FunctionRequire:
		r.Rows, err = p.require(ctx, n, a)
	default:
		r.Rows, err = p.stateFunction(ctx, n, a)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (p *Platform) lockRows() exec.Rows {
	l := &exec.RowList{}
	for _, k := range p.Locks.List() {
		l.Remaining = append(l.Remaining, []codec.Value{
			codec.Int(k.Key),
			codec.Int(int64(k.Holder.Process)),
			codec.String(k.Holder.Application),
		})
	}
	return l
}

// boolFunction runs a function that takes one number and returns a bool.
func (p *Platform) boolFunction(h locks.Holder, n *query.Call, a exec.Arguments) (exec.Rows, error) {
	key, err := a.Integer(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	done := false
	switch n.Function.Name {
	case query.FunctionTryAdvisoryLock:
		done = p.Locks.TryLock(h, key)
	case query.FunctionAdvisoryUnlock:
		done = p.Locks.Unlock(h.Process, key)
	default:
		done = key > 0 && key <= math.MaxUint32 && p.Registry.Terminate(uint32(key))
	}
	return exec.OneRow(codec.Bool(done)), nil
}

func (p *Platform) require(ctx context.Context, n *query.Call, a exec.Arguments) (exec.Rows, error) {
	floor, timeout, err := a.PositionAndTimeout(n)
	if err != nil {
		return nil, err
	}
	if err := p.Member.Require(ctx, floor, timeout); err != nil {
		return nil, err
	}
	return exec.OneRow(codec.Bool(true)), nil
}

// stateFunction runs a function that returns the member's state.
func (p *Platform) stateFunction(ctx context.Context, n *query.Call, a exec.Arguments) (exec.Rows, error) {
	m := p.Member
	switch n.Function.Name {
	case query.FunctionStatus:
		return p.stateRow(m.State()), nil
	case query.FunctionAwait:
		position, timeout, err := a.PositionAndTimeout(n)
		if err != nil {
			return nil, err
		}
		st, err := m.Await(ctx, position, timeout)
		return p.stateRow(st), err
	}
	term, err := a.Unsigned(n.Arguments[0])
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
		st, err = p.follow(term, n, a)
	}
	return p.stateRow(st), err
}

func (p *Platform) follow(term uint64, n *query.Call, a exec.Arguments) (core.State, error) {
	text, err := a.Text("primary", n.Arguments[1])
	if err != nil {
		return core.State{}, err
	}
	primary, err := netip.ParseAddrPort(text)
	if err != nil {
		return core.State{}, core.Errorf(exec.CodeInvalidValue, "the primary's address: %s", err)
	}
	return p.Member.Follow(term, primary)
}

// stateRow returns the state as a row with the columns of exec.Columns.
func (p *Platform) stateRow(st core.State) exec.Rows {
	upstream := ""
	if st.Grant.Upstream.IsValid() {
		upstream = st.Grant.Upstream.String()
	}
	running, _ := p.Slots.Usage()
	return exec.OneRow(
		codec.String(p.Member.Name),
		codec.String(string(st.Grant.Role)),
		codec.Uint(st.Grant.Term),
		codec.Uint(st.Received.Term),
		codec.Uint(st.Received.Offset),
		codec.Uint(st.Applied.Term),
		codec.Uint(st.Applied.Offset),
		codec.String(upstream),
		codec.Bool(p.Faults.Leaving()),
		codec.Int(int64(p.Registry.ConnectionCount())),
		codec.Int(int64(running)),
	)
}
