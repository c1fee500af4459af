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

// withFakeGroup runs a test on a fake group when the watchers of all proxies run and know the primary.
func withFakeGroup(t *testing.T, f func(t *testing.T, ctx context.Context, fg *fakeGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fg := newFakeGroup(t, 1)
		for i := range fg.nodes {
			fg.start(ctx, i)
		}
		fg.waitFor("the proxies know the primary", 10*time.Second, fg.converged)
		f(t, ctx, fg)
		cancel()
		fg.locked(func() {
			fg.stopped = true
		})
		time.Sleep(time.Minute)
	})
}

func TestPrimaryFails(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(fg *fakeGroup)
		limit time.Duration
	}{
		{
			name:  "killed",
			fail:  func(fg *fakeGroup) { fg.members[0].down = true },
			limit: time.Second,
		},
		{
			name:  "frozen",
			fail:  func(fg *fakeGroup) { fg.members[0].frozen = true },
			limit: 2500 * time.Millisecond,
		},
		{
			name: "frozen and a replica killed a moment before it comes back",
			fail: func(fg *fakeGroup) {
				fg.members[0].frozen = true
				fg.members[2].down = true
				go func() {
					time.Sleep(3 * time.Second)
					fg.locked(func() { fg.members[2].down = false })
				}()
			},
			limit: 8 * time.Second,
		},
		{
			name: "cut from the proxies of its region",
			fail: func(fg *fakeGroup) {
				fg.cut[route{"proxy-1", "member-1"}] = true
				fg.cut[route{"proxy-2", "member-1"}] = true
			},
			limit: 5 * time.Second,
		},
		{
			name:  "cut from the holder of its lane",
			fail:  func(fg *fakeGroup) { fg.cut[route{"proxy-1", "member-1"}] = true },
			limit: 6 * time.Second,
		},
		{
			name: "cut from its replicas",
			fail: func(fg *fakeGroup) {
				fg.cut[route{"member-1", "member-2"}] = true
				fg.cut[route{"member-1", "member-3"}] = true
			},
			limit: 12 * time.Second,
		},
		{
			name: "cut from all but the holder of its lane",
			fail: func(fg *fakeGroup) {
				fg.cut[route{"proxy-2", "member-1"}] = true
				fg.cut[route{"proxy-3", "member-1"}] = true
				fg.cut[route{"member-1", "member-2"}] = true
				fg.cut[route{"member-1", "member-3"}] = true
			},
			limit: 9 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFakeGroup(t, func(t *testing.T, ctx context.Context, fg *fakeGroup) {
				go fg.write(ctx, 20*time.Millisecond)
				time.Sleep(time.Second)
				fg.locked(func() { tt.fail(fg) })
				took := fg.waitFor("another primary", tt.limit, func() bool {
					name, _ := fg.activePrimary()
					return name != "" && name != "member-1"
				})
				t.Logf("another primary after %v", took.Round(time.Millisecond))
				fg.locked(func() {
					fg.cut = map[route]bool{}
					fg.members[0].down = false
					fg.members[0].frozen = false
				})
				time.Sleep(3 * time.Second)
				if _, n := fg.activePrimary(); n != 1 {
					t.Errorf("%d promotions, want 1", n)
				}
			})
		})
	}
}

