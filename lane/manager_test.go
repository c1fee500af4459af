package lane

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

const (
	// conditionTimeout bounds waits for conditions.
	conditionTimeout = 10 * time.Second

	// pollInterval is the interval at which conditions are checked.
	pollInterval = time.Millisecond
)

// refusedAddress is an address that refuses connections.
var refusedAddress = netip.MustParseAddrPort("127.0.0.1:1")

// fakePeers is a membership list that a test sets. Lanes call no other methods of Peers.
type fakePeers struct {
	egret.Peers

	self   egret.Node
	tables *egret.Tables

	// leaving are proxies that are known but not live.
	leaving []egret.Node

	mu   sync.Mutex
	live []egret.Node
}

func (p *fakePeers) Self() egret.Node {
	return p.self
}

func (p *fakePeers) Live() []egret.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
}

// Nodes returns the live and the leaving proxies.
func (p *fakePeers) Nodes() []egret.Node {
	return append(p.Live(), p.leaving...)
}

func (p *fakePeers) setLive(nodes ...egret.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = nodes
}

func (p *fakePeers) Primary(group string) (egret.GroupPrimary, bool) {
	return egret.GroupPrimary{
		Group:   group,
		Term:    1,
		Primary: "member-1",
	}, true
}

func (p *fakePeers) TablesInForce() *egret.Tables {
	return p.tables
}

// fakeControl answers for the members of a group. Lanes call no other methods of Control.
type fakeControl struct {
	egret.MemberControl

	// onStatus returns the state of a member.
	onStatus func(name string) (egret.MemberState, error)

	// onAwait returns a member's reply to a wait for a position.
	onAwait func(ctx context.Context, name string, p egret.Position) (egret.MemberState, error)
}

func (c *fakeControl) Status(_ context.Context, m egret.Member) (egret.MemberState, error) {
	s, err := c.onStatus(m.Name)
	s.SampledAt = time.Now()
	return s, err
}

func (c *fakeControl) AwaitPosition(ctx context.Context, m egret.Member, p egret.Position, _ time.Duration) (egret.MemberState, error) {
	return c.onAwait(ctx, m.Name, p)
}

// testbed is a fake member with one or more proxies.
type testbed struct {
	t       *testing.T
	member  *fakeMember
	control *fakeControl
	tables  *egret.Tables
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{
		t:      t,
		member: newFakeMember(t),
	}
	b.control = &fakeControl{
		onStatus: func(string) (egret.MemberState, error) {
			b.member.mu.Lock()
			defer b.member.mu.Unlock()
			s := b.member.state
			s.RunningStatements = b.member.running
			return s, nil
		},
		onAwait: func(_ context.Context, _ string, p egret.Position) (egret.MemberState, error) {
			return received(1, p), nil
		},
	}
	group := egret.Group{
		Name: "group-1",
	}
	// The other members have no server. Only Control answers for them.
	addresses := []netip.AddrPort{b.member.address, refusedAddress, refusedAddress}
	for i, a := range addresses {
		group.Members = append(group.Members, egret.Member{
			Name:    fmt.Sprintf("member-%d", i+1),
			Address: a,
		})
	}
	b.tables = &egret.Tables{
		Pools: []egret.Pool{{
			Name:                "pool",
			Slots:               2,
			Connections:         16,
			ReservedConnections: 4,
			QueueLimit:          500,
			OrderSharePercent:   80,
			Groups:              []egret.Group{group},
		}},
	}
	return b
}

func received(term uint64, p egret.Position) egret.MemberState {
	return egret.MemberState{
		Role:        egret.RoleReplica,
		GrantedTerm: term,
		Received:    p,
	}
}

func node(id string) egret.Node {
	return egret.Node{
		ID:    id,
		State: egret.NodeAlive,
	}
}

// startProxy starts a proxy that considers itself the only live one, and waits for its lanes.
func (b *testbed) startProxy(id string, leaving ...egret.Node) (*Manager, *fakePeers) {
	peers := &fakePeers{
		self:    node(id),
		tables:  b.tables,
		leaving: leaving,
		live:    []egret.Node{node(id)},
	}
	m := &Manager{
		Peers:   peers,
		Control: b.control,
		Dialer: &member.Dialer{
			NodeID: id,
			User:   "egretlane",
		},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	ctx, cancel := context.WithCancel(b.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	b.t.Cleanup(func() {
		cancel()
		<-done
	})
	b.eventually("lanes", func() bool {
		return len(m.Status()) == 3
	})
	return m, peers
}

func (b *testbed) slots(m *Manager) int {
	for _, s := range m.Status() {
		if s.Member == "member-1" {
			return s.Slots
		}
	}
	return 0
}

// lane returns the proxy's lane of member-1.
func (b *testbed) lane(m *Manager) *lane {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lanes["member-1"]
}

func (b *testbed) eventually(what string, reached func() bool) {
	b.t.Helper()
	end := time.Now().Add(conditionTimeout)
	for !reached() {
		if time.Now().After(end) {
			b.t.Fatalf("not within %v: %s", conditionTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

func optionsFor(readOnly bool) egret.TransactionOptions {
	return egret.TransactionOptions{
		Member:   "member-1",
		Group:    "group-1",
		Pool:     "pool",
		Caller:   "caller-1",
		Class:    egret.ClassNormal,
		ReadOnly: readOnly,
		Budget:   conditionTimeout,
	}
}

// transact runs batches in one transaction and returns the last reply.
func transact(t *testing.T, m *Manager, o egret.TransactionOptions, batches ...egret.Batch) (string, egret.BatchResult, error) {
	t.Helper()
	tx, err := m.Begin(t.Context(), o)
	if err != nil {
		return "", egret.BatchResult{}, err
	}
	defer tx.Close()
	out := []byte{}
	done := egret.BatchResult{}
	for _, b := range batches {
		out = out[:0]
		done, err = tx.Exchange(t.Context(), b, func(messages []byte) error {
			out = append(out, messages...)
			return nil
		})
		if err != nil {
			break
		}
	}
	return answerOf(t, out), done, err
}

// failureOf returns the failure of a batch, and ends the test if there is none.
func failureOf(t *testing.T, err error) *egret.Failure {
	t.Helper()
	if err == nil {
		t.Fatal("the batch was answered, want a failure")
	}
	return egret.FailureOf(err)
}

func simple(query string) egret.Batch {
	return batchOf(&pgproto3.Query{
		String: query,
	})
}

func batchOf(messages ...pgproto3.FrontendMessage) egret.Batch {
	b := egret.Batch{}
	for _, m := range messages {
		b.Messages, _ = m.Encode(b.Messages)
	}
	return b
}

// answerOf formats messages by their types, with the values of rows and the SQLSTATEs of errors.
func answerOf(t *testing.T, messages []byte) string {
	f := pgproto3.NewFrontend(strings.NewReader(string(messages)), nil)
	shown := []string{}
	for {
		m, err := f.Receive()
		if err != nil {
			return strings.Join(shown, " ")
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			shown = append(shown, string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			shown = append(shown, "error:"+m.Code)
		case *pgproto3.RowDescription:
		case *pgproto3.CommandComplete:
			shown = append(shown, "done")
		default:
			shown = append(shown, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
}
