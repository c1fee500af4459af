package sched

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"egretlane.example/egret/clock"
)

// kind is one kind of statement in a load.
type kind struct {
	name     string
	perS     float64
	cost     time.Duration
	priority int
	target   time.Duration
	timeout  time.Duration
	need     Need
}

// load is a described load that runs against the queue in virtual time.
type load struct {
	kinds   []kind
	members []*Member

	// slow multiplies a member's work from a time on.
	slow map[string]float64

	// closed are members that take no new work in a span.
	closed map[string][2]time.Duration

	length time.Duration
	seed   uint64
}

// outcome is what became of the statements of a kind.
type outcome struct {
	asked, inTarget, late, refused, expired int
	longest                                 time.Duration
}

// end is the end of a statement on a member.
type end struct {
	at     clock.Time
	item   *Item
	member *Member
	kind   *kind
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// run plays the load and returns the outcomes by kind, and how many statements each member ran.
func (l *load) run() (map[string]*outcome, map[string]int) {
	r := rand.New(rand.NewPCG(l.seed, 1))
	q := Queue{}
	out := map[string]*outcome{}
	ran := map[string]int{}
	next := make([]clock.Time, len(l.kinds))
	for i, k := range l.kinds {
		out[k.name] = &outcome{}
		next[i] = clock.Time(r.ExpFloat64() / k.perS * float64(time.Second))
	}
	kinds := map[*Item]*kind{}
	running := ends{}
	step := clock.Time(time.Millisecond)
	for now := clock.Time(0); now < clock.Time(l.length)+clock.Time(3*time.Second); now += step {
		for id, span := range l.closed {
			for _, m := range l.members {
				if m.ID == id {
					m.Open = now < clock.Time(span[0]) || now >= clock.Time(span[1])
				}
			}
		}
		for i := range l.kinds {
			k := &l.kinds[i]
			for next[i] <= now && next[i] < clock.Time(l.length) {
				it := &Item{
					Need:     k.need,
					Priority: k.priority,
					Cost:     k.cost,
					Arrived:  now,
					Due:      now.Add(k.target),
					Deadline: now.Add(k.timeout),
				}
				out[k.name].asked++
				if q.Push(now, it, l.members) {
					kinds[it] = k
				} else {
					out[k.name].refused++
				}
				next[i] += clock.Time(r.ExpFloat64() / k.perS * float64(time.Second))
			}
		}
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(end)
			e.member.Running--
			e.member.Lendable++
			o := out[e.kind.name]
			took := e.at.Sub(e.item.Arrived)
			o.longest = max(o.longest, took)
			if took <= e.kind.target {
				o.inTarget++
			} else {
				o.late++
			}
		}
		for it, k := range kinds {
			if now > it.Deadline && q.Remove(it) {
				out[k.name].expired++
				delete(kinds, it)
			}
		}
		for {
			it, m := q.Next(now, l.members)
			if it == nil {
				break
			}
			m.Running++
			m.Lendable--
			ran[m.ID]++
			work := float64(it.Cost)
			if f := l.slow[m.ID]; f > 0 {
				work *= f
				// The lane learns the slowness from answers.
				m.Slowness = f
			}
			heap.Push(&running, end{
				at:     now.Add(time.Duration(work) + m.Distance),
				item:   it,
				member: m,
				kind:   kinds[it],
			})
			delete(kinds, it)
		}
	}
	return out, ran
}

func members() []*Member {
	out := []*Member{}
	for _, id := range []string{"primary", "near", "far"} {
		m := &Member{
			ID:       id,
			Slots:    2,
			Open:     true,
			Lendable: 12,
			Distance: time.Millisecond,
			Slowness: 1,
			Primary:  id == "primary",
		}
		if id == "far" {
			m.Distance = 16 * time.Millisecond
		}
		out = append(out, m)
	}
	return out
}

// orders and lookups are the two kinds that most loads mix.
func orders(perS float64) kind {
	return kind{
		name: "order", perS: perS, cost: 5 * time.Millisecond, priority: 1,
		target: 300 * time.Millisecond, timeout: 800 * time.Millisecond, need: NeedPrimary,
	}
}

func lookups(perS float64) kind {
	return kind{
		name: "lookup", perS: perS, cost: 20 * time.Millisecond, priority: 2,
		target: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, need: NeedAny,
	}
}

// TestSteadyLoadStaysNear keeps reads off the far member while the near ones have room.
func TestSteadyLoadStaysNear(t *testing.T) {
	l := load{kinds: []kind{orders(30), lookups(60)}, members: members(), length: 20 * time.Second, seed: 1}
	out, ran := l.run()
	for name, o := range out {
		if o.inTarget < o.asked*99/100 {
			t.Errorf("%s: %+v", name, *o)
		}
	}
	if total := ran["primary"] + ran["near"] + ran["far"]; ran["far"] > total/5 {
		t.Errorf("the far member ran %d of %d", ran["far"], total)
	}
}