// Guards against needless promotions: of a primary that answers slowly or pauses for less than a second, that only
// proxies without its lane fail to reach, or whose replicas lag or fail.
func TestLivingPrimaryStays(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(fg *fakeGroup)
	}{
		{
			name:    "slow at once",
			disturb: func(fg *fakeGroup) { fg.latency = 300 * time.Millisecond },
		},
		{
			name: "slower and slower",
			disturb: func(fg *fakeGroup) {
				for range 14 {
					fg.latency += 50 * time.Millisecond
					fg.mu.Unlock()
					time.Sleep(5 * time.Second)
					fg.mu.Lock()
				}
			},
		},
		{
			name: "cut from proxies that don't hold its lane",
			disturb: func(fg *fakeGroup) {
				fg.cut[route{"proxy-2", "member-1"}], fg.cut[route{"proxy-3", "member-1"}] = true, true
			},
		},
		{
			name:    "replicas behind by five seconds",
			disturb: func(fg *fakeGroup) { fg.replicationDelay = 5 * time.Second },
		},
		{
			name:    "a replica killed",
			disturb: func(fg *fakeGroup) { fg.members[1].down = true },
		},
		{
			name: "frozen for less than a second now and then",
			disturb: func(fg *fakeGroup) {
				go func() {
					for range 100 {
						fg.locked(func() { fg.members[0].frozen = true })
						time.Sleep(300 * time.Millisecond)
						fg.locked(func() { fg.members[0].frozen = false })
						time.Sleep(5 * time.Second)
					}
				}()
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFakeGroup(t, func(t *testing.T, ctx context.Context, fg *fakeGroup) {
				go fg.write(ctx, time.Second)
				fg.locked(func() { tt.disturb(fg) })
				time.Sleep(10 * time.Minute)
				if _, n := fg.activePrimary(); n != 0 {
					t.Errorf("%d promotions in 10 minutes, want none", n)
				}
			})
		})
	}
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	withFakeGroup(t, func(t *testing.T, ctx context.Context, fg *fakeGroup) {
		writing, stop := context.WithCancel(ctx)
		go fg.write(writing, 10*time.Millisecond)
		time.Sleep(time.Second)
		fg.locked(func() { fg.leaving = "member-1" })
		took := fg.waitFor("another primary", 5*time.Second, func() bool {
			name, _ := fg.activePrimary()
			return name != "member-1" && name != ""
		})
		t.Logf("handed over after %v", took)
		stop()
		fg.waitFor("all follow", 10*time.Second, fg.converged)
		for id := 1; id <= fg.lastID; id++ {
			if !slices.ContainsFunc(fg.members[1].log, func(e entry) bool { return e.id == id }) {
				t.Errorf("entry %d was lost in a hand-over", id)
			}
		}
	})
}

// A proxy that dies during a promotion leaves the group without a primary, or with members that follow none. The next
// watcher has to promote all the same. The proxy is stopped before one of the first four calls of each step, if that
// call is made while the previous primary is down.
func TestPromoterDies(t *testing.T) {
	for _, step := range []string{"status", "fence", "promote", "follow"} {
		for call := range 4 {
			t.Run(fmt.Sprintf("%s %d", step, call), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fg := newFakeGroup(t, uint64(call))
					ctx, cancel := context.WithCancel(context.Background())
					stops := map[string]context.CancelFunc{}
					for i, n := range fg.nodes {
						running, stop := context.WithCancel(ctx)
						stops[n.ID] = stop
						fg.start(running, i)
					}
					fg.waitFor("the proxies know the primary", 10*time.Second, fg.converged)
					go fg.write(ctx, 20*time.Millisecond)
					time.Sleep(time.Second)
					fg.stopPromoterAt(step, call, stops)
					fg.locked(func() { fg.members[0].down = true })
					fg.waitFor("another primary", 20*time.Second, func() bool {
						name, _ := fg.activePrimary()
						return name != "" && name != "member-1"
					})
					fg.locked(func() { fg.members[0].down = false })
					time.Sleep(5 * time.Second)
					fg.end(cancel)
				})
			})
		}
	}
}

// stopPromoterAt stops the first proxy that makes the given call of a step after the primary is down, just before that
// call.
func (fg *fakeGroup) stopPromoterAt(step string, call int, stops map[string]context.CancelFunc) {
	stopped := false
	count := 0
	fg.mu.Lock()
	defer fg.mu.Unlock()
	fg.onCall = func(node, s string) {
		fg.mu.Lock()
		defer fg.mu.Unlock()
		if stopped || s != step || !fg.members[0].down || node == "writer" {
			return
		}
		if count == call {
			stopped = true
			stops[node]()
			nodes := slices.Clone(fg.nodes)
			fg.nodes = slices.DeleteFunc(nodes, func(n egret.Node) bool { return n.ID == node })
		}
		count++
	}
}

