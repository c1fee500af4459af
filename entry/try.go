package entry

import (
	"context"
	"slices"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/route"
)

// lookupTimeout bounds the wait for a group's confirmed position in one try.
const lookupTimeout = time.Second

// run tries the request until it is answered, may not be tried again, or the budget ends.
func (q *request) run(ctx context.Context) (egret.Completion, *egret.Failure) {
	for {
		done, f := q.try(ctx)
		if f == nil {
			return done, nil
		}
		if !q.mayRepeat(f) {
			return egret.Completion{}, f
		}
		if q.learn(f) {
			q.session.desk.Metrics.Retries.WithLabelValues(f.Reason.Label()).Inc()
			continue
		}
		wait, ok := q.plan.Next(time.Now(), random(), isFree(f))
		if !ok || q.session.isCanceled() {
			return egret.Completion{}, f
		}
		q.session.desk.Metrics.Retries.WithLabelValues(f.Reason.Label()).Inc()
		pause(ctx, wait)
	}
}

// try runs the request once.
func (q *request) try(ctx context.Context) (egret.Completion, *egret.Failure) {
	if f := q.settleFloor(ctx); f != nil {
		return egret.Completion{}, f
	}
	t, f := q.choose(ctx)
	if f != nil {
		return egret.Completion{}, f
	}
	q.target = t
	start := time.Now()
	tx, err := q.session.desk.Lanes.Begin(ctx, q.opening(t))
	if err != nil {
		return egret.Completion{}, egret.FailureOf(err)
	}
	if !q.session.start(tx) {
		tx.Close()
		return egret.Completion{}, notRun(egret.ReasonOther, "the request was canceled")
	}
	done, err := tx.Exchange(ctx, q.in.Batch, q.reply.pass)
	if err != nil {
		q.session.start(nil)
		tx.Close()
		return egret.Completion{}, egret.FailureOf(err)
	}
	q.session.desk.loads.note(t.member, done.Load, time.Since(start), time.Now())
	if done.Status == egret.TxIdle {
		tx.Close()
		return done, nil
	}
	q.keepOpen(tx)
	return done, nil
}

// keepOpen leaves the transaction to the batches that follow.
func (q *request) keepOpen(tx egret.Transaction) {
	q.session.open = openTransaction{
		tx:       tx,
		group:    q.group.Name,
		member:   q.target.member,
		route:    q.route,
		readOnly: q.readOnly,
		role:     q.target.role,
	}
}

// mayRepeat reports whether a failed try may be followed by another.
func (q *request) mayRepeat(f *egret.Failure) bool {
	if q.reply.sent > 0 || q.session.isCanceled() {
		return false
	}
	switch f.Outcome {
	case egret.NotRun:
		return true
	case egret.Unknown:
		return q.repeatable || q.readOnly
	default:
		return false
	}
}

// learn takes in what a failed try has shown. It returns true if another member is worth trying at
// once.
func (q *request) learn(f *egret.Failure) bool {
	if f.Reason == egret.ReasonReadOnly && q.guessed {
		q.readOnly = false
		q.guessed = false
		return true
	}
	if q.target.role != roleReplica {
		return false
	}
	q.tried = append(q.tried, q.target.member)
	if f.Reason == egret.ReasonFloor {
		q.session.desk.refresh(q.target.member)
	}
	// A database that refuses one statement refuses the next: the ratio bounds such tries.
	return f.Reason != egret.ReasonRefused
}

// isFree reports whether a try again puts no load on a member that refuses: the lane or the primary
// was not there to take the request.
func isFree(f *egret.Failure) bool {
	switch f.Reason {
	case egret.ReasonNoLane, egret.ReasonMember, egret.ReasonNotPrimary, egret.ReasonLeaving:
		return true
	default:
		return false
	}
}

// settleFloor lifts a session's floor once for each group to the group's position now, as confirmed by
// a majority. A session without a token has no other floor, and a token may be older than the session's
// last write.
func (q *request) settleFloor(ctx context.Context) *egret.Failure {
	s := q.session
	if !q.reads {
		return nil
	}
	if _, settled := s.settled[q.group.Name]; settled {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	p, err := s.desk.Positions.Confirm(ctx, q.group.Name)
	if err != nil {
		s.desk.Metrics.Confirms.WithLabelValues("failed").Inc()
		return notRun(egret.ReasonMember, "the position of the group \""+q.group.Name+"\" is not confirmed: "+err.Error())
	}
	s.desk.Metrics.Confirms.WithLabelValues("ok").Inc()
	s.raise(q.group.Name, p)
	s.settled[q.group.Name] = struct{}{}
	return nil
}

// choose returns where the next try goes.
func (q *request) choose(ctx context.Context) (target, *egret.Failure) {
	d := q.session.desk
	fact, known := d.Peers.Primary(q.group.Name)
	if q.readOnly && q.route.Replicas {
		ranked := route.Rank(q.candidates(), fact.Primary, q.reader())
		if len(ranked) > 0 {
			return target{
				member: ranked[0].Member.Name,
				role:   roleReplica,
			}, nil
		}
	}
	if !known || (q.target.role == rolePrimary && q.target.term == fact.Term) {
		// The primary is not known, or has failed in this term: ask who leads.
		if found, ok := d.findPrimary(ctx, q.group); ok {
			fact = found
			known = true
		}
	}
	if !known {
		return target{}, notRun(egret.ReasonNotPrimary, "the group \""+q.group.Name+"\" has no primary now")
	}
	return target{
		member: fact.Primary,
		role:   rolePrimary,
		term:   fact.Term,
	}, nil
}

// candidates returns the group's members that have not failed this request.
func (q *request) candidates() []route.Candidate {
	now := time.Now()
	c := make([]route.Candidate, 0, len(q.group.Members))
	for i := range q.group.Members {
		m := &q.group.Members[i]
		if slices.Contains(q.tried, m.Name) {
			continue
		}
		seen := q.session.desk.loads.of(m.Name, now)
		c = append(c, route.Candidate{
			Member:   m,
			Load:     seen.load,
			Distance: seen.distance,
		})
	}
	return c
}

func (q *request) reader() route.Reader {
	return route.Reader{
		Region: q.session.desk.Peers.Self().Region,
		Floor:  q.session.floor.At(q.group.Name),
		MaxAge: q.maxAge,
		Wait:   q.session.desk.ReplicaWait,
		Since:  time.Since(q.session.raised[q.group.Name]),
	}
}

func (q *request) opening(t target) egret.Opening {
	o := egret.Opening{
		Member:      t.member,
		Group:       q.group.Name,
		Pool:        q.pool.Name,
		Caller:      q.session.conn.Start.User,
		Class:       q.route.Class,
		ReadOnly:    q.readOnly,
		Floor:       q.session.floor.At(q.group.Name),
		ConfirmWait: q.route.ConfirmWait,
		Budget:      q.plan.Left(time.Now()),
	}
	if t.role == roleReplica {
		o.FloorWait = q.session.desk.ReplicaWait
		o.MaxAge = q.maxAge
	}
	return o
}

func notRun(r egret.Reason, message string) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Reason:  r,
		Code:    egret.CodeNotRun,
		Message: message,
	}
}
