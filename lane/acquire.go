package lane

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

// acquire waits for a slot. A transaction without a connection gets the right to one with it. The
// error is a *egret.Failure.
func (l *lane) acquire(ctx context.Context, t *transaction) (*fair.Item, error) {
	now := time.Now()
	it := &fair.Item{
		Caller:     t.opening.Caller,
		Class:      t.opening.Class,
		Continuing: t.holds(),
		Arrived:    now,
		Deadline:   deadlineOf(ctx, now),
		Wake:       make(chan error, 1),
	}
	if f := l.enqueue(now, it); f != nil {
		return nil, f
	}
	select {
	case err := <-it.Wake:
		return l.granted(it, now, err)
	case <-ctx.Done():
	case <-t.cancels:
	}
	if l.leave(it) {
		return nil, l.gaveUp(ctx)
	}
	return l.granted(it, now, <-it.Wake)
}

// enqueue adds a request, or says why it is refused.
func (l *lane) enqueue(now time.Time, it *fair.Item) *egret.Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !it.Continuing {
		if f := l.refusal(now); f != nil {
			return f
		}
	} else if l.unreachable() {
		return l.noMember()
	}
	refused := l.queue.Push(now, it)
	if refused == it {
		return l.full()
	}
	if refused != nil {
		refused.Wake <- l.full()
	}
	l.dispatch(now)
	return nil
}

// leave takes a request out of the queue. It returns false if the request was answered meanwhile.
func (l *lane) leave(it *fair.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.queue.Remove(it)
	l.gauge()
	return removed
}

func (l *lane) granted(it *fair.Item, since time.Time, err error) (*fair.Item, error) {
	if err != nil {
		return nil, err
	}
	l.holder.Metrics.QueueWait.WithLabelValues(string(it.Class)).Observe(time.Since(since).Seconds())
	return it, nil
}

// release gives a slot back.
func (l *lane) release(it *fair.Item, since time.Time) {
	now := time.Now()
	l.holder.Metrics.served(it, now.Sub(since))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.queue.Done(now, it, now.Sub(since))
	l.dispatch(now)
	if !l.handover.IsZero() {
		l.nudge()
	}
}

// giveBack says that a transaction holds its connection no longer. A nil item changes nothing.
func (l *lane) giveBack(lent *fair.Item) {
	if lent == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Return(lent)
	l.dispatch(time.Now())
	if !l.handover.IsZero() {
		l.nudge()
	}
}

func (l *lane) full() *egret.Failure {
	return notRun(egret.ReasonQueue, "the queue of member %s is full or longer than the time left", l.name)
}

// gaveUp says why a request left the queue.
func (l *lane) gaveUp(ctx context.Context) *egret.Failure {
	if ctx.Err() == nil {
		f := notRun(egret.ReasonOther, "cancelled in the queue of member %s", l.name)
		f.Code = codeCanceled
		return f
	}
	return notRun(egret.ReasonQueue, "time ran out in the queue of member %s", l.name)
}

// deadlineOf returns the context's deadline, or a far one.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return now.Add(time.Hour)
	}
	return deadline
}
