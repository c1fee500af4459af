package fair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egretlane.example/egret"
)

// seed makes the simulations repeatable.
const seed = 7

// bench is a member with slots, and callers that send their next request as soon as the last one
// has ended.
type bench struct {
	t      *testing.T
	queue  Queue
	now    time.Time
	random *rand.Rand
	jobs   []job

	// used is the time that each caller had slots, and starts how many requests it started.
	used   map[string]time.Duration
	starts map[string]int
}

// job is a request that runs.
type job struct {
	item *Item
	from time.Time
	ends time.Time
}

func newBench(t *testing.T, q Queue) *bench {
	t.Logf("seed %d", seed)
	return &bench{
		t:      t,
		queue:  q,
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, seed)),
		used:   map[string]time.Duration{},
		starts: map[string]int{},
	}
}

func (b *bench) push(caller string, c egret.Class, budget time.Duration) *Item {
	it := &Item{
		Caller:   caller,
		Class:    c,
		Arrived:  b.now,
		Deadline: b.now.Add(budget),
	}
	return b.queue.Push(b.now, it)
}

// run lets the callers go on for the time, each connection with one request after the other.
func (b *bench) run(d time.Duration) {
	end := b.now.Add(d)
	for b.now.Before(end) {
		b.start()
		b.finish()
	}
}

func (b *bench) start() {
	for len(b.jobs) < b.queue.Slots {
		it, ok := b.queue.Pop(b.now)
		if !ok {
			return
		}
		b.starts[it.Caller]++
		service := time.Millisecond + time.Duration(b.random.Int64N(int64(2*time.Millisecond)))
		b.jobs = append(b.jobs, job{
			item: it,
			from: b.now,
			ends: b.now.Add(service),
		})
	}
}

// finish ends the job that ends first, and sends its caller's next request.
func (b *bench) finish() {
	first := 0
	for i := range b.jobs {
		if b.jobs[i].ends.Before(b.jobs[first].ends) {
			first = i
		}
	}
	j := b.jobs[first]
	b.jobs = append(b.jobs[:first], b.jobs[first+1:]...)
	b.now = j.ends
	b.queue.Done(b.now, j.item, j.ends.Sub(j.from))
	b.queue.Return(j.item)
	b.used[j.item.Caller] += j.ends.Sub(j.from)
	if refused := b.push(j.item.Caller, j.item.Class, time.Minute); refused != nil {
		b.t.Fatalf("refused a request of %s", refused.Caller)
	}
}

func (b *bench) share(caller string) float64 {
	total := time.Duration(0)
	for _, u := range b.used {
		total += u
	}
	return float64(b.used[caller]) / float64(total)
}

func (b *bench) wantShare(caller string, low, high float64) {
	b.t.Helper()
	if got := b.share(caller); got < low || got > high {
		b.t.Errorf("share of %s = %.3f, want %.2f to %.2f", caller, got, low, high)
	}
}

func TestShareIsByWeightNotByConnections(t *testing.T) {
	tests := []struct {
		weight    int
		low, high float64
	}{
		{weight: 1, low: 0.47, high: 0.53},
		{weight: 3, low: 0.70, high: 0.78},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("weight %d", tt.weight), func(t *testing.T) {
			b := newBench(t, Queue{
				Slots:       2,
				Connections: 12,
				Limit:       1000,
				WeightOf: func(caller string) int {
					if caller == "small" {
						return tt.weight
					}
					return 1
				},
			})
			for range 200 {
				b.push("large", egret.ClassNormal, time.Minute)
			}
			for range 4 {
				b.push("small", egret.ClassNormal, time.Minute)
			}
			b.run(20 * time.Second)
			b.wantShare("small", tt.low, tt.high)
		})
	}
}

func TestTwoConnectionsAgainstTwoHundred(t *testing.T) {
	b := newBench(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
	})
	for range 200 {
		b.push("large", egret.ClassNormal, time.Minute)
	}
	for range 2 {
		b.push("small", egret.ClassNormal, time.Minute)
	}
	b.run(20 * time.Second)
	b.wantShare("small", 0.45, 0.55)
}

