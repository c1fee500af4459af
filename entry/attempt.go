package entry

import (
	"context"
	"slices"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/route"
)

// floorLookupTimeout bounds the lookup of a group's confirmed position in one attempt.
const floorLookupTimeout = time.Second

// run attempts the request until it is answered, may not be retried, or its time budget or the context ends.
func (q *request) run(ctx context.Context) (egret.BatchResult, *egret.Failure) {
	// lastUnknown is the last failure of unknown outcome, or nil.
	var lastUnknown *egret.Failure
	for {
		result, f := q.attempt(ctx)
		if f == nil {
			return result, nil
		}
		if f.Outcome == egret.OutcomeUnknown {
			lastUnknown = f
		}
		if f.Reason == egret.ReasonReadOnly && !q.readOnlyInferred {
			return egret.BatchResult{}, readOnlyFailure()
		}
		if ctx.Err() != nil || !q.mayRetry(f) {
			return egret.BatchResult{}, requestFailure(f, lastUnknown)
		}
		if q.updateAfterFailure(f) {
			q.session.handler.Metrics.Retries.WithLabelValues(f.Reason.Label()).Inc()
			continue
		}
		delay, ok := q.plan.Next(time.Now(), randomFraction(), isUnthrottled(f))
		if !ok || q.session.isCanceled() {
			return egret.BatchResult{}, requestFailure(f, lastUnknown)
		}
		q.session.handler.Metrics.Retries.WithLabelValues(f.Reason.Label()).Inc()
		sleep(ctx, delay)
	}
}

// requestFailure returns the failure of a request whose last attempt failed with last. If an earlier attempt had an unknown
// outcome, the request has one too, although the last attempt has not run.
func requestFailure(last, lastUnknown *egret.Failure) *egret.Failure {
	if lastUnknown == nil || last.Outcome != egret.OutcomeNotRun {
		return last
	}
	f := *last
	f.Outcome, f.Code = egret.OutcomeUnknown, egret.CodeUnknown
	f.Message += "; before that: " + lastUnknown.Message
	return &f
}

// attempt runs the request once, on one member.
func (q *request) attempt(ctx context.Context) (egret.BatchResult, *egret.Failure) {
	if f := q.lookUpFloor(ctx); f != nil {
		return egret.BatchResult{}, f
	}
	t, f := q.chooseTarget(ctx)
	if f != nil {
		return egret.BatchResult{}, f
	}
	q.target = t
	start := time.Now()
	tx, err := q.session.handler.Lanes.Begin(ctx, q.options(t))
	if err != nil {
		return egret.BatchResult{}, egret.FailureOf(err)
	}
	if !q.session.setRunning(tx) {
		tx.Close()
		return egret.BatchResult{}, notRunFailure(egret.ReasonOther, "the request was canceled")
	}
	result, err := tx.Exchange(ctx, q.in.Batch, q.reply.write)
	if err != nil {
		q.session.setRunning(nil)
		tx.Close()
		return egret.BatchResult{}, egret.FailureOf(err)
	}
	q.session.handler.loads.update(t.member, result.Load, time.Since(start), time.Now())
	if result.Status == egret.TxIdle {
		tx.Close()
		return result, nil
	}
	q.keepOpen(tx)
	return result, nil
}

// keepOpen keeps the transaction open for the batches that follow.
func (q *request) keepOpen(tx egret.Transaction) {
	q.session.openTx = openTransaction{
		tx:       tx,
		group:    q.group.Name,
		member:   q.target.member,
		route:    q.route,
		readOnly: q.readOnly,
		role:     q.target.role,
	}
}

// mayRetry reports whether the request may be attempted again after a failure.
func (q *request) mayRetry(f *egret.Failure) bool {
	if q.reply.sentBytes > 0 || q.session.isCanceled() {
		return false
	}
	switch f.Outcome {
	case egret.OutcomeNotRun:
		return true
	case egret.OutcomeUnknown:
		return q.retryable || q.readOnly
	default:
		return false
	}
}

// updateAfterFailure excludes the member or corrects the request, according to a failure. It returns true if the
// request may be retried at once on another member.
func (q *request) updateAfterFailure(f *egret.Failure) bool {
	if f.Reason == egret.ReasonReadOnly && q.readOnlyInferred {
		q.readOnly = false
		q.readOnlyInferred = false
		return true
	}
	if q.target.role != roleReplica {
		return false
	}
	q.failedReplicas = append(q.failedReplicas, q.target.member)
	if f.Reason == egret.ReasonFloor {
		q.session.handler.refreshLoad(q.target.member)
	}
	// A database that refuses one statement also refuses the next, so the throttle bounds these retries.
	return f.Reason != egret.ReasonMemberRefused
}

