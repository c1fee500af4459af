package lane

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

// acquireSlot waits for a slot. A transaction without a connection is also granted the right to
// one. The error is a *egret.Failure.
func (l *lane) acquireSlot(ctx context.Context, t *transaction) (*fair.Item, error) {
	now := time.Now()
	item := &fair.Item{
		Caller:     t.options.Caller,
		Class:      t.options.Class,
		Continuing: t.holdsConn(),
		Arrived:    now,
		Deadline:   deadlineOrDefault(ctx, now),
		Result:     make(chan error, 1),
	}
	if f := l.enqueue(now, item); f != nil {
		return nil, f
	}
	select {
	case err := <-item.Result:
		return l.recordGrant(item, now, err)
	case <-ctx.Done():
	case <-t.cancels:
	}
	if l.dequeue(item) {
		return nil, l.dequeuedFailure(ctx)
	}
	return l.recordGrant(item, now, <-item.Result)
}

// enqueue adds a request to the queue, or returns why it is refused.
func (l *lane) enqueue(now time.Time, item *fair.Item) *egret.Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !item.Continuing {
		if f := l.refusal(now); f != nil {
			return f
		}
	} else if l.unreachable() {
		return l.unreachableFailure()
	}
	refused := l.queue.Push(now, item)
	if refused == item {
		return l.queueFullFailure()
	}
	if refused != nil {
		refused.Result <- l.queueFullFailure()
	}
	l.dispatch(now)
	return nil
}

// dequeue removes a request from the queue. It returns false if the request was answered in the
// meantime.
func (l *lane) dequeue(item *fair.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.queue.Remove(item)
	l.updateGauges()
	return removed
}

func (l *lane) recordGrant(item *fair.Item, requestedAt time.Time, err error) (*fair.Item, error) {
	if err != nil {
		return nil, err
	}
	l.manager.Metrics.QueueWait.WithLabelValues(string(item.Class)).Observe(time.Since(requestedAt).Seconds())
	return item, nil
}

// releaseSlot frees a request's slot and starts queued requests.
func (l *lane) releaseSlot(item *fair.Item, grantedAt time.Time) {
	now := time.Now()
	l.manager.Metrics.served(item, now.Sub(grantedAt))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runningStatements--
	l.queue.Done(now, item, now.Sub(grantedAt))
	l.dispatch(now)
	if !l.handoverSince.IsZero() {
		l.wakeSlotLocker()
	}
}

// releaseConnGrant frees the right to a connection that was granted with a request. A nil item is
// ignored.
func (l *lane) releaseConnGrant(granted *fair.Item) {
	if granted == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.ReleaseConn(granted)
	l.dispatch(time.Now())
	if !l.handoverSince.IsZero() {
		l.wakeSlotLocker()
	}
}

func (l *lane) queueFullFailure() *egret.Failure {
	return notRun(egret.ReasonQueue, "the queue of member %s is full or longer than the time left", l.name)
}

// dequeuedFailure returns why a request left the queue without a slot.
func (l *lane) dequeuedFailure(ctx context.Context) *egret.Failure {
	if ctx.Err() == nil {
		f := notRun(egret.ReasonOther, "cancelled in the queue of member %s", l.name)
		f.Code = codeCanceled
		return f
	}
	return notRun(egret.ReasonQueue, "time ran out in the queue of member %s", l.name)
}

// deadlineOrDefault returns the context's deadline, or one an hour from now if it has none.
func deadlineOrDefault(ctx context.Context, now time.Time) time.Time {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return now.Add(time.Hour)
	}
	return deadline
}
