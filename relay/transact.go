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

// answerGracePeriod is how long after the end of a batch's time the lane's answer may still arrive. The lane itself
// ends the batch at that time, and its answer tells best whether the batch has run.
const answerGracePeriod = 400 * time.Millisecond

// transaction is a transaction on a lane of another proxy, over one stream. It implements egret.Transaction.
//
// Exchange and Close may be called by one goroutine at a time, Cancel by any goroutine at any time.
type transaction struct {
	holder  egret.Node
	options egret.TransactionOptions
	metrics *Metrics

	// cancelStream ends the stream by canceling its context.
	cancelStream context.CancelFunc

	// batchSent reports whether Exchange has sent a batch, or tried to.
	batchSent bool

	// sendMu serializes the calls of stream.Send.
	sendMu sync.Mutex

	stream grpc.BidiStreamingClient[lanepb.TransactRequest, lanepb.TransactReply]
}

// openStream opens a stream and sends the options. The stream outlives ctx and ends with the transaction.
func (l *Lanes) openStream(ctx context.Context, holder egret.Node, o egret.TransactionOptions) (egret.Transaction, error) {
	client, err := l.client(holder)
	if err != nil {
		return nil, noLaneFailure("%v", err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// ctx bounds the wait for a connection only.
	stop := context.AfterFunc(ctx, cancel)
	stream, err := client.Transact(streamCtx)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, noLaneFailure("proxy %s can't be reached: %v", holder.ID, err)
	}
	t := &transaction{
		holder:       holder,
		options:      o,
		metrics:      l.Metrics,
		cancelStream: cancel,
		stream:       stream,
	}
	err = t.send(&lanepb.TransactRequest{
		Kind: &lanepb.TransactRequest_Opening{
			Opening: optionsToProto(o, l.tablesRevision()),
		},
	})
	if err != nil {
		cancel()
		return nil, noLaneFailure("proxy %s: %v", holder.ID, err)
	}
	return t, nil
}

func (l *Lanes) tablesRevision() uint64 {
	t := l.Peers.TablesInForce()
	if t == nil {
		return 0
	}
	return t.Revision
}

// Exchange implements egret.Transaction.
func (t *transaction) Exchange(ctx context.Context, b egret.Batch, sink func(messages []byte) error) (egret.BatchResult, error) {
	first := !t.batchSent
	t.batchSent = true
	err := t.send(&lanepb.TransactRequest{
		Kind: &lanepb.TransactRequest_Batch{
			Batch: batchToProto(b),
		},
	})
	if err != nil {
		t.metrics.LostBatches.Inc()
		return egret.BatchResult{}, t.unsentFailure(first, err)
	}
	stop := t.cancelAfter(ctx)
	defer stop()
	answered := false
	for {
		reply, err := t.stream.Recv()
		if err != nil {
			t.metrics.LostBatches.Inc()
			return egret.BatchResult{}, t.lostFailure(first, answered, err)
		}
		switch k := reply.Kind.(type) {
		case *lanepb.TransactReply_Chunk:
			answered = true
			if err := sink(k.Chunk.Messages); err != nil {
				t.cancelStream()
				return egret.BatchResult{}, errors.Trace(t.lostFailure(first, answered, err))
			}
		case *lanepb.TransactReply_Completion:
			return resultFromProto(k.Completion, time.Now()), nil
		case *lanepb.TransactReply_Failure:
			return egret.BatchResult{}, failureFromProto(k.Failure)
		}
	}
}

// cancelAfter ends the stream answerGracePeriod after ctx has ended. If ctx was canceled before its deadline, as when
// the caller has disconnected, it also cancels the running statement at once. The returned function stops all this.
func (t *transaction) cancelAfter(ctx context.Context) func() {
	done := atomic.Bool{}
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Cancel()
		}
		time.AfterFunc(answerGracePeriod, func() {
			if !done.Load() {
				t.cancelStream()
			}
		})
	})
	return func() {
		done.Store(true)
		stop()
	}
}

// unsentFailure returns the failure of a batch that was not sent because the stream had ended. Only the first batch of
// a transaction may be sent to another lane.
func (t *transaction) unsentFailure(first bool, err error) *egret.Failure {
	f := noLaneFailure("proxy %s has ended the transaction: %v", t.holder.ID, err)
	if !first {
		f.Reason = egret.ReasonOther
	}
	return f
}

// lostFailure returns the failure of a batch that was sent and got no complete answer. Its outcome is unknown. The first
// batch of a read-only transaction counts as lost with the lane if no part of its answer has arrived, so that it is sent
// elsewhere at once.
func (t *transaction) lostFailure(first bool, answered bool, err error) *egret.Failure {
	reason := egret.ReasonMemberUnreachable
	if t.options.ReadOnly && first && !answered {
		reason = egret.ReasonNoLane
	}
	return &egret.Failure{
		Outcome: egret.OutcomeUnknown,
		Reason:  reason,
		Code:    egret.CodeUnknown,
		Message: fmt.Sprintf("proxy %s gave no whole answer: %v", t.holder.ID, err),
	}
}

// Cancel implements egret.Transaction.
func (t *transaction) Cancel() {
	// Sending fails only if the stream has ended, and then there is nothing to cancel.
	_ = t.send(&lanepb.TransactRequest{
		Kind: &lanepb.TransactRequest_Cancel{
			Cancel: &lanepb.Cancel{},
		},
	})
}

// Close implements egret.Transaction. The lane rolls back an open transaction when the stream ends.
func (t *transaction) Close() {
	t.cancelStream()
}

func (t *transaction) send(r *lanepb.TransactRequest) error {
	t.sendMu.Lock()
	defer t.sendMu.Unlock()
	return t.stream.Send(r)
}

// noLaneFailure returns a failure with which the request did not run, as no lane could be reached.
func noLaneFailure(format string, args ...any) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Reason:  egret.ReasonNoLane,
		Code:    egret.CodeNotRun,
		Message: fmt.Sprintf(format, args...),
	}
}
