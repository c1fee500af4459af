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
	// idleTransactionTimeout is how long an open transaction may wait for its caller's next batch.
	idleTransactionTimeout = 30 * time.Second

	// defaultConfirmTimeout bounds the wait for confirmations if the options set no bound.
	defaultConfirmTimeout = 2 * time.Second
)

// transaction is one transaction of one caller. It implements egret.Transaction.
//
// Exchange and Close must not be called concurrently; Cancel may be called at any time.
type transaction struct {
	lane    *lane
	options egret.TransactionOptions

	// deadline bounds the first batch.
	deadline time.Time

	// begun says that a batch has been sent, or that sending was attempted.
	begun bool

	// status is the transaction status after the last batch.
	status egret.TxStatus

	// cancels wakes a batch that waits for a slot. It has room for one.
	cancels chan struct{}

	// mu guards the fields below, which Exchange shares with Cancel and idleTimer.
	mu sync.Mutex

	// conn is the connection, or nil while the transaction has none.
	conn *conn

	// connGrant is the request that was granted the right to conn, or nil.
	connGrant *fair.Item

	// idleTimer ends the transaction after idleTransactionTimeout without a batch. It is nil while
	// a batch runs or no transaction is open.
	idleTimer *time.Timer
}

// Exchange implements egret.Transaction.
func (t *transaction) Exchange(ctx context.Context, b egret.Batch, sink func(messages []byte) error) (egret.BatchResult, error) {
	t.lane.beginBatch()
	defer t.lane.endBatch()
	ctx, cancel := t.withBudget(ctx)
	defer cancel()
	defer context.AfterFunc(t.lane.manager.batches, cancel)()
	ctx, span := tracer.Start(ctx, "lane.exchange")
	defer span.End()
	span.SetAttributes(attribute.String("member", t.options.Member), attribute.String("class", string(t.options.Class)))
	c, f := t.exchange(ctx, b, sink)
	t.lane.manager.Metrics.count(f)
	if f != nil {
		span.SetStatus(codes.Error, f.Error())
		return c, f
	}
	return c, nil
}

// withBudget bounds the first batch by the rest of the request's budget, and each later one by the
// full budget.
func (t *transaction) withBudget(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.options.Budget <= 0 {
		return context.WithCancel(ctx)
	}
	if !t.begun {
		return context.WithDeadline(ctx, t.deadline)
	}
	return context.WithTimeout(ctx, t.options.Budget)
}

// exchange runs a batch, waits until its writes are confirmed, and delivers the rest of the reply.
func (t *transaction) exchange(ctx context.Context, b egret.Batch, sink func(messages []byte) error) (egret.BatchResult, *egret.Failure) {
	select {
	case <-t.cancels:
	default:
	}
	if f := t.resume(); f != nil {
		return egret.BatchResult{}, f
	}
	term, f := t.checkBeforeSend(ctx)
	if f != nil {
		return egret.BatchResult{}, f
	}
	e := &exchange{
		options:    t.options,
		sink:       sink,
		firstBatch: !t.begun,
		status:     t.status,
	}
	if f := t.runInSlot(ctx, e, b); f != nil {
		return egret.BatchResult{}, f
	}
	if e.wrote && e.status == egret.TxIdle {
		if f := t.lane.awaitConfirmation(ctx, e.state, term, t.options.ConfirmTimeout); f != nil {
			return egret.BatchResult{}, f
		}
	}
	if err := e.deliver(); err != nil {
		t.drop(closedOpen)
		return egret.BatchResult{}, unknown(egret.ReasonOther, "%v", err)
	}
	return t.batchResult(e), nil
}

// checkBeforeSend refuses batches that are known to fail, before they wait for a slot. For
// transactions that may write it returns the term that the primary had granted before the batch was
// sent.
func (t *transaction) checkBeforeSend(ctx context.Context) (uint64, *egret.Failure) {
	if !t.begun {
		if f := t.lane.awaitFloor(ctx, t.options); f != nil {
			return 0, f
		}
	}
	if t.options.ReadOnly {
		return 0, t.lane.staleReadFailure(t.options, t.begun)
	}
	term, f := t.lane.primaryTerm(ctx)
	return term, t.withoutRedirect(f)
}

// withoutRedirect replaces a failure's reason if the transaction has begun on this member, so that
// the caller's proxy doesn't try another member.
func (t *transaction) withoutRedirect(f *egret.Failure) *egret.Failure {
	if f == nil || !t.begun {
		return f
	}
	g := *f
	g.Reason = egret.ReasonOther
	return &g
}

// runInSlot waits for a slot and runs the batch in it. The slot of a statement that may still run
// is released later.
func (t *transaction) runInSlot(ctx context.Context, e *exchange, b egret.Batch) *egret.Failure {
	waited, span := tracer.Start(ctx, "lane.queue")
	item, err := t.lane.acquireSlot(waited, t)
	span.End()
	if err != nil {
		return t.dropOnFailure(t.withoutRedirect(egret.FailureOf(err)))
	}
	grantedAt := time.Now()
	f := t.run(ctx, e, item, b)
	if e.mayStillRun() {
		t.lane.addOverdue(overdueStatement{
			processID: e.conn.memberConn.ProcessID(),
			item:      item,
			grantedAt: grantedAt,
		})
	} else {
		t.lane.releaseSlot(item, grantedAt)
	}
	t.releaseConn(e)
	return t.dropOnFailure(f)
}

// dropOnFailure closes the transaction's connection if the batch failed.
func (t *transaction) dropOnFailure(f *egret.Failure) *egret.Failure {
	if f != nil {
		t.drop(closedAnswer)
	}
	return f
}

