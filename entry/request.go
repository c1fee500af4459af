package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/retry"
	"egretlane.example/egret/route"
)

// Values of the label role: which member served a request.
const (
	roleReplica = "replica"
	rolePrimary = "primary"
	roleNone    = "none"
)

// request is a batch that opens a transaction, with the state of all its attempts.
type request struct {
	session *session
	in      *caller.IncomingBatch
	route   *egret.Route
	pool    *egret.Pool
	group   *egret.Group

	// readOnly reports whether the batch runs read-only, so that it may run on a replica.
	readOnly bool

	// readOnlyInferred reports whether readOnly was inferred from the first words of the statements. The batch may
	// then still write, and if a replica refuses it for that, it is retried on the primary.
	readOnlyInferred bool

	// needsFloor reports whether the caller sees data before the transaction ends, so that reads need a floor.
	needsFloor bool

	// maxAge is the highest age of a replica's data that the read accepts. Zero sets no limit.
	maxAge time.Duration

	// retryable reports whether the request may run again after an unknown outcome.
	retryable bool

	// plan bounds the attempts in time and number.
	plan retry.Plan

	// failedReplicas names the replicas that could not serve the request.
	failedReplicas []string

	// reply writes the answer to the caller.
	reply replyWriter

	// target is the target of the last attempt.
	target target
}

// target is the member that an attempt runs on.
type target struct {
	// member is the member's name.
	member string

	// role is the role that the member is used in.
	role string

	// term is the primary's term that this proxy knew when it chose the target. It is zero for replicas.
	term uint64
}

// serveNewTransaction answers a batch that comes outside a transaction.
func (s *session) serveNewTransaction(ctx context.Context, in *caller.IncomingBatch, r route.Request) {
	start := time.Now()
	q, f := s.newRequest(in, r, start)
	if f != nil {
		s.refuse(f, false)
		return
	}
	ctx, span := startSpan(ctx, r, q.route.Name)
	defer span.End()
	ctx, stop := context.WithDeadline(ctx, q.plan.Deadline)
	defer stop()
	s.enableCancel(stop)
	defer s.disableCancel()
	s.handler.Throttle.AddAttempt()
	s.conn.SetAnswerDeadline(q.plan.Deadline)
	result, f := q.run(ctx)
	s.conn.SetAnswerDeadline(time.Time{})
	s.conn.UpdatePrepared(in, q.reply.parseCompletes)
	if f != nil {
		span.SetStatus(codes.Error, f.Message)
		s.fail(s.cancelFailureOr(ctx, f), egret.TxIdle)
	} else {
		s.finish(q, result)
	}
	span.SetAttributes(attribute.String("egretlane.member", q.target.member))
	s.handler.Metrics.Requests.WithLabelValues(q.route.Name, q.target.role, outcomeLabel(f, q.reply.hasError)).Inc()
	s.handler.Metrics.RequestSeconds.WithLabelValues(q.target.role).Observe(time.Since(start).Seconds())
}

// newRequest returns the request of a batch, with the route, the pool and the group that it goes to.
func (s *session) newRequest(in *caller.IncomingBatch, r route.Request, now time.Time) (*request, *egret.Failure) {
	t := s.handler.Peers.TablesInForce()
	rt, err := route.Match(t, s.conn.Startup.User, s.conn.Startup.Database, r.Kind)
	if err != nil {
		return nil, egret.FailureOf(err)
	}
	p := t.Pool(rt.Pool)
	if p == nil {
		return nil, unsupportedFailure("the route \"" + rt.Name + "\" names no pool")
	}
	g, err := route.Group(p, r, s.conn.Startup.User)
	if err != nil {
		return nil, egret.FailureOf(err)
	}
	maxAge := rt.MaxAge
	if r.MaxAge >= 0 {
		maxAge = r.MaxAge
	}
	readOnlySession := s.readOnly && !r.Has(route.ActionBegin)
	readOnly := r.ReadOnly() || readOnlySession
	return &request{
		session:          s,
		in:               in,
		route:            rt,
		pool:             p,
		group:            g,
		readOnly:         readOnly,
		readOnlyInferred: !r.Has(route.ActionBeginReadOnly) && !readOnlySession,
		needsFloor:       readOnly || r.Has(route.ActionBegin),
		maxAge:           maxAge,
		retryable:        rt.Retryable || r.IdempotencyKey != "",
		plan: retry.Plan{
			Deadline: now.Add(rt.Budget),
			Backoff:  s.handler.Backoff,
			Throttle: s.handler.Throttle,
		},
		reply: replyWriter{
			conn: s.conn,
		},
		target: target{
			role: roleNone,
		},
	}, nil
}

