package entry

import (
	"context"
	"math/rand/v2"
	"time"

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

// Roles under which requests are counted.
const (
	roleReplica = "replica"
	rolePrimary = "primary"
	roleNone    = "none"
)

// request is a batch that opens a transaction, over all its tries.
type request struct {
	session *session
	in      *caller.Incoming
	route   *egret.Route
	pool    *egret.Pool
	group   *egret.Group

	// readOnly says that the batch may be tried on a replica.
	readOnly bool

	// guessed says that readOnly comes from the first words only, so that a refused write is tried
	// on the primary.
	guessed bool

	// reads says that the caller sees data before the transaction ends, so that it needs a floor.
	reads bool

	// maxAge is the age that the read accepts, zero for none.
	maxAge time.Duration

	// repeatable says that the request may run again after an unknown outcome.
	repeatable bool

	// plan holds the tries.
	plan retry.Plan

	// tried has the replicas that could not serve the request.
	tried []string

	// reply counts what the caller has got.
	reply reply

	// target is the member of the last try.
	target target
}

// target is where a try goes.
type target struct {
	// member is the member's name.
	member string

	// role is the role that the member is used in.
	role string

	// term is the primary's term as this proxy knew it. It is zero for replicas.
	term uint64
}

// begin answers a batch outside a transaction.
func (s *session) begin(ctx context.Context, in *caller.Incoming, r route.Request) {
	start := time.Now()
	q, f := s.plan(in, r, start)
	if f != nil {
		s.refuse(f, false)
		return
	}
	ctx, span := startSpan(ctx, r, q.route.Name)
	defer span.End()
	ctx, stop := context.WithDeadline(ctx, q.plan.Deadline)
	defer stop()
	s.arm(stop)
	defer s.disarm()
	s.desk.Ratio.First()
	s.conn.Bound(q.plan.Deadline)
	done, f := q.run(ctx)
	s.conn.Bound(time.Time{})
	s.conn.Settle(in, q.reply.parseCompletes)
	if f != nil {
		span.SetStatus(codes.Error, f.Message)
		s.fail(s.canceledOr(f), egret.TxIdle)
	} else {
		s.finish(q, done)
	}
	span.SetAttributes(attribute.String("egretlane.member", q.target.member))
	s.desk.Metrics.Requests.WithLabelValues(q.route.Name, q.target.role, outcomeLabel(f, q.reply.failed)).Inc()
	s.desk.Metrics.Seconds.WithLabelValues(q.target.role).Observe(time.Since(start).Seconds())
}

// plan finds the route, the pool and the group of a batch.
func (s *session) plan(in *caller.Incoming, r route.Request, now time.Time) (*request, *egret.Failure) {
	t := s.desk.Peers.TablesNow()
	rt, err := route.Match(t, s.conn.Start.User, s.conn.Start.Database, r.Kind)
	if err != nil {
		return nil, egret.FailureOf(err)
	}
	p := t.Pool(rt.Pool)
	if p == nil {
		return nil, unsupported("the route \"" + rt.Name + "\" names no pool")
	}
	g, err := route.Group(p, r, s.conn.Start.User)
	if err != nil {
		return nil, egret.FailureOf(err)
	}
	maxAge := rt.MaxAge
	if r.MaxAge >= 0 {
		maxAge = r.MaxAge
	}
	return &request{
		session:    s,
		in:         in,
		route:      rt,
		pool:       p,
		group:      g,
		readOnly:   r.ReadOnly(),
		guessed:    !r.Has(route.ActionBeginReadOnly),
		reads:      r.ReadOnly() || r.Has(route.ActionBegin),
		maxAge:     maxAge,
		repeatable: rt.Repeatable || r.IdempotencyKey != "",
		plan: retry.Plan{
			Deadline: now.Add(rt.Budget),
			Backoff:  s.desk.Backoff,
			Ratio:    s.desk.Ratio,
		},
		reply: reply{
			conn: s.conn,
		},
		target: target{
			role: roleNone,
		},
	}, nil
}

// finish ends a request that was answered whole.
func (s *session) finish(q *request, done egret.Completion) {
	s.saw(q.group.Name, q.target.role, q.readOnly, done.Position)
	s.tellMember(q.target.member, done.Position)
	if done.Status == egret.TxIdle {
		s.closeTransaction()
	}
	s.ready(done.Status)
}

// saw raises the floor by what a request has written or has read at a replica. A read at the primary
// leaves it alone: the position that follows it is the end of the primary's log, which replicas reach
// only after their lag, and each such read would send the next ones to the primary too.
func (s *session) saw(group, role string, readOnly bool, p egret.Position) {
	if readOnly && role == rolePrimary {
		return
	}
	s.raise(group, p)
}

// canceledOr returns the failure that a caller expects after its own cancel request.
func (s *session) canceledOr(f *egret.Failure) *egret.Failure {
	if !s.isCanceled() || f.Outcome != egret.NotRun {
		return f
	}
	return &egret.Failure{
		Outcome: f.Outcome,
		Code:    "57014",
		Message: "the request was canceled on the caller's word",
	}
}

// continueTransaction answers a batch inside a transaction. It is never tried again.
func (s *session) continueTransaction(ctx context.Context, in *caller.Incoming, r route.Request) {
	o := s.open
	if r.Group != "" && r.Group != o.group {
		s.refuse(unsupported("a transaction stays in its group \""+o.group+"\""), false)
		return
	}
	start := time.Now()
	ctx, span := startSpan(ctx, r, o.route.Name)
	defer span.End()
	ctx, stop := context.WithTimeout(ctx, o.route.Budget)
	defer stop()
	s.arm(stop)
	defer s.disarm()
	s.start(o.tx)
	p := reply{
		conn: s.conn,
	}
	s.conn.Bound(start.Add(o.route.Budget))
	done, err := o.tx.Exchange(ctx, in.Batch, p.pass)
	s.conn.Bound(time.Time{})
	s.conn.Settle(in, p.parseCompletes)
	if err != nil {
		s.loseTransaction(egret.FailureOf(err), r)
		return
	}
	s.desk.loads.note(o.member, done.Load, -1, time.Now())
	s.saw(o.group, o.role, o.readOnly, done.Position)
	s.tellMember(o.member, done.Position)
	if done.Status == egret.TxIdle {
		s.closeTransaction()
	}
	s.ready(done.Status)
	s.desk.Metrics.Requests.WithLabelValues(o.route.Name, o.role, outcomeLabel(nil, p.failed)).Inc()
	s.desk.Metrics.Seconds.WithLabelValues(o.role).Observe(time.Since(start).Seconds())
}

// loseTransaction reports that the lane has lost the transaction. Unless the caller was just ending
// it, the transaction is rolled back: nothing of it has run, and the caller has to end it.
func (s *session) loseTransaction(f *egret.Failure, r route.Request) {
	s.desk.Metrics.Requests.WithLabelValues(s.open.route.Name, s.open.role, outcomeLabel(f, false)).Inc()
	s.closeTransaction()
	if r.Has(route.ActionEnd) {
		s.fail(f, egret.TxIdle)
		return
	}
	s.lost = true
	s.fail(s.canceledOr(f), egret.TxFailed)
}

func startSpan(ctx context.Context, r route.Request, name string) (context.Context, trace.Span) {
	if r.Traceparent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{
			"traceparent": r.Traceparent,
		})
	}
	return otel.Tracer("egretlane/entry").Start(ctx, "entry.request",
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("egretlane.route", name), attribute.String("egretlane.kind", r.Kind)))
}

// pause waits between two tries.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func random() float64 {
	return rand.Float64()
}