// TestBurstKeepsOrders sends three times what the members can run. Orders go on, lookups that can't be
// served in time are refused when they come, and none waits out its time.
func TestBurstKeepsOrders(t *testing.T) {
	l := load{kinds: []kind{orders(60), lookups(900)}, members: members(), length: 10 * time.Second, seed: 2}
	out, _ := l.run()
	if o := out["order"]; o.inTarget < o.asked*98/100 {
		t.Errorf("orders: %+v", *o)
	}
	o := out["lookup"]
	if o.refused == 0 {
		t.Errorf("lookups: %+v, want refusals", *o)
	}
	if o.expired > o.asked/50 {
		t.Errorf("lookups: %+v, too many waited out their time", *o)
	}
	// Six slots of 20 ms work off 300 a second, less what orders take.
	if served := o.inTarget + o.late; served < 2000 {
		t.Errorf("lookups: only %d served: %+v", served, *o)
	}
}

// TestSlowMemberIsSpared makes a replica five times slower. Reads go to the others.
func TestSlowMemberIsSpared(t *testing.T) {
	l := load{
		kinds: []kind{orders(30), lookups(100)}, members: members(),
		slow: map[string]float64{"near": 5}, length: 20 * time.Second, seed: 3,
	}
	out, ran := l.run()
	for name, o := range out {
		if o.inTarget < o.asked*97/100 {
			t.Errorf("%s: %+v", name, *o)
		}
	}
	if ran["near"] > ran["far"] {
		t.Errorf("the slow member ran %d, the far one %d", ran["near"], ran["far"])
	}
}

// TestHotPrimaryLeavesReads saturates the primary with writes. Reads use the replicas.
func TestHotPrimaryLeavesReads(t *testing.T) {
	l := load{kinds: []kind{orders(330), lookups(60)}, members: members(), length: 20 * time.Second, seed: 4}
	out, ran := l.run()
	if o := out["lookup"]; o.inTarget < o.asked*98/100 {
		t.Errorf("lookups: %+v", *o)
	}
	if o := out["order"]; o.inTarget < o.asked*98/100 {
		t.Errorf("orders: %+v, the primary ran %d", *o, ran["primary"])
	}
}

// TestLostReplicaIsMadeUp closes a replica for a while.
func TestLostReplicaIsMadeUp(t *testing.T) {
	l := load{
		kinds: []kind{orders(30), lookups(120)}, members: members(),
		closed: map[string][2]time.Duration{"near": {5 * time.Second, 12 * time.Second}},
		length: 20 * time.Second, seed: 5,
	}
	out, _ := l.run()
	for name, o := range out {
		if o.inTarget < o.asked*97/100 || o.refused > 0 {
			t.Errorf("%s: %+v", name, *o)
		}
	}
}

// TestLostPrimaryHoldsOrders closes the primary for a while. Orders wait and are then served; reads go
// on without it.
func TestLostPrimaryHoldsOrders(t *testing.T) {
	l := load{
		kinds: []kind{orders(30), lookups(60)}, members: members(),
		closed: map[string][2]time.Duration{"primary": {5 * time.Second, 5500 * time.Millisecond}},
		length: 10 * time.Second, seed: 6,
	}
	out, _ := l.run()
	if o := out["order"]; o.refused+o.expired > 0 || o.longest > 800*time.Millisecond {
		t.Errorf("orders: %+v", *o)
	}
	if o := out["lookup"]; o.inTarget < o.asked*99/100 {
		t.Errorf("lookups: %+v", *o)
	}
}

// TestLateStatementsAreServed keeps the members just above their capacity with statements that are due
// soon. Those that missed their objective still get a share.
func TestLateStatementsAreServed(t *testing.T) {
	short := lookups(330)
	short.name, short.target = "short", 100*time.Millisecond
	l := load{kinds: []kind{short}, members: members(), length: 10 * time.Second, seed: 7}
	out, _ := l.run()
	if o := out["short"]; o.late == 0 || o.inTarget < o.asked/4 {
		t.Errorf("%+v, want most in time and some late", *o)
	}
}

// TestContinuingGoesFirst puts a statement of an open transaction behind a long queue.
func TestContinuingGoesFirst(t *testing.T) {
	q, m := Queue{}, members()[:1]
	for range 50 {
		q.Push(0, &Item{Need: NeedPrimary, Cost: time.Millisecond, Due: 1, Deadline: clock.Time(time.Hour)}, m)
	}
	it := &Item{Need: NeedMember, Member: "primary", Priority: 9, Due: clock.Time(time.Hour), Deadline: clock.Time(time.Hour)}
	q.Push(0, it, m)
	if got, _ := q.Next(0, m); got != it {
		t.Error("the transaction's statement waits behind new work, which keeps its connection busy")
	}
}