// isUnthrottled reports whether a retry after the failure doesn't count towards the throttle. It adds no load to a
// member that refuses requests, because the lane or the primary was not available to take this one.
func isUnthrottled(f *egret.Failure) bool {
	switch f.Reason {
	case egret.ReasonNoLane, egret.ReasonMemberUnreachable, egret.ReasonNotPrimary, egret.ReasonLeaving:
		return true
	default:
		return false
	}
}

// lookUpFloor raises the session's floor, once for each group, to the group's current position as confirmed by a
// majority. A session without a token has no other floor, and a token may be older than the last write of the
// session that it comes from.
func (q *request) lookUpFloor(ctx context.Context) *egret.Failure {
	s := q.session
	if !q.needsFloor {
		return nil
	}
	if _, done := s.floorLookedUp[q.group.Name]; done {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, floorLookupTimeout)
	defer cancel()
	p, err := s.handler.Positions.ConfirmedPosition(ctx, q.group.Name)
	if err != nil {
		s.handler.Metrics.FloorLookups.WithLabelValues("failed").Inc()
		return notRunFailure(egret.ReasonMemberUnreachable, "the position of the group \""+q.group.Name+"\" is not confirmed: "+err.Error())
	}
	s.handler.Metrics.FloorLookups.WithLabelValues("ok").Inc()
	s.raiseFloor(q.group.Name, p)
	s.floorLookedUp[q.group.Name] = struct{}{}
	return nil
}

// chooseTarget returns the target of the next attempt: the best replica for a read, or else the primary.
func (q *request) chooseTarget(ctx context.Context) (target, *egret.Failure) {
	h := q.session.handler
	current, known := h.Peers.Primary(q.group.Name)
	if q.readOnly && q.route.AllowReplicas {
		ranked := route.Rank(q.candidates(), current.Primary, q.readConstraints())
		if len(ranked) > 0 {
			return target{
				member: ranked[0].Member.Name,
				role:   roleReplica,
			}, nil
		}
	}
	if !known || (q.target.role == rolePrimary && q.target.term == current.Term) {
		// The primary is unknown, or the last attempt failed on it in this term: ask the members.
		if found, ok := h.findPrimary(ctx, q.group); ok {
			current = found
			known = true
		}
	}
	if !known {
		return target{}, notRunFailure(egret.ReasonNotPrimary, "the group \""+q.group.Name+"\" has no primary now")
	}
	return target{
		member: current.Primary,
		role:   rolePrimary,
		term:   current.Term,
	}, nil
}

// candidates returns the group's members without the replicas that could not serve this request.
func (q *request) candidates() []route.Candidate {
	now := time.Now()
	c := make([]route.Candidate, 0, len(q.group.Members))
	for i := range q.group.Members {
		m := &q.group.Members[i]
		if slices.Contains(q.failedReplicas, m.Name) {
			continue
		}
		cached := q.session.handler.loads.get(m.Name, now)
		c = append(c, route.Candidate{
			Member:       m,
			Load:         cached.load,
			ResponseTime: cached.responseTime,
		})
	}
	return c
}

// readConstraints returns what the request requires of a replica.
func (q *request) readConstraints() route.ReadConstraints {
	return route.ReadConstraints{
		Region:     q.session.handler.Peers.Self().Region,
		Floor:      q.session.floor.At(q.group.Name),
		MaxAge:     q.maxAge,
		MaxCatchUp: q.session.handler.ReplicaWaitTimeout,
		FloorAge:   time.Since(q.session.raisedAt[q.group.Name]),
	}
}

// options returns the options of a transaction on the target. FloorTimeout and MaxAge are set for replicas only.
func (q *request) options(t target) egret.TransactionOptions {
	o := egret.TransactionOptions{
		Member:         t.member,
		Group:          q.group.Name,
		Pool:           q.pool.Name,
		Caller:         q.session.conn.Startup.User,
		Class:          q.route.Class,
		ReadOnly:       q.readOnly,
		Floor:          q.session.floor.At(q.group.Name),
		ConfirmTimeout: q.route.ConfirmTimeout,
		Budget:         q.plan.Remaining(time.Now()),
	}
	if t.role == roleReplica {
		o.FloorTimeout = q.session.handler.ReplicaWaitTimeout
		o.MaxAge = q.maxAge
	}
	return o
}

// readOnlyFailure returns the failure of a write in a transaction or session that the caller has set to read-only.
func readOnlyFailure() *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Reason:  egret.ReasonReadOnly,
		Code:    egret.CodeReadOnly,
		Message: "cannot write in a read-only transaction",
	}
}

func notRunFailure(r egret.Reason, message string) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Reason:  r,
		Code:    egret.CodeNotRun,
		Message: message,
	}
}
