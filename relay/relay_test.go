package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

// waitTimeout bounds the wait for events in tests.
const waitTimeout = 10 * time.Second

// fakePeers implements egret.Peers with two proxies. The other proxy holds all lanes.
type fakePeers struct {
	egret.Peers
}

func (fakePeers) Self() egret.Node {
	return egret.Node{
		ID: "entry",
	}
}

func (fakePeers) Live() []egret.Node {
	return []egret.Node{{
		ID:     "holder",
		Domain: "lecco-a",
	}}
}

func (fakePeers) Primary(string) (egret.GroupPrimary, bool) {
	return egret.GroupPrimary{
		Group:   "group-1",
		Term:    1,
		Primary: "member-1",
	}, true
}

func (fakePeers) TablesInForce() *egret.Tables {
	return &egret.Tables{
		Pools: []egret.Pool{{
			Groups: []egret.Group{{
				Name: "group-1",
				Members: []egret.Member{{
					Name:   "member-1",
					Domain: "lecco-a",
				}},
			}},
		}},
	}
}

// fakeLane is the lane on the other proxy.
type fakeLane struct {
	// refusal is the error that Begin returns, or nil.
	refusal error

	// run runs a batch, as Exchange does.
	run func(ctx context.Context, sink func(messages []byte) error) (egret.BatchResult, error)

	opened    egret.TransactionOptions
	cancelled chan struct{}
	closed    chan struct{}
}

func (l *fakeLane) Begin(_ context.Context, o egret.TransactionOptions) (egret.Transaction, error) {
	l.opened = o
	if l.refusal != nil {
		return nil, l.refusal
	}
	return l, nil
}

func (l *fakeLane) Load(context.Context, string) (egret.Load, error) {
	return egret.Load{
		Lag: -time.Microsecond,
	}, nil
}

func (l *fakeLane) ConfirmedPosition(context.Context, string) (egret.Position, error) {
	return egret.Position{
		Term:   3,
		Offset: 4,
	}, nil
}

func (l *fakeLane) Exchange(ctx context.Context, _ egret.Batch, sink func(messages []byte) error) (egret.BatchResult, error) {
	return l.run(ctx, sink)
}

func (l *fakeLane) Cancel() {
	l.cancelled <- struct{}{}
}

func (l *fakeLane) Close() {
	close(l.closed)
}

// connect returns lanes that reach the fake lane through a gRPC server, and the server.
func connect(t *testing.T, l *fakeLane) (*Lanes, *grpc.Server) {
	l.cancelled = make(chan struct{}, 1)
	l.closed = make(chan struct{})
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	lanepb.RegisterLaneServer(server, &Server{
		Lanes:     l,
		Positions: l,
	})
	go server.Serve(listener)
	conn, err := grpc.NewClient("passthrough:lane", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			return listener.DialContext(ctx)
		}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		server.Stop()
	})
	return &Lanes{
		Peers: fakePeers{},
		Conn: func(netip.AddrPort) (grpc.ClientConnInterface, error) {
			return conn, nil
		},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}, server
}

// transact runs a batch in a new transaction. It calls arrived for each part of the answer.
func transact(t *testing.T, lanes *Lanes, o egret.TransactionOptions, arrived func()) ([]byte, egret.BatchResult, error) {
	t.Helper()
	o.Member = "member-1"
	tx, err := lanes.Begin(t.Context(), o)
	if err != nil {
		return nil, egret.BatchResult{}, err
	}
	defer tx.Close()
	out := []byte{}
	done, err := tx.Exchange(t.Context(), egret.Batch{
		Messages: []byte("batch"),
	}, func(messages []byte) error {
		if len(messages) > maxChunkBytes {
			t.Errorf("chunk of %d bytes, want %d at most", len(messages), maxChunkBytes)
		}
		arrived()
		out = append(out, messages...)
		return nil
	})
	return out, done, err
}