// finish ends a request that was answered completely.
func (s *session) finish(q *request, result egret.BatchResult) {
	s.observePosition(q.group.Name, q.target.role, q.readOnly, result.Position)
	s.sendMember(q.target.member, result.Position)
	if result.Status == egret.TxIdle {
		s.closeTransaction()
	}
	s.sendReady(result.Status)
}

// observePosition raises the floor to the position of a write, or of a read on a replica. A read on the primary
// doesn't raise it: the position after such a read is the end of the primary's log, which replicas reach only
// after their lag, so that each read on the primary would force the next reads there too.
func (s *session) observePosition(group, role string, readOnly bool, p egret.Position) {
	if readOnly && role == rolePrimary {
		return
	}
	s.raiseFloor(group, p)
}

// cancelFailureOr returns f, or the failure that a caller expects after its own cancel request or a shutdown if the request
// was canceled before it ran.
func (s *session) cancelFailureOr(ctx context.Context, f *egret.Failure) *egret.Failure {
	switch {
	case f.Outcome != egret.OutcomeNotRun:
		return f
	case s.isCanceled():
		return &egret.Failure{
			Outcome: f.Outcome,
			Code:    "57014",
			Message: "the request was canceled on the caller's word",
		}
	case errors.Is(context.Cause(ctx), caller.ErrDraining):
		return &egret.Failure{
			Outcome: f.Outcome,
			Code:    codeShutdown,
			Message: "the request was canceled as the proxy is shutting down",
		}
	default:
		return f
	}
}

// serveInTransaction answers a batch inside an open transaction. Such a batch is never retried.
func (s *session) serveInTransaction(ctx context.Context, in *caller.IncomingBatch, r route.Request) {
	o := s.openTx
	if r.Group != "" && r.Group != o.group {
		s.refuse(unsupportedFailure("a transaction stays in its group \""+o.group+"\""), false)
		return
	}
	start := time.Now()
	ctx, span := startSpan(ctx, r, o.route.Name)
	defer span.End()
	ctx, stop := context.WithTimeout(ctx, o.route.Budget)
	defer stop()
	s.enableCancel(stop)
	defer s.disableCancel()
	s.setRunning(o.tx)
	reply := replyWriter{
		conn: s.conn,
	}
	s.conn.SetAnswerDeadline(start.Add(o.route.Budget))
	result, err := o.tx.Exchange(ctx, in.Batch, reply.write)
	s.conn.SetAnswerDeadline(time.Time{})
	s.conn.UpdatePrepared(in, reply.parseCompletes)
	if err != nil {
		s.failTransaction(ctx, egret.FailureOf(err), r)
		return
	}
	s.handler.loads.update(o.member, result.Load, -1, time.Now())
	s.observePosition(o.group, o.role, o.readOnly, result.Position)
	s.sendMember(o.member, result.Position)
	if result.Status == egret.TxIdle {
		s.closeTransaction()
	}
	s.sendReady(result.Status)
	s.handler.Metrics.Requests.WithLabelValues(o.route.Name, o.role, outcomeLabel(nil, reply.hasError)).Inc()
	s.handler.Metrics.RequestSeconds.WithLabelValues(o.role).Observe(time.Since(start).Seconds())
}

// failTransaction reports that the lane has lost the transaction. If the batch was to end the transaction, the
// caller is outside of it afterwards. Otherwise the transaction is rolled back, nothing of it takes effect, and
// the caller has yet to end it.
func (s *session) failTransaction(ctx context.Context, f *egret.Failure, r route.Request) {
	s.handler.Metrics.Requests.WithLabelValues(s.openTx.route.Name, s.openTx.role, outcomeLabel(f, false)).Inc()
	s.closeTransaction()
	if r.Has(route.ActionEnd) {
		s.fail(f, egret.TxIdle)
		return
	}
	s.txLost = true
	s.fail(s.cancelFailureOr(ctx, f), egret.TxFailed)
}

// startSpan starts the span of a request, as a child of the span that its traceparent hint names, if any.
func startSpan(ctx context.Context, r route.Request, routeName string) (context.Context, trace.Span) {
	if r.Traceparent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{
			"traceparent": r.Traceparent,
		})
	}
	return otel.Tracer("egretlane/entry").Start(ctx, "entry.request",
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("egretlane.route", routeName), attribute.String("egretlane.kind", r.Kind)))
}

// sleep waits for the delay between two attempts, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 {
	return rand.Float64()
}
