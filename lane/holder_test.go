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
	// patience bounds waits for conditions.
	patience = 10 * time.Second

	// glance is the time between two looks at a condition.
	glance = time.Millisecond
)

// nowhere is an address that refuses connections.
var nowhere = netip.MustParseAddrPort("127.0.0.1:1")

// fakePeers is a view of proxies that a test sets. Lanes call no other method of Peers.
type fakePeers struct {
	egret.Peers

	self   egret.Node
	tables *egret.Tables

	// leaving are proxies that are known besides the live ones.
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

// Nodes returns the live proxies, and those that are leaving.
func (p *fakePeers) Nodes() []egret.Node {
	return append(p.Live(), p.leaving...)
}

func (p *fakePeers) setLive(nodes ...egret.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = nodes
}

func (p *fakePeers) Primary(group string) (egret.GroupFact, bool) {
	return egret.GroupFact{
		Group:   group,
		Term:    1,
		Primary: "member-1",
	}, true
}

func (p *fakePeers) TablesNow() *egret.Tables {
	return p.tables
}

// fakeControl answers for the members of a group. Lanes call no other method of a Control.
type fakeControl struct {
	egret.Control

	// asked returns a member's state.
	asked func(name string) (egret.MemberState, error)

	// awaited returns what a member answers to a wait for a position.
	awaited func(ctx context.Context, name string, p egret.Position) (egret.MemberState, error)
}

func (c *fakeControl) Status(_ context.Context, m egret.Member) (egret.MemberState, error) {
	s, err := c.asked(m.Name)
	s.Sampled = time.Now()
	return s, err
}

func (c *fakeControl) Await(ctx context.Context, m egret.Member, p egret.Position, _ time.Duration) (egret.MemberState, error) {
	return c.awaited(ctx, m.Name, p)
}

// bench is a fake member with one proxy or more.
type bench struct {
	t       *testing.T
	member  *fakeMember
	control *fakeControl
	tables  *egret.Tables
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t:      t,
		member: newFakeMember(t),
	}
	b.control = &fakeControl{
		asked: func(string) (egret.MemberState, error) {
			b.member.mu.Lock()
			defer b.member.mu.Unlock()
			s := b.member.state
			s.Running = b.member.running
			return s, nil
		},
		awaited: func(_ context.Context, _ string, p egret.Position) (egret.MemberState, error) {
			return received(1, p), nil
		},
	}
	group := egret.Group{
		Name: "group-1",
	}
	// Nobody listens at the others' address. Only Control answers for them.
	addresses := []netip.AddrPort{b.member.address, nowhere, nowhere}
	for i, a := range addresses {
		group.Members = append(group.Members, egret.Member{
			Name:    fmt.Sprintf("member-%d", i+1),
			Address: a,
		})
	}
	b.tables = &egret.Tables{
		Pools: []egret.Pool{{
			Name:        "pool",
			Slots:       2,
			Connections: 16,
			Reserve:     4,
			Queue:       500,
			OrderShare:  80,
			Groups:      []egret.Group{group},
		}},
	}
	return b
}

func received(term uint64, p egret.Position) egret.MemberState {
	return egret.MemberState{
		Role:     egret.RoleReplica,
		Granted:  term,
		Received: p,
	}
}

func node(id string) egret.Node {
	return egret.Node{
		ID:    id,
		State: egret.NodeAlive,
	}
}

// proxy starts a proxy that thinks it is the only one, and waits for its lanes.
func (b *bench) proxy(id string, leaving ...egret.Node) (*Holder, *fakePeers) {
	peers := &fakePeers{
		self:    node(id),
		tables:  b.tables,
		leaving: leaving,
		live:    []egret.Node{node(id)},
	}
	h := &Holder{
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
		h.Run(ctx)
	}()
	b.t.Cleanup(func() {
		cancel()
		<-done
	})
	b.eventually("lanes", func() bool {
		return len(h.Status()) == 3
	})
	return h, peers
}

func (b *bench) slots(h *Holder) int {
	for _, s := range h.Status() {
		if s.Member == "member-1" {
			return s.Slots
		}
	}
	return 0
}

func (b *bench) eventually(what string, reached func() bool) {
	b.t.Helper()
	end := time.Now().Add(patience)
	for !reached() {
		if time.Now().After(end) {
			b.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(glance)
	}
}

func opening(readOnly bool) egret.Opening {
	return egret.Opening{
		Member:   "member-1",
		Group:    "group-1",
		Pool:     "pool",
		Caller:   "workshop",
		Class:    egret.ClassNormal,
		ReadOnly: readOnly,
		Budget:   patience,
	}
}

// transact runs batches in one transaction and returns the last answer.
func transact(t *testing.T, h *Holder, o egret.Opening, batches ...egret.Batch) (string, egret.Completion, error) {
	t.Helper()
	tx, err := h.Begin(t.Context(), o)
	if err != nil {
		return "", egret.Completion{}, err
	}
	defer tx.Close()
	out := []byte{}
	done := egret.Completion{}
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

// failureOf returns the failure of a batch that must have failed.
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

// answerOf shows messages by their types, with the values of rows and the codes of errors.
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