// run runs the batch on the transaction's connection. The caller holds a slot.
func (t *transaction) run(ctx context.Context, e *exchange, item *fair.Item, b egret.Batch) *egret.Failure {
	c, f := t.connect(ctx, e, item)
	if f != nil {
		return f
	}
	e.conn = c
	if err := t.buildPipeline(e, b); err != nil {
		f := notRun(egret.ReasonOther, "%v", err)
		f.Code = egret.CodeProtocol
		return f
	}
	if ctx.Err() != nil {
		return notRun(egret.ReasonQueue, "time ran out before the batch was sent to member %s", t.options.Member)
	}
	t.lane.activate(c, t.options.ReadOnly)
	defer t.lane.deactivate(c)
	t.begun = true
	if err := e.runTraced(ctx); err != nil {
		e.dirty = true
		return e.incompleteFailure(err)
	}
	if f := e.failure(); f != nil {
		e.dirty = e.dirty || e.status != egret.TxIdle
		return f
	}
	return t.fetchState(ctx, e)
}

// connect returns the transaction's connection, or acquires one if it has none.
func (t *transaction) connect(ctx context.Context, e *exchange, item *fair.Item) (*conn, *egret.Failure) {
	if item.Continuing {
		return t.conn, nil
	}
	t.setConn(nil, item)
	c, err := t.lane.acquireConn(ctx, t.options.ReadOnly)
	if err != nil {
		return nil, notRun(egret.ReasonMemberUnreachable, "member %s: %v", t.options.Member, err)
	}
	t.setConn(c, item)
	e.status = egret.TxIdle
	return c, nil
}

// setConn sets the transaction's connection and the request that was granted the right to it. The
// connection is nil while it is being acquired.
func (t *transaction) setConn(c *conn, item *fair.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	t.connGrant = item
}

func (t *transaction) holdsConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connGrant != nil
}

// buildPipeline builds the pipeline of a batch.
func (t *transaction) buildPipeline(e *exchange, b egret.Batch) error {
	c := e.conn
	p := &e.pipeline
	p.prepared = &c.prepared
	if e.status == egret.TxIdle && c.readOnly != t.options.ReadOnly {
		p.setReadOnly(t.options.ReadOnly)
		c.readOnly = t.options.ReadOnly
	}
	p.closeStatements(c.prepared.evict())
	if e.status == egret.TxIdle && !t.options.Floor.IsZero() {
		p.requireFloor(t.options)
	}
	if err := p.addBatch(b); err != nil {
		e.dirty = true
		return err
	}
	if e.status == egret.TxIdle && !p.opensTransaction || p.endsTransaction {
		p.requestState()
	}
	return nil
}

// fetchState requests the member's state if a transaction has ended and the pipeline didn't request
// it, as is the case for transactions that begin and end in one simple query.
func (t *transaction) fetchState(ctx context.Context, e *exchange) *egret.Failure {
	if e.state.Member != "" || e.status != egret.TxIdle || !e.wrote && t.options.ReadOnly {
		return nil
	}
	e.pipeline = pipeline{
		prepared: &e.conn.prepared,
	}
	e.pipeline.requestState()
	if err := e.run(ctx); err != nil {
		e.dirty = true
		if e.wrote {
			// The batch has committed. Whether the state request was sent says nothing about it.
			return unknown(egret.ReasonMemberUnreachable, "member %s: %v", e.options.Member, err)
		}
	}
	return nil
}

// releaseConn returns the connection to the lane if the transaction has ended, or closes it if it
// can't be reused. If the transaction is still open, its idle timer starts.
func (t *transaction) releaseConn(e *exchange) {
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
		t.idleTimer = time.AfterFunc(idleTransactionTimeout, t.onIdleTimeout)
		return
	}
	t.returnConn()
}

// returnConn returns the connection to the lane for the next transaction.
func (t *transaction) returnConn() {
	c, connGrant := t.detach()
	switch {
	case c == nil:
	case c.cancelled.Load():
		t.lane.discard(c, closedCanceled)
	default:
		t.lane.putBack(c)
	}
	t.lane.releaseConnGrant(connGrant)
}

// drop closes the connection, if there is one. The member rolls back an open transaction.
func (t *transaction) drop(cause string) {
	c, connGrant := t.detach()
	if c != nil {
		t.lane.discard(c, cause)
	}
	t.lane.releaseConnGrant(connGrant)
}

// detach removes the connection from the transaction and stops the idle timer. Cancel has no effect
// on the connection from then on.
func (t *transaction) detach() (*conn, *fair.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idleTimer != nil {
		t.idleTimer.Stop()
		t.idleTimer = nil
	}
	c, connGrant := t.conn, t.connGrant
	t.conn, t.connGrant = nil, nil
	return c, connGrant
}

// onIdleTimeout closes the connection of an open transaction whose caller has sent nothing for too
// long. The next batch fails.
func (t *transaction) onIdleTimeout() {
	t.mu.Lock()
	open := t.idleTimer != nil
	t.mu.Unlock()
	if open {
		t.drop(closedOpen)
	}
}

// resume stops the idle timer, and fails if the transaction has been ended.
func (t *transaction) resume() *egret.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idleTimer != nil {
		t.idleTimer.Stop()
		t.idleTimer = nil
	}
	if t.conn == nil && t.begun && t.status != egret.TxIdle {
		return notRun(egret.ReasonOther, "the transaction on member %s has ended", t.options.Member)
	}
	return nil
}

// batchResult returns the result of a batch for the caller.
func (t *transaction) batchResult(e *exchange) egret.BatchResult {
	position := e.state.Applied
	if e.state.Role == egret.RolePrimary {
		position = e.state.Received
	}
	if e.state.Member != "" {
		t.lane.updateState(e.state)
	}
	return egret.BatchResult{
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