func TestOrdersGoAheadUpToTheirShare(t *testing.T) {
	b := newBench(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
		OrderShare:  80,
	})
	for range 50 {
		b.push("orders", egret.ClassOrder, time.Minute)
		b.push("stock", egret.ClassNormal, time.Minute)
	}
	b.run(20 * time.Second)
	b.wantShare("orders", 0.77, 0.83)
}

func TestOrdersAloneTakeAll(t *testing.T) {
	b := newBench(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
		OrderShare:  60,
	})
	for range 4 {
		b.push("orders", egret.ClassOrder, time.Minute)
	}
	b.run(time.Second)
	for range 50 {
		b.push("stock", egret.ClassNormal, time.Minute)
	}
	b.push("orders", egret.ClassOrder, time.Minute)
	it, ok := b.queue.Pop(b.now)
	if !ok || it.Caller != "orders" {
		t.Errorf("Pop() = %v, want the order: what it had alone is no debt", it)
	}
}

func TestDeferredWaitsForOthersUntilDue(t *testing.T) {
	b := newBench(t, Queue{
		Slots:       1,
		Connections: 12,
		Limit:       1000,
	})
	b.push("delivery", egret.ClassDefer, time.Second)
	for range 20 {
		b.push("stock", egret.ClassNormal, time.Minute)
	}
	b.run(700 * time.Millisecond)
	if got := b.starts["delivery"]; got != 0 {
		t.Errorf("deferred requests started = %d before they were due, want 0", got)
	}
	b.run(100 * time.Millisecond)
	if got := b.starts["delivery"]; got == 0 {
		t.Error("the deferred request did not start when it was due")
	}
}

func TestFullQueueRefusesTheCrowd(t *testing.T) {
	b := newBench(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       10,
	})
	for range 10 {
		b.push("large", egret.ClassNormal, time.Minute)
	}
	if refused := b.push("small", egret.ClassNormal, time.Minute); refused == nil || refused.Caller != "large" {
		t.Errorf("Push(small) refused %v, want one of large's", refused)
	}
	if refused := b.push("large", egret.ClassNormal, time.Minute); refused == nil || refused.Caller != "large" {
		t.Errorf("Push(large) refused %v, want one of large's", refused)
	}
	if got := b.queue.Len(egret.ClassNormal); got != 10 {
		t.Errorf("Len() = %d, want 10", got)
	}
}

func TestRefusesWhatWouldRunOutOfTime(t *testing.T) {
	b := newBench(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
	})
	for range 100 {
		b.push("large", egret.ClassNormal, time.Minute)
	}
	if refused := b.push("large", egret.ClassNormal, 50*time.Millisecond); refused == nil {
		t.Error("Push() took a request behind 100 others of its caller with 50 ms left")
	}
	if refused := b.push("small", egret.ClassNormal, 50*time.Millisecond); refused != nil {
		t.Error("Push() refused the first request of a caller because of another's queue")
	}
}

func TestOpenTransactionsGetSlotsAndLeaveConnections(t *testing.T) {
	q := Queue{
		Slots:       2,
		Connections: 4,
		Limit:       1000,
	}
	now := time.Unix(1000, 0)
	push := func(caller string, continuing bool) {
		q.Push(now, &Item{
			Caller:     caller,
			Class:      egret.ClassNormal,
			Continuing: continuing,
			Arrived:    now,
			Deadline:   now.Add(time.Minute),
		})
	}
	for range 10 {
		push("large", false)
	}
	for range 3 {
		q.Pop(now)
	}
	if it, ok := q.Pop(now); ok {
		t.Errorf("Pop() = %v, want none: the last connection is for another caller", it)
	}
	push("large", true)
	if it, ok := q.Pop(now); !ok || !it.Continuing {
		t.Errorf("Pop() = %v, want the open transaction's", it)
	}
	push("small", false)
	if it, ok := q.Pop(now); !ok || it.Caller != "small" {
		t.Errorf("Pop() = %v, want small's", it)
	}
}
