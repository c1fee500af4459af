package promo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egretlane.example/egret"
)

// inWorld runs a test in a world whose watchers all run and know the primary.
func inWorld(t *testing.T, f func(t *testing.T, ctx context.Context, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(t, 1)
		for i := range w.nodes {
			w.start(ctx, i)
		}
		w.await("the proxies know the primary", 10*time.Second, w.settled)
		f(t, ctx, w)
		cancel()
		w.change(func() {
			w.stopped = true
		})
		time.Sleep(time.Minute)
	})
}

func TestPrimaryFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(w *world)
		most time.Duration
	}{
		{
			name: "killed",
			fail: func(w *world) { w.backends[0].down = true },
			most: time.Second,
		},
		{
			name: "frozen",
			fail: func(w *world) { w.backends[0].frozen = true },
			most: 2500 * time.Millisecond,
		},
		{
			name: "frozen and a replica killed a moment before it comes back",
			fail: func(w *world) {
				w.backends[0].frozen = true
				w.backends[2].down = true
				go func() {
					time.Sleep(3 * time.Second)
					w.change(func() { w.backends[2].down = false })
				}()
			},
			most: 8 * time.Second,
		},
		{
			name: "cut from the proxies of its region",
			fail: func(w *world) {
				w.cut[link{"proxy-1", "member-1"}] = true
				w.cut[link{"proxy-2", "member-1"}] = true
			},
			most: 5 * time.Second,
		},
		{
			name: "cut from the holder of its lane",
			fail: func(w *world) { w.cut[link{"proxy-1", "member-1"}] = true },
			most: 6 * time.Second,
		},
		{
			name: "cut from its replicas",
			fail: func(w *world) {
				w.cut[link{"member-1", "member-2"}] = true
				w.cut[link{"member-1", "member-3"}] = true
			},
			most: 12 * time.Second,
		},
		{
			name: "cut from all but the holder of its lane",
			fail: func(w *world) {
				w.cut[link{"proxy-2", "member-1"}] = true
				w.cut[link{"proxy-3", "member-1"}] = true
				w.cut[link{"member-1", "member-2"}] = true
				w.cut[link{"member-1", "member-3"}] = true
			},
			most: 9 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, ctx context.Context, w *world) {
				go w.write(ctx, 20*time.Millisecond)
				time.Sleep(time.Second)
				w.change(func() { tt.fail(w) })
				took := w.await("another primary", tt.most, func() bool {
					name, _ := w.led()
					return name != "" && name != "member-1"
				})
				t.Logf("another primary after %v", took.Round(time.Millisecond))
				w.change(func() {
					w.cut = map[link]bool{}
					w.backends[0].down = false
					w.backends[0].frozen = false
				})
				time.Sleep(3 * time.Second)
				if _, n := w.led(); n != 1 {
					t.Errorf("%d promotions, want 1", n)
				}
			})
		})
	}
}

// A primary that answers slowly, or that one proxy without its lane can't reach, is left alone.
func TestLivingPrimaryStays(t *testing.T) {
	tests := []struct {
		name    string
		trouble func(w *world)
	}{
		{
			name:    "slow at once",
			trouble: func(w *world) { w.latency = 300 * time.Millisecond },
		},
		{
			name: "slower and slower",
			trouble: func(w *world) {
				for range 14 {
					w.latency += 50 * time.Millisecond
					w.mu.Unlock()
					time.Sleep(5 * time.Second)
					w.mu.Lock()
				}
			},
		},
		{
			name:    "cut from proxies that don't hold its lane",
			trouble: func(w *world) { w.cut[link{"proxy-2", "member-1"}], w.cut[link{"proxy-3", "member-1"}] = true, true },
		},
		{
			name:    "replicas behind by five seconds",
			trouble: func(w *world) { w.delay = 5 * time.Second },
		},
		{
			name:    "a replica killed",
			trouble: func(w *world) { w.backends[1].down = true },
		},
		{
			name: "frozen for less than a second now and then",
			trouble: func(w *world) {
				go func() {
					for range 100 {
						w.change(func() { w.backends[0].frozen = true })
						time.Sleep(300 * time.Millisecond)
						w.change(func() { w.backends[0].frozen = false })
						time.Sleep(5 * time.Second)
					}
				}()
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, ctx context.Context, w *world) {
				go w.write(ctx, time.Second)
				w.change(func() { tt.trouble(w) })
				time.Sleep(10 * time.Minute)
				if _, n := w.led(); n != 0 {
					t.Errorf("%d promotions in 10 minutes, want none", n)
				}
			})
		})
	}
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	inWorld(t, func(t *testing.T, ctx context.Context, w *world) {
		writing, stop := context.WithCancel(ctx)
		go w.write(writing, 10*time.Millisecond)
		time.Sleep(time.Second)
		w.change(func() { w.leaving = "member-1" })
		took := w.await("another primary", 5*time.Second, func() bool {
			name, _ := w.led()
			return name != "member-1" && name != ""
		})
		t.Logf("handed over after %v", took)
		stop()
		w.await("all follow", 10*time.Second, w.settled)
		for id := 1; id <= w.next; id++ {
			if !slices.ContainsFunc(w.backends[1].log, func(e entry) bool { return e.id == id }) {
				t.Errorf("entry %d was lost in a hand-over", id)
			}
		}
	})
}

