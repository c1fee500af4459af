package link

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/spans"
)

const (
	// answerSlack is added to a statement's time for the way between proxies.
	answerSlack = 150 * time.Millisecond

	// slowAnswer is how long a statement waits before the connection is checked.
	slowAnswer = 350 * time.Millisecond
)

// Stream runs the statements of a session on another proxy. It implements egret.Stream.
type Stream struct {
	pool    *Pool
	address netip.AddrPort
	passOn  bool

	peer   *peer
	stream grpc.BidiStreamingClient[linkpb.Work, linkpb.Answer]
	cancel context.CancelFunc
}

// Stream returns a stream to the proxy at the address. passOn lets it pass statements on to the
// holder of the service.
func (p *Pool) Stream(a netip.AddrPort, passOn bool) *Stream {
	return &Stream{
		pool:    p,
		address: a,
		passOn:  passOn,
	}
}

// Do sends a statement and waits for its answer. FaultMoved says that it has not reached the proxy,
// FaultLost that no answer came.
func (s *Stream) Do(ctx context.Context, w egret.Work) egret.Answer {
	if s.stream == nil {
		if w.InTransaction {
			return fault(egret.FaultAborted, "the proxy that had the transaction was lost")
		}
		if err := s.open(); err != nil {
			return fault(egret.FaultMoved, err.Error())
		}
	}
	m := workToWire(&w)
	m.PassOn = s.passOn
	m.Traceparent = spans.Carry(ctx)
	late := time.AfterFunc(w.Timeout+answerSlack, s.cancel)
	defer late.Stop()
	slow := time.AfterFunc(slowAnswer, func() { s.pool.check(s.address) })
	defer slow.Stop()
	stopped := context.AfterFunc(ctx, s.cancel)
	defer stopped()
	// An error of Send is told by Recv with its cause.
	_ = s.stream.Send(m)
	reply, err := s.stream.Recv()
	if err != nil {
		s.reset()
		return fault(egret.FaultLost, "no answer from the proxy that holds the service: "+err.Error())
	}
	s.pool.answered(s.peer)
	return answerFromWire(reply)
}

// open starts the stream. It fails at once if there is no connection to the proxy.
func (s *Stream) open() error {
	e, err := s.pool.get(s.address)
	if err != nil {
		return err
	}
	s.pool.mu.Lock()
	client := e.client
	s.pool.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Run(ctx)
	if err != nil {
		cancel()
		return err
	}
	s.peer, s.stream, s.cancel = e, stream, cancel
	return nil
}

func (s *Stream) reset() {
	if s.stream != nil {
		s.cancel()
		s.stream = nil
	}
}

// Close ends the stream. The other proxy rolls an open transaction back.
func (s *Stream) Close() {
	s.reset()
}

func fault(kind egret.FaultKind, text string) egret.Answer {
	return egret.Answer{
		Fault: egret.Fault{
			Kind: kind,
			Text: text,
		},
		Status: egret.TxIdle,
	}
}