// end stops the goroutines of the fake group.
func (fg *fakeGroup) end(cancel context.CancelFunc) {
	cancel()
	fg.locked(func() { fg.stopped = true })
	time.Sleep(time.Minute)
}

// Watchers whose views of the live proxies differ may all take themselves for the first. Promotions that three of them
// start at the same time must not give a term two primaries or lose an acknowledged entry.
func TestTwoPromotersAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			fg := newFakeGroup(t, seed)
			go fg.write(ctx, 5*time.Millisecond)
			watchers := []*Watcher{fg.start(ctx, 0), fg.start(ctx, 1), fg.start(ctx, 2)}
			fg.waitFor("the proxies know the primary", 10*time.Second, func() bool {
				return fg.primaryKnown()
			})
			fg.locked(func() {
				fg.members[0].frozen = true
				fg.loss = 0.05
			})
			for _, v := range watchers {
				p := &promotion{
					watcher: v,
					group:   fg.group,
					cause:   CauseSilent,
					timeout: 2 * time.Second,
				}
				p.previous, _ = v.Peers.Primary(fg.group.Name)
				go p.run(ctx)
			}
			time.Sleep(4 * time.Second)
			fg.clearFaults()
			fg.waitFor("one leads", 30*time.Second, func() bool {
				name, _ := fg.activePrimary()
				return name != ""
			})
			fg.end(cancel)
		})
	}
}

func (fg *fakeGroup) clearFaults() {
	fg.locked(func() {
		fg.loss = 0
		fg.latency = 2 * time.Millisecond
		fg.cut = map[route]bool{}
		for _, fm := range fg.members {
			fm.down = false
			fm.frozen = false
		}
	})
}

// Random faults from a fixed seed: a term never has two primaries, each new primary has every entry acknowledged in
// earlier terms, and after the faults the group converges.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				fg := newFakeGroup(t, seed)
				for i := range fg.nodes {
					fg.start(ctx, i)
				}
				writing, stop := context.WithCancel(ctx)
				go fg.write(writing, 15*time.Millisecond)
				faults := rand.New(rand.NewPCG(seed, 2))
				for range 60 {
					time.Sleep(time.Duration(faults.Int64N(int64(2 * time.Second))))
					fg.locked(func() { fg.fault(faults) })
				}
				fg.clearFaults()
				time.Sleep(10 * time.Second)
				stop()
				fg.waitFor("one leads and all follow", time.Minute, fg.converged)
				fg.locked(func() {
					if len(fg.acked) == 0 {
						t.Error("nothing was acknowledged")
					}
					t.Logf("%d acknowledged, %d promotions", len(fg.acked), fg.promotions)
				})
				fg.end(cancel)
			})
		})
	}
}

// fault starts, changes or ends a random fault. The caller holds mu.
func (fg *fakeGroup) fault(r *rand.Rand) {
	fm := fg.members[r.IntN(3)]
	node := fg.nodes[r.IntN(3)].ID
	switch r.IntN(7) {
	case 0:
		fm.down = !fm.down
	case 1:
		fm.frozen = !fm.frozen
	case 2:
		fg.cut[route{node, fm.Name}] = !fg.cut[route{node, fm.Name}]
	case 3:
		other := fg.members[r.IntN(3)].Name
		fg.cut[route{fm.Name, other}] = !fg.cut[route{fm.Name, other}]
	case 4:
		fg.loss = 0.3 * r.Float64()
	case 5:
		fg.latency = time.Millisecond << r.IntN(9)
	default:
		fg.loss = 0
		fg.cut = map[route]bool{}
		for _, fm := range fg.members {
			fm.down = false
			fm.frozen = false
		}
	}
}

// primaryKnown reports whether all proxies know a primary.
func (fg *fakeGroup) primaryKnown() bool {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	return len(fg.announced) == len(fg.nodes)
}
