package lane

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

const (
	// openLimit is how long an open transaction may wait for its caller's next batch.
	openLimit = 30 * time.Second

	// defaultConfirmWait bounds confirmations of openings that name no bound.
	defaultConfirmWait = 2 * time.Second
)

// transaction is one transaction of one caller. It implements egret.Transaction.
//
// Exchange and Close are for one goroutine at a time; Cancel is for any.
type transaction struct {
	lane    *lane
	opening egret.Opening

	// deadline bounds the first batch.
	deadline time.Time

	// begun says that a batch has run.
	begun bool

	// status is the status after the last batch.
	status egret.TxStatus

	// cancels wakes a batch that waits in the queue. It has room for one.
	cancels chan struct{}

	// mu guards the fields below, which Cancel and the timer share with Exchange.
	mu sync.Mutex

	// conn is the connection, or nil while the transaction has none.
	conn *conn

	// lent is the request that the right to conn came with, or nil.
	lent *fair.Item

	// abandoned ends the transaction when its caller sends nothing for long. It is nil while no
	// transaction is open.
	abandoned *time.Timer
}

// Exchange implements egret.Transaction.
func (t *transaction) Exchange(ctx context.Context, b egret.Batch, sink func(messages []byte) error) (egret.Completion, error) {
	t.lane.beginAnswer()
	defer t.lane.endAnswer()
	ctx, cancel := t.bound(ctx)
	defer cancel()
	ctx, span := tracer.Start(ctx, "lane.exchange")
	defer span.End()
	span.SetAttributes(attribute.String("member", t.opening.Member), attribute.String("class", string(t.opening.Class)))
	c, f := t.exchange(ctx, b, sink)
	t.lane.holder.Metrics.count(f)
	if f != nil {
		span.SetStatus(codes.Error, f.Error())
		return c, f
	}
	return c, nil
}

// bound gives the first batch what is left of the request's time, and later ones the same time anew.
func (t *transaction) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.opening.Budget <= 0 {
		return context.WithCancel(ctx)
	}
	if !t.begun {
		return context.WithDeadline(ctx, t.deadline)
	}
	return context.WithTimeout(ctx, t.opening.Budget)
}

// exchange runs a batch and confirms what it wrote.
func (t *transaction) exchange(ctx context.Context, b egret.Batch, sink func(messages []byte) error) (egret.Completion, *egret.Failure) {
	select {
	case <-t.cancels:
	default:
	}
	if f := t.resume(); f != nil {
		return egret.Completion{}, f
	}
	term, f := t.precheck(ctx)
	if f != nil {
		return egret.Completion{}, f
	}
	e := &exchange{
		opening: t.opening,
		sink:    sink,
		first:   !t.begun,
		status:  t.status,
	}
	if f := t.runInSlot(ctx, e, b); f != nil {
		return egret.Completion{}, f
	}
	if e.wrote && e.status == egret.TxIdle {
		if f := t.lane.confirm(ctx, e.state, term, t.opening.ConfirmWait); f != nil {
			return egret.Completion{}, f
		}
	}
	if err := e.deliver(); err != nil {
		t.drop(closedOpen)
		return egret.Completion{}, unknown(egret.ReasonOther, "%v", err)
	}
	return t.completion(e), nil
}

// precheck refuses what the lane knows to fail. For transactions that may write it returns the term
// that the primary had granted before the batch was sent.
func (t *transaction) precheck(ctx context.Context) (uint64, *egret.Failure) {
	if !t.begun {
		if f := t.lane.awaitFloor(ctx, t.opening); f != nil {
			return 0, f
		}
	}
	if t.opening.ReadOnly {
		return 0, t.lane.tooOld(t.opening, t.begun)
	}
	term, f := t.lane.primaryTerm(ctx)
	return term, t.located(f)
}

// located takes the advice to go elsewhere from failures of a transaction that has begun here.
func (t *transaction) located(f *egret.Failure) *egret.Failure {
	if f == nil || !t.begun {
		return f
	}
	g := *f
	g.Reason = egret.ReasonOther
	return &g
}

// runInSlot waits for a slot and runs the batch in it.
func (t *transaction) runInSlot(ctx context.Context, e *exchange, b egret.Batch) *egret.Failure {
	waited, span := tracer.Start(ctx, "lane.queue")
	it, err := t.lane.acquire(waited, t)
	span.End()
	if err != nil {
		return t.failed(t.located(egret.FailureOf(err)))
	}
	since := time.Now()
	f := t.run(ctx, e, it, b)
	if e.runsOn() {
		t.lane.endOverdue(overdue{
			process: e.conn.wire.Process(),
			item:    it,
			since:   since,
		})
	} else {
		t.lane.release(it, since)
	}
	t.settle(e)
	return t.failed(f)
}

// failed ends a transaction whose batch failed.
func (t *transaction) failed(f *egret.Failure) *egret.Failure {
	if f != nil {
		t.drop(closedAnswer)
	}
	return f
}

