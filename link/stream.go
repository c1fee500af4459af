package link

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/spans"
)

const (
	// transitAllowance is added to the timeout of a statement for its transit between proxies.
	transitAllowance = 150 * time.Millisecond

	// slowAnswerDelay is how long a statement waits for its answer before the connection is checked.
	slowAnswerDelay = 350 * time.Millisecond
)

// errOpenedLate is returned if a stream was opened after its statement's time had ended.
const errOpenedLate = errors.ConstError("the stream was opened too late for the statement")

// Stream runs the statements of a session on another proxy. It implements egret.Stream.
type Stream struct {
	pool       *Pool
	address    netip.AddrPort
	mayForward bool

	// peer, stream and cancel are set while the stream is open.
	peer   *peer
	stream grpc.BidiStreamingClient[linkpb.Work, linkpb.Answer]
	cancel context.CancelFunc
}

// Stream returns a stream to the proxy at the address. If mayForward is set, that proxy may forward
// statements to the holder of the service.
func (p *Pool) Stream(a netip.AddrPort, mayForward bool) *Stream {
	return &Stream{
		pool:       p,
		address:    a,
		mayForward: mayForward,
	}
}

// Do sends a statement and waits for its answer. FaultNotHolder means that the statement was not sent or that
// the proxy can't run it, and FaultNoAnswer that no answer came.
func (s *Stream) Do(ctx context.Context, w egret.StatementRequest) egret.Answer {
	if s.stream == nil {
		if w.InTransaction {
			return faultAnswer(egret.FaultAborted, "the proxy that had the transaction was lost")
		}
		began := clock.Now()
		if err := s.open(ctx, w.Timeout); err != nil {
			return faultAnswer(egret.FaultNotHolder, err.Error())
		}
		w.Timeout -= clock.Since(began)
	}
	m := requestToWire(&w)
	m.PassOn = s.mayForward
	m.Traceparent = spans.Inject(ctx)
	timeout := time.AfterFunc(w.Timeout+transitAllowance, s.cancel)
	defer timeout.Stop()
	check := time.AfterFunc(slowAnswerDelay, func() { s.pool.pingIfDue(s.address) })
	defer check.Stop()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	// Send fails only if the message was not passed to the transport. The cause is returned by Recv.
	sendErr := s.stream.Send(m)
	reply, err := s.stream.Recv()
	switch {
	case sendErr != nil && w.InTransaction:
		s.cancelStream()
		return faultAnswer(egret.FaultAborted, "the proxy that had the transaction was lost")
	case sendErr != nil:
		s.cancelStream()
		return faultAnswer(egret.FaultNotHolder, "the stream had ended before the statement was sent")
	case err != nil:
		s.cancelStream()
		return faultAnswer(egret.FaultNoAnswer, "no answer from the proxy that holds the service: "+err.Error())
	}
	s.pool.recordAnswer(s.peer)
	return answerFromWire(reply)
}

// open opens the stream. If there is no connection to the proxy, it waits for the first attempt to connect, which
// connectTimeout, the timeout and the context bound. After a failed attempt, it fails at once until a later one succeeds.
func (s *Stream) open(ctx context.Context, timeout time.Duration) error {
	e, err := s.pool.peerFor(s.address)
	if err != nil {
		return err
	}
	s.pool.mu.Lock()
	client := e.client
	s.pool.mu.Unlock()
	streamCtx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(timeout, cancel)
	stop := context.AfterFunc(ctx, cancel)
	stream, err := client.Run(streamCtx)
	inTime, alive := timer.Stop(), stop()
	if err == nil && (!inTime || !alive) {
		err = errOpenedLate
	}
	if err != nil {
		cancel()
		return err
	}
	s.peer, s.stream, s.cancel = e, stream, cancel
	return nil
}

// cancelStream cancels the stream, so that the next statement opens another.
func (s *Stream) cancelStream() {
	if s.stream != nil {
		s.cancel()
		s.stream = nil
	}
}

// Close ends the stream. If a transaction is open, the other proxy rolls it back.
func (s *Stream) Close() {
	s.cancelStream()
}

func faultAnswer(kind egret.FaultKind, text string) egret.Answer {
	return egret.Answer{
		Fault: egret.Fault{
			Kind: kind,
			Text: text,
		},
		Status: egret.TxIdle,
	}
}
