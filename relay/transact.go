package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

// answerWait is how long the lane's answer may come after the time of a batch has ended. The lane
// ends the batch itself then and knows best what became of it.
const answerWait = 400 * time.Millisecond

// transaction is a stream to another proxy's lane. It implements egret.Transaction.
//
// Exchange and Close are for one goroutine at a time; Cancel is for any.
type transaction struct {
	owner   egret.Node
	opening egret.Opening
	metrics *Metrics

	// end ends the stream.
	end context.CancelFunc

	// begun says that a batch was sent before.
	begun bool

	// sending guards the sending side of stream.
	sending sync.Mutex

	stream grpc.BidiStreamingClient[lanepb.TransactRequest, lanepb.TransactReply]
}

// open opens a stream and sends the opening. The stream outlives ctx and ends with the transaction.
func (l *Lanes) open(ctx context.Context, owner egret.Node, o egret.Opening) (egret.Transaction, error) {
	client, err := l.client(owner)
	if err != nil {
		return nil, noLane("%v", err)
	}
	lasting, end := context.WithCancel(context.WithoutCancel(ctx))
	// The context bounds the wait for a connection.
	connected := context.AfterFunc(ctx, end)
	stream, err := client.Transact(lasting)
	if err == nil && !connected() {
		err = ctx.Err()
	}
	if err != nil {
		end()
		return nil, noLane("proxy %s can't be reached: %v", owner.ID, err)
	}
	t := &transaction{
		owner:   owner,
		opening: o,
		metrics: l.Metrics,
		end:     end,
		stream:  stream,
	}
	err = t.send(&lanepb.TransactRequest{
		Kind: &lanepb.TransactRequest_Opening{
			Opening: openingTo(o, l.revision()),
		},
	})
	if err != nil {
		end()
		return nil, noLane("proxy %s: %v", owner.ID, err)
	}
	return t, nil
}

func (l *Lanes) revision() uint64 {
	t := l.Peers.TablesNow()
	if t == nil {
		return 0
	}
	return t.Revision
}

// Exchange implements egret.Transaction.
func (t *transaction) Exchange(ctx context.Context, b egret.Batch, sink func(messages []byte) error) (egret.Completion, error) {
	first := !t.begun
	t.begun = true
	err := t.send(&lanepb.TransactRequest{
		Kind: &lanepb.TransactRequest_Batch{
			Batch: batchTo(b),
		},
	})
	if err != nil {
		t.metrics.Lost.Inc()
		return egret.Completion{}, t.unsent(first, err)
	}
	stop := t.watch(ctx)
	defer stop()
	sunk := false
	for {
		reply, err := t.stream.Recv()
		if err != nil {
			t.metrics.Lost.Inc()
			return egret.Completion{}, t.lost(first, sunk, err)
		}
		switch k := reply.Kind.(type) {
		case *lanepb.TransactReply_Chunk:
			sunk = true
			if err := sink(k.Chunk.Messages); err != nil {
				t.end()
				return egret.Completion{}, errors.Trace(t.lost(first, sunk, err))
			}
		case *lanepb.TransactReply_Completion:
			return completionFrom(k.Completion, time.Now()), nil
		case *lanepb.TransactReply_Failure:
			return egret.Completion{}, failureFrom(k.Failure)
		}
	}
}

// watch ends the stream when the context has ended: at once if the caller has gone, and else when
// the lane has had time for its answer.
func (t *transaction) watch(ctx context.Context) func() {
	done := atomic.Bool{}
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Cancel()
		}
		time.AfterFunc(answerWait, func() {
			if !done.Load() {
				t.end()
			}
		})
	})
	return func() {
		done.Store(true)
		stop()
	}
}

// unsent is the outcome of a batch that was not sent: the stream had ended.
func (t *transaction) unsent(first bool, err error) *egret.Failure {
	f := noLane("proxy %s has ended the transaction: %v", t.owner.ID, err)
	if !first {
		f.Reason = egret.ReasonOther
	}
	return f
}

// lost is the outcome of a batch that was sent and got no whole answer. A read has no effect, so it
// may be sent elsewhere if nothing of it was answered.
func (t *transaction) lost(first bool, sunk bool, err error) *egret.Failure {
	if t.opening.ReadOnly && first && !sunk {
		return noLane("proxy %s gave no answer: %v", t.owner.ID, err)
	}
	return &egret.Failure{
		Outcome: egret.Unknown,
		Reason:  egret.ReasonMember,
		Code:    egret.CodeUnknown,
		Message: fmt.Sprintf("proxy %s gave no whole answer: %v", t.owner.ID, err),
	}
}

// Cancel implements egret.Transaction.
func (t *transaction) Cancel() {
	// A cancel that can't be sent has nothing to cancel: the stream has ended.
	_ = t.send(&lanepb.TransactRequest{
		Kind: &lanepb.TransactRequest_Cancel{
			Cancel: &lanepb.Cancel{},
		},
	})
}

// Close implements egret.Transaction. The lane rolls back what is open.
func (t *transaction) Close() {
	t.end()
}

func (t *transaction) send(r *lanepb.TransactRequest) error {
	t.sending.Lock()
	defer t.sending.Unlock()
	return t.stream.Send(r)
}

func noLane(format string, args ...any) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Reason:  egret.ReasonNoLane,
		Code:    egret.CodeNotRun,
		Message: fmt.Sprintf(format, args...),
	}
}