// run runs the batch on the transaction's connection. The slot is held.
func (t *transaction) run(ctx context.Context, e *exchange, it *fair.Item, b egret.Batch) *egret.Failure {
	c, f := t.connect(ctx, e, it)
	if f != nil {
		return f
	}
	e.conn = c
	if err := t.prepare(e, b); err != nil {
		f := notRun(egret.ReasonOther, "%v", err)
		f.Code = egret.CodeProtocol
		return f
	}
	if ctx.Err() != nil {
		return notRun(egret.ReasonQueue, "time ran out before the batch was sent to member %s", t.opening.Member)
	}
	t.lane.activate(c, t.opening.ReadOnly)
	defer t.lane.deactivate(c)
	t.begun = true
	if err := e.runTraced(ctx); err != nil {
		e.dirty = true
		return e.broken(err)
	}
	if f := e.verdict(); f != nil {
		e.dirty = e.dirty || e.status != egret.TxIdle
		return f
	}
	return t.askState(ctx, e)
}

// connect returns the transaction's connection, or gets one.
func (t *transaction) connect(ctx context.Context, e *exchange, it *fair.Item) (*conn, *egret.Failure) {
	if it.Continuing {
		return t.conn, nil
	}
	t.lend(nil, it)
	c, err := t.lane.connection(ctx, t.opening.ReadOnly)
	if err != nil {
		return nil, notRun(egret.ReasonMember, "member %s: %v", t.opening.Member, err)
	}
	t.lend(c, it)
	e.status = egret.TxIdle
	return c, nil
}

// lend gives the transaction a connection, or first the right to one.
func (t *transaction) lend(c *conn, it *fair.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	t.lent = it
}

func (t *transaction) holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lent != nil
}

// prepare builds the pipeline for the batch.
func (t *transaction) prepare(e *exchange, b egret.Batch) error {
	c := e.conn
	p := &e.pipeline
	p.names = &c.names
	if e.status == egret.TxIdle && c.readOnly != t.opening.ReadOnly {
		p.setReadOnly(t.opening.ReadOnly)
		c.readOnly = t.opening.ReadOnly
	}
	p.closeNames(c.names.evict())
	if e.status == egret.TxIdle && !t.opening.Floor.IsZero() {
		p.requireFloor(t.opening)
	}
	if err := p.addBatch(b); err != nil {
		e.dirty = true
		return err
	}
	if e.status == egret.TxIdle && !p.opens || p.ends {
		p.askStatus()
	}
	return nil
}

// askState asks for the member's state if a transaction has ended and it wasn't asked in the
// pipeline, as happens with transactions that begin and end in one simple query.
func (t *transaction) askState(ctx context.Context, e *exchange) *egret.Failure {
	if e.state.Member != "" || e.status != egret.TxIdle || !e.wrote && t.opening.ReadOnly {
		return nil
	}
	e.pipeline = pipeline{
		names: &e.conn.names,
	}
	e.pipeline.askStatus()
	if err := e.run(ctx); err != nil {
		e.dirty = true
		if e.wrote {
			return e.broken(err)
		}
	}
	return nil
}

// settle returns the connection if the transaction has ended, or closes it if it can't be used again.
func (t *transaction) settle(e *exchange) {
	if e.conn == nil {
		t.drop(closedAnswer)
		return
	}
	t.status = e.status
	if e.dirty {
		t.drop(closedAnswer)
		return
	}
	if e.status != egret.TxIdle {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.abandoned = time.AfterFunc(openLimit, t.abandon)
		return
	}
	t.finish()
}

// finish gives the connection back for the next transaction.
func (t *transaction) finish() {
	c, lent := t.detach()
	switch {
	case c == nil:
	case c.cancelled.Load():
		t.lane.discard(c, closedCanceled)
	default:
		t.lane.putBack(c)
	}
	t.lane.giveBack(lent)
}

// drop closes the connection, if there is one. The member rolls back what is open.
func (t *transaction) drop(cause string) {
	c, lent := t.detach()
	if c != nil {
		t.lane.discard(c, cause)
	}
	t.lane.giveBack(lent)
}

// detach takes the connection from the transaction. A cancel finds none from then on.
func (t *transaction) detach() (*conn, *fair.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.abandoned != nil {
		t.abandoned.Stop()
		t.abandoned = nil
	}
	c, lent := t.conn, t.lent
	t.conn, t.lent = nil, nil
	return c, lent
}

// abandon ends a transaction whose caller has sent nothing for long. The transaction's next batch
// finds that out.
func (t *transaction) abandon() {
	t.mu.Lock()
	waits := t.abandoned != nil
	t.mu.Unlock()
	if waits {
		t.drop(closedOpen)
	}
}

// resume stops the timer of an open transaction.
func (t *transaction) resume() *egret.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.abandoned != nil {
		t.abandoned.Stop()
		t.abandoned = nil
	}
	if t.conn == nil && t.begun && t.status != egret.TxIdle {
		return notRun(egret.ReasonOther, "the transaction on member %s has ended", t.opening.Member)
	}
	return nil
}

// completion is the end of a batch for the caller.
func (t *transaction) completion(e *exchange) egret.Completion {
	position := e.state.Applied
	if e.state.Role == egret.RolePrimary {
		position = e.state.Received
	}
	if e.state.Member != "" {
		t.lane.note(e.state)
	}
	return egret.Completion{
		Status:   e.status,
		Position: position,
		Load:     t.lane.load(),
	}
}

// Cancel implements egret.Transaction.
func (t *transaction) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.cancels <- struct{}{}:
	default:
	}
	if t.conn != nil {
		t.conn.cancel()
	}
}

// Close implements egret.Transaction.
func (t *transaction) Close() {
	t.drop(closedOpen)
}
