package sched

import (
	"math"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// correctionWeight is the divisor of the moving average in stream.correction: one item counts for
	// 1/correctionWeight.
	correctionWeight = 32

	// maxCorrection bounds the ratio of actual to predicted wait that one item contributes, and its inverse.
	maxCorrection = 4.0

	// minSampledWait is the shortest predicted wait that is compared with the actual one. Shorter ones say
	// little about the error of the prediction.
	minSampledWait = 10 * time.Millisecond

	// streamWeight is the divisor of the moving sums in a stream: one start counts for 1/streamWeight.
	streamWeight = 16

	// ignoredSlowness is the slowness up to which a member counts as fast. Service times that spread give a fast member
	// as much, as the slowness is at least 1.
	ignoredSlowness = 1.5
)

// stream is what is learned of the waits of the items of a flow with the same need.
type stream struct {
	// queued is how many items of the stream wait.
	queued int

	// own is a moving sum of the cost of the stream's items that were started while others of it waited, and all that of
	// all items that were started meanwhile. Their ratio is how much work starts for each unit of the stream's own.
	own, all float64

	// since is the work that had started when the last of these items did. When the stream's first item began to wait, it
	// was that and the work ahead of the item: only what starts beyond it has overtaken the stream.
	since time.Duration

	// stalled is set while no member may run the stream's items.
	stalled bool

	// correction is the moving average of the ratio of actual to raw predicted wait, as members don't share the work
	// evenly and costs are estimates. It is zero before the first sample.
	correction float64
}

func (it *Item) stream() *stream {
	return &it.flow.streams[it.Need]
}

// workFor returns the cost of all items that were started on members for items of the need.
func (q *Queue) workFor(n Need) time.Duration {
	if n == NeedPrimary {
		return q.primaryWork
	}
	return q.startedWork
}

// learnWait counts an item that was removed to start on the member, and updates the correction from its actual and its
// predicted wait.
func (q *Queue) learnWait(now clock.Time, it *Item, m *Member) {
	q.startedWork += it.Cost
	if m.Primary {
		q.primaryWork += it.Cost
	}
	if it.Need == NeedMember {
		return
	}
	s, work := it.stream(), q.workFor(it.Need)
	s.all += float64(max(0, work-s.since)) - s.all/streamWeight
	s.own += float64(it.Cost) - s.own/streamWeight
	s.since = work
	if it.rawWait < minSampledWait {
		return
	}
	ratio := min(max(float64(now.Sub(it.Arrived))/float64(it.rawWait), 1/maxCorrection), maxCorrection)
	if s.correction == 0 {
		s.correction = 1
	}
	s.correction += (ratio - s.correction) / correctionWeight
}

// PredictedWait returns the wait that Push predicted for the item.
func (it *Item) PredictedWait() time.Duration {
	if c := it.stream().correction; c != 0 {
		return time.Duration(float64(it.rawWait) * c)
	}
	return it.rawWait
}

// rawWait returns the cost of the work ahead of the item, divided by the slots of the members that may run it; a slow
// member has accordingly fewer. The work is that of the queued items that start before it, for a read all of them and else
// those of the same need, and of the running statements beyond these slots. It is at least the item's own stream's part
// of it times the work that starts for each unit of the stream, as later items may go ahead. If no such member has
// a connection for the item, the wait is at least the time in which as many connections become free as these items and
// the item itself need. rawWait also sets the item's extraCost.
func (q *Queue) rawWait(now clock.Time, it *Item, members []*Member) time.Duration {
	slots, running, rate, freed, connsFree := 0, 0, 0.0, 0.0, false
	fastest := math.Inf(1)
	for _, m := range members {
		if mayRun(now, it, m) {
			slots += m.capacity()
			running += m.Running
			slowness := max(1, m.Slowness/ignoredSlowness)
			rate += float64(m.capacity()) / slowness
			fastest = min(fastest, slowness)
			connsFree = connsFree || m.ConnInterval <= 0 || !m.awaitsConn(it)
			freed += 1 / max(1, float64(m.ConnInterval))
		}
	}
	s := it.stream()
	if slots == 0 {
		s.stalled = true
		return 0
	}
	it.extraCost = time.Duration(float64(it.Cost) * (fastest - 1))
	work, own, ahead := time.Duration(0), time.Duration(0), 1
	need, flow := it.Need, it.flow
	for _, o := range q.items[:q.position(it)] {
		if o.Need != need && need != NeedAny {
			continue
		}
		work += o.Cost
		ahead++
		if o.flow == flow && o.Need == need {
			own += o.Cost
		}
	}
	if s.queued == 0 || s.stalled {
		// What queued up while no member ran it goes ahead once.
		s.since, s.stalled = q.workFor(it.Need)+work, false
	}
	if running > slots {
		work += q.MeanCost() * time.Duration(running-slots)
	}
	wait := time.Duration(max(float64(work), float64(own)*q.overtaking(it)) / rate)
	if !connsFree {
		wait = max(wait, time.Duration(float64(ahead)/freed))
	}
	return wait
}

// overtaking returns how much work starts for each unit of work of the item's stream while its items wait. It is at least 1.
func (q *Queue) overtaking(it *Item) float64 {
	s := it.stream()
	all := s.all + float64(max(0, q.workFor(it.Need)-s.since))
	return max(1, all/(s.own+max(1, float64(it.Cost))))
}