func TestLargeAnswerArrivesWhole(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	l := &fakeLane{
		run: func(_ context.Context, sink func(messages []byte) error) (egret.BatchResult, error) {
			return egret.BatchResult{
				Status: egret.TxIdle,
				Position: egret.Position{
					Term:   1,
					Offset: 7,
				},
				Load: egret.Load{
					Lag: -time.Microsecond,
				},
			}, sink(want)
		},
	}
	lanes, _ := connect(t, l)
	got, done, err := transact(t, lanes, egret.TransactionOptions{
		ReadOnly: true,
		Budget:   time.Second,
	}, func() {})
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("answer of %d bytes, %v, want %d bytes", len(got), err, len(want))
	}
	if done.Status != egret.TxIdle || done.Position.Offset != 7 || done.Load.Lag >= 0 {
		t.Errorf("result = %+v, want idle at offset 7 with an unknown lag", done)
	}
	if !l.opened.ReadOnly || l.opened.Budget != time.Second {
		t.Errorf("options = %+v, want the caller's", l.opened)
	}
	<-l.closed
}

func TestRefusalOfTheLane(t *testing.T) {
	lanes, _ := connect(t, &fakeLane{
		refusal: noLaneFailure("moved"),
	})
	_, _, err := transact(t, lanes, egret.TransactionOptions{}, func() {})
	if f := egret.FailureOf(err); f.Outcome != egret.OutcomeNotRun || f.Reason != egret.ReasonNoLane || f.Message != "moved" {
		t.Errorf("failure = %v, want the lane's", f)
	}
}

func TestProxyLostAfterTheBatchWasSent(t *testing.T) {
	tests := []struct {
		name     string
		readOnly bool
		answered bool
		want     egret.Reason
	}{
		{name: "write", want: egret.ReasonMemberUnreachable},
		{name: "read", readOnly: true, want: egret.ReasonNoLane},
		{name: "read half answered", readOnly: true, answered: true, want: egret.ReasonMemberUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var server *grpc.Server
			arrived := make(chan struct{})
			l := &fakeLane{}
			l.run = func(ctx context.Context, sink func(messages []byte) error) (egret.BatchResult, error) {
				if tt.answered {
					sink([]byte("half"))
					<-arrived
				}
				go server.Stop()
				<-ctx.Done()
				return egret.BatchResult{}, ctx.Err()
			}
			var lanes *Lanes
			lanes, server = connect(t, l)
			_, _, err := transact(t, lanes, egret.TransactionOptions{
				ReadOnly: tt.readOnly,
			}, func() {
				close(arrived)
			})
			if err == nil || egret.FailureOf(err).Outcome != egret.OutcomeUnknown || egret.FailureOf(err).Reason != tt.want {
				t.Errorf("failure = %v, want one of unknown outcome with the reason %s", err, tt.want.Label())
			}
		})
	}
}

func TestProxyThatCannotBeReached(t *testing.T) {
	lanes, server := connect(t, &fakeLane{})
	server.Stop()
	_, _, err := transact(t, lanes, egret.TransactionOptions{}, func() {})
	if err == nil || egret.FailureOf(err).Outcome != egret.OutcomeNotRun {
		t.Errorf("failure = %v, want not run", err)
	}
}

func TestCancelReachesTheLane(t *testing.T) {
	l := &fakeLane{}
	l.run = func(context.Context, func(messages []byte) error) (egret.BatchResult, error) {
		select {
		case <-l.cancelled:
			return egret.BatchResult{}, noLaneFailure("cancelled")
		case <-time.After(waitTimeout):
			return egret.BatchResult{}, errors.New("no cancel came")
		}
	}
	lanes, _ := connect(t, l)
	tx, err := lanes.Begin(t.Context(), egret.TransactionOptions{
		Member: "member-1",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer tx.Close()
	ctx, gone := context.WithCancel(t.Context())
	// When a caller disconnects, its running statement is canceled.
	time.AfterFunc(20*time.Millisecond, gone)
	_, err = tx.Exchange(ctx, egret.Batch{}, func([]byte) error {
		return nil
	})
	if err == nil || egret.FailureOf(err).Message != "cancelled" {
		t.Errorf("failure = %v, want the cancel's", err)
	}
}

func TestLoadAndPosition(t *testing.T) {
	lanes, _ := connect(t, &fakeLane{})
	load, err := lanes.Load(t.Context(), "member-1")
	if err != nil || load.Lag >= 0 {
		t.Errorf("Load() = %+v, %v, want an unknown lag", load, err)
	}
	p, err := lanes.ConfirmedPosition(t.Context(), "group-1")
	if err != nil || p.String() != "3/4" {
		t.Errorf("ConfirmedPosition() = %v, %v, want 3/4", p, err)
	}
}