// A promoter that dies before or after any of its calls leaves a group that the next one mends.
func TestPromoterDies(t *testing.T) {
	for _, step := range []string{"status", "fence", "promote", "follow"} {
		for call := range 4 {
			t.Run(fmt.Sprintf("%s %d", step, call), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, uint64(call))
					ctx, cancel := context.WithCancel(context.Background())
					stops := map[string]context.CancelFunc{}
					for i, n := range w.nodes {
						running, stop := context.WithCancel(ctx)
						stops[n.ID] = stop
						w.start(running, i)
					}
					w.await("the proxies know the primary", 10*time.Second, w.settled)
					go w.write(ctx, 20*time.Millisecond)
					time.Sleep(time.Second)
					w.dieAt(step, call, stops)
					w.change(func() { w.backends[0].down = true })
					w.await("another primary", 20*time.Second, func() bool {
						name, _ := w.led()
						return name != "" && name != "member-1"
					})
					w.change(func() { w.backends[0].down = false })
					time.Sleep(5 * time.Second)
					w.end(cancel)
				})
			})
		}
	}
}

// dieAt stops the first proxy that promotes, before the given call after the primary is down.
func (w *world) dieAt(step string, call int, stops map[string]context.CancelFunc) {
	died := false
	count := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCall = func(node, s string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if died || s != step || !w.backends[0].down || node == "writer" {
			return
		}
		if count == call {
			died = true
			stops[node]()
			nodes := slices.Clone(w.nodes)
			w.nodes = slices.DeleteFunc(nodes, func(n egret.Node) bool { return n.ID == node })
		}
		count++
	}
}

// end stops the world's goroutines.
func (w *world) end(cancel context.CancelFunc) {
	cancel()
	w.change(func() { w.stopped = true })
	time.Sleep(time.Minute)
}

// Two watchers that both think that they are first may act at once.
func TestTwoPromotersAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newWorld(t, seed)
			go w.write(ctx, 5*time.Millisecond)
			watchers := []*Watcher{w.start(ctx, 0), w.start(ctx, 1), w.start(ctx, 2)}
			w.await("the proxies know the primary", 10*time.Second, func() bool {
				return w.informed()
			})
			w.change(func() {
				w.backends[0].frozen = true
				w.loss = 0.05
			})
			for _, v := range watchers {
				p := &promotion{
					watcher: v,
					group:   w.group,
					cause:   CauseSilent,
					timeout: 2 * time.Second,
				}
				p.old, _ = v.Peers.Primary(w.group.Name)
				go p.run(ctx)
			}
			time.Sleep(4 * time.Second)
			w.heal()
			w.await("one leads", 30*time.Second, func() bool {
				name, _ := w.led()
				return name != ""
			})
			w.end(cancel)
		})
	}
}

func (w *world) heal() {
	w.change(func() {
		w.loss = 0
		w.latency = 2 * time.Millisecond
		w.cut = map[link]bool{}
		for _, b := range w.backends {
			b.down = false
			b.frozen = false
		}
	})
}

// Random faults by a fixed seed: whatever happens, a term has one primary, each primary has what was
// acknowledged before it, and after the faults the group finds together.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newWorld(t, seed)
				for i := range w.nodes {
					w.start(ctx, i)
				}
				writing, stop := context.WithCancel(ctx)
				go w.write(writing, 15*time.Millisecond)
				faults := rand.New(rand.NewPCG(seed, 2))
				for range 60 {
					time.Sleep(time.Duration(faults.Int64N(int64(2 * time.Second))))
					w.change(func() { w.fault(faults) })
				}
				w.heal()
				time.Sleep(10 * time.Second)
				stop()
				w.await("one leads and all follow", time.Minute, w.settled)
				w.change(func() {
					if len(w.acked) == 0 {
						t.Error("nothing was acknowledged")
					}
					t.Logf("%d acknowledged, %d promotions", len(w.acked), w.promoted)
				})
				w.end(cancel)
			})
		})
	}
}

// fault changes something at random. The caller holds mu.
func (w *world) fault(r *rand.Rand) {
	b := w.backends[r.IntN(3)]
	node := w.nodes[r.IntN(3)].ID
	switch r.IntN(7) {
	case 0:
		b.down = !b.down
	case 1:
		b.frozen = !b.frozen
	case 2:
		w.cut[link{node, b.Name}] = !w.cut[link{node, b.Name}]
	case 3:
		other := w.backends[r.IntN(3)].Name
		w.cut[link{b.Name, other}] = !w.cut[link{b.Name, other}]
	case 4:
		w.loss = 0.3 * r.Float64()
	case 5:
		w.latency = time.Millisecond << r.IntN(9)
	default:
		w.loss = 0
		w.cut = map[link]bool{}
		for _, b := range w.backends {
			b.down = false
			b.frozen = false
		}
	}
}

// informed reports whether all proxies know a primary.
func (w *world) informed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.facts) == len(w.nodes)
}
