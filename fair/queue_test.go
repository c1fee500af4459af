package fair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egretlane.example/egret"
)

// seed makes the service times in simulations repeatable.
const seed = 7

// simulation runs a member with slots in virtual time. Each connection of a caller sends its next request as soon as
// the last one has ended.
type simulation struct {
	t       *testing.T
	queue   Queue
	now     time.Time
	random  *rand.Rand
	running []runningRequest

	// slotTime is the slot time that each caller has used.
	slotTime map[string]time.Duration

	// started is how many requests of each caller have started.
	started map[string]int
}

// runningRequest is a request that has a slot.
type runningRequest struct {
	item  *Item
	began time.Time
	ends  time.Time
}

func newSimulation(t *testing.T, q Queue) *simulation {
	t.Logf("seed %d", seed)
	return &simulation{
		t:        t,
		queue:    q,
		now:      time.Unix(1000, 0),
		random:   rand.New(rand.NewPCG(seed, seed)),
		slotTime: map[string]time.Duration{},
		started:  map[string]int{},
	}
}

func (s *simulation) push(caller string, c egret.Class, budget time.Duration) *Item {
	it := &Item{
		Caller:   caller,
		Class:    c,
		Arrived:  s.now,
		Deadline: s.now.Add(budget),
	}
	return s.queue.Push(s.now, it)
}

// run runs requests until the virtual time has advanced by d.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for s.now.Before(end) {
		s.start()
		s.finish()
	}
}

func (s *simulation) start() {
	for len(s.running) < s.queue.Slots {
		it, ok := s.queue.Pop(s.now)
		if !ok {
			return
		}
		s.started[it.Caller]++
		service := time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
		s.running = append(s.running, runningRequest{
			item:  it,
			began: s.now,
			ends:  s.now.Add(service),
		})
	}
}

// finish ends the request that ends first, and sends the next one of its caller.
func (s *simulation) finish() {
	first := 0
	for i := range s.running {
		if s.running[i].ends.Before(s.running[first].ends) {
			first = i
		}
	}
	r := s.running[first]
	s.running = append(s.running[:first], s.running[first+1:]...)
	s.now = r.ends
	s.queue.Done(s.now, r.item, r.ends.Sub(r.began))
	s.queue.ReleaseConn(r.item)
	s.slotTime[r.item.Caller] += r.ends.Sub(r.began)
	if refused := s.push(r.item.Caller, r.item.Class, time.Minute); refused != nil {
		s.t.Fatalf("Push() refused a request of %s", refused.Caller)
	}
}

func (s *simulation) share(caller string) float64 {
	total := time.Duration(0)
	for _, u := range s.slotTime {
		total += u
	}
	return float64(s.slotTime[caller]) / float64(total)
}

func (s *simulation) wantShare(caller string, low, high float64) {
	s.t.Helper()
	if got := s.share(caller); got < low || got > high {
		s.t.Errorf("share of %s = %.3f, want %.2f to %.2f", caller, got, low, high)
	}
}

func TestShareFollowsWeightNotConnections(t *testing.T) {
	tests := []struct {
		weight    int
		low, high float64
	}{
		{weight: 1, low: 0.47, high: 0.53},
		{weight: 3, low: 0.70, high: 0.78},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("weight %d", tt.weight), func(t *testing.T) {
			s := newSimulation(t, Queue{
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
				s.push("large", egret.ClassNormal, time.Minute)
			}
			for range 4 {
				s.push("small", egret.ClassNormal, time.Minute)
			}
			s.run(20 * time.Second)
			s.wantShare("small", tt.low, tt.high)
		})
	}
}

func TestTwoConnectionsGetSameShareAsTwoHundred(t *testing.T) {
	s := newSimulation(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
	})
	for range 200 {
		s.push("large", egret.ClassNormal, time.Minute)
	}
	for range 2 {
		s.push("small", egret.ClassNormal, time.Minute)
	}
	s.run(20 * time.Second)
	s.wantShare("small", 0.45, 0.55)
}

func TestOrdersStartFirstUpToShare(t *testing.T) {
	s := newSimulation(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
		OrderShare:  80,
	})
	for range 50 {
		s.push("orders", egret.ClassOrder, time.Minute)
		s.push("stock", egret.ClassNormal, time.Minute)
	}
	s.run(20 * time.Second)
	s.wantShare("orders", 0.77, 0.83)
}

func TestUncontendedOrdersDontCount(t *testing.T) {
	s := newSimulation(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
		OrderShare:  60,
	})
	for range 4 {
		s.push("orders", egret.ClassOrder, time.Minute)
	}
	s.run(time.Second)
	for range 50 {
		s.push("stock", egret.ClassNormal, time.Minute)
	}
	s.push("orders", egret.ClassOrder, time.Minute)
	it, ok := s.queue.Pop(s.now)
	if !ok || it.Caller != "orders" {
		t.Errorf("Pop() = %v, want the order: time that nothing else waited for doesn't count for its share", it)
	}
}

func TestDeferredWaitsForOthersUntilDue(t *testing.T) {
	s := newSimulation(t, Queue{
		Slots:       1,
		Connections: 12,
		Limit:       1000,
	})
	s.push("delivery", egret.ClassDeferrable, time.Second)
	for range 20 {
		s.push("stock", egret.ClassNormal, time.Minute)
	}
	s.run(700 * time.Millisecond)
	if got := s.started["delivery"]; got != 0 {
		t.Errorf("deferred requests started = %d before they were due, want 0", got)
	}
	s.run(100 * time.Millisecond)
	if got := s.started["delivery"]; got == 0 {
		t.Error("the deferred request has not started though it was due")
	}
}

func TestFullQueueRefusesLongestFlow(t *testing.T) {
	s := newSimulation(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       10,
	})
	for range 10 {
		s.push("large", egret.ClassNormal, time.Minute)
	}
	if refused := s.push("small", egret.ClassNormal, time.Minute); refused == nil || refused.Caller != "large" {
		t.Errorf("Push(small) refused %v, want a request of large", refused)
	}
	if refused := s.push("large", egret.ClassNormal, time.Minute); refused == nil || refused.Caller != "large" {
		t.Errorf("Push(large) refused %v, want a request of large", refused)
	}
	if got := s.queue.Len(egret.ClassNormal); got != 10 {
		t.Errorf("Len() = %d, want 10", got)
	}
}

func TestRefusesPredictedTimeouts(t *testing.T) {
	s := newSimulation(t, Queue{
		Slots:       2,
		Connections: 12,
		Limit:       1000,
	})
	for range 100 {
		s.push("large", egret.ClassNormal, time.Minute)
	}
	if refused := s.push("large", egret.ClassNormal, 50*time.Millisecond); refused == nil {
		t.Error("Push() accepted a request with 50 ms left behind 100 others of its caller")
	}
	if refused := s.push("small", egret.ClassNormal, 50*time.Millisecond); refused != nil {
		t.Error("Push() refused the first request of a caller because of another caller's queue")
	}
}

func TestOpenTransactionsGetSlotsAndConnectionsAreReserved(t *testing.T) {
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
		t.Errorf("Pop() = %v, want none: the last connection is reserved for callers that hold none", it)
	}
	push("large", true)
	if it, ok := q.Pop(now); !ok || !it.Continuing {
		t.Errorf("Pop() = %v, want the request of the open transaction", it)
	}
	push("small", false)
	if it, ok := q.Pop(now); !ok || it.Caller != "small" {
		t.Errorf("Pop() = %v, want the request of small", it)
	}
}
