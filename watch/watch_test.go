package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// scriptedKeys is a store that returns scripted responses. It records the arguments of Watch.
type scriptedKeys struct {
	egret.Keyspace
	mu        sync.Mutex
	lists     [][]egret.Item
	steps     []func() ([]egret.Item, uint64, error)
	revisions []uint64
	timeouts  []time.Duration
}

func (k *scriptedKeys) List(context.Context, string) ([]egret.Item, uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.lists) == 0 {
		return nil, 0, errors.New("down")
	}
	list := k.lists[0]
	k.lists = k.lists[1:]
	return list, 10, nil
}

func (k *scriptedKeys) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]egret.Item, uint64, error) {
	k.mu.Lock()
	k.revisions = append(k.revisions, after)
	k.timeouts = append(k.timeouts, wait)
	if len(k.steps) == 0 {
		k.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	step := k.steps[0]
	k.steps = k.steps[1:]
	k.mu.Unlock()
	return step()
}

// TestWatchContinuesAfterFailuresAndGaps lets a call fail, and then makes the store drop the history.
func TestWatchContinuesAfterFailuresAndGaps(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := &scriptedKeys{
		lists: [][]egret.Item{{{Key: "p/a", Revision: 3}}, {{Key: "p/b", Revision: 20}}},
		steps: []func() ([]egret.Item, uint64, error){
			func() ([]egret.Item, uint64, error) { return []egret.Item{{Key: "p/c", Revision: 12}}, 12, nil },
			func() ([]egret.Item, uint64, error) { return nil, 0, errors.New("cut") },
			func() ([]egret.Item, uint64, error) { return nil, 14, nil },
			func() ([]egret.Item, uint64, error) { return nil, 0, errors.Trace(egret.ErrCompacted) },
			func() ([]egret.Item, uint64, error) {
				return []egret.Item{{Key: "p/b", Revision: 21, Removed: true}}, 21, nil
			},
		},
	}
	events := make(chan string, 16)
	w := Watcher{
		Keys:           k,
		Prefix:         "p/",
		Reset:          func(items []egret.Item) { events <- fmt.Sprint("reset ", items[0].Key) },
		Change:         func(item egret.Item) { events <- fmt.Sprint("change ", item.Key, " ", item.Removed) },
		OnDisconnected: func() { events <- "lost" },
		OnReconnected:  func() { events <- "regained" },
	}
	go func() { _ = w.Run(ctx) }()
	got := []string{}
	for range 6 {
		select {
		case e := <-events:
			got = append(got, e)
		case <-time.After(5 * time.Second):
			t.Fatalf("got only %v", got)
		}
	}
	want := []string{"reset p/a", "change p/c false", "lost", "regained", "reset p/b", "change p/b true"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if want := []uint64{10, 12, 12, 14, 10}; !slices.Equal(k.revisions[:5], want) {
		t.Errorf("requested changes after %v, want %v", k.revisions, want)
	}
	// A store that is back doesn't respond to calls that it missed, so the call after a failed one must be short.
	if k.timeouts[1] != pollTimeout || k.timeouts[2] > pollTimeout/10 || k.timeouts[3] != pollTimeout {
		t.Errorf("the timeouts of the calls are %v", k.timeouts)
	}
}

// peerWatch returns a Watcher that relies on other processes, which give changes while up is true. The store fails
// every call after the list; calls counts these calls.
func peerWatch(up *atomic.Bool, calls *atomic.Int64, events chan<- string) *Watcher {
	return &Watcher{
		Keys: &failingKeys{
			scriptedKeys: &scriptedKeys{lists: [][]egret.Item{{{Key: "p/a", Revision: 3}}}},
			calls:        calls,
		},
		Prefix: "p/",
		Reset:  func([]egret.Item) {},
		Change: func(egret.Item) {},
		ChangesFromPeer: func(context.Context, string, uint64) ([]egret.Item, uint64, bool) {
			return nil, 11, up.Load()
		},
		WatchesStore:   func() bool { return false },
		OnDisconnected: func() { events <- "lost" },
		OnReconnected:  func() { events <- "regained" },
	}
}

// failingKeys is a store that fails all calls but List.
type failingKeys struct {
	*scriptedKeys
	calls *atomic.Int64
}

func (k *failingKeys) Watch(context.Context, string, uint64, time.Duration) ([]egret.Item, uint64, error) {
	k.calls.Add(1)
	return nil, 0, errors.New("refused")
}

// TestPeersEndDisconnection checks that a process that relies on others counts the store as reachable once they
// give changes again. The process makes no calls to the store then that could show it.
func TestPeersEndDisconnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up, calls, events := atomic.Bool{}, atomic.Int64{}, make(chan string, 16)
	w := peerWatch(&up, &calls, events)
	go func() { _ = w.Run(ctx) }()
	for _, want := range []string{"lost", "regained"} {
		select {
		case e := <-events:
			if e != want {
				t.Fatalf("%s, want %s", e, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no call of the function for %q", want)
		}
		up.Store(true)
	}
	select {
	case e := <-events:
		t.Errorf("got %q while other processes gave changes", e)
	case <-time.After(peerFreshness):
	}
}

// TestFewCallsDuringOutage guards against the load of many processes on a failing store: those that rely on others
// call it rarely and learn from the others when it is back.
func TestFewCallsDuringOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up, calls, events := atomic.Bool{}, atomic.Int64{}, make(chan string, 16)
	w := peerWatch(&up, &calls, events)
	go func() { _ = w.Run(ctx) }()
	span := 3 * storeRetryInterval
	time.Sleep(span)
	// The time between two calls is at least half of the interval, and there is a first call.
	if limit := int64(2*span/storeRetryInterval) + 1; calls.Load() > limit {
		t.Errorf("%d calls in %s, want at most %d", calls.Load(), span, limit)
	}
	if calls.Load() < 2 {
		t.Errorf("%d calls in %s, want at least 2, as the other processes may be cut off from the store", calls.Load(), span)
	}
}

// silentKeys is a store that answers List and leaves all other calls unanswered.
type silentKeys struct {
	*scriptedKeys
}

func (k *silentKeys) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]egret.Item, uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, 0, errors.New("no answer")
}

// TestPartitionIsNoticedSoon guards against a process that relies on others and waits for a whole call to a silent store
// before it knows that it is cut off from both. Until then its callers wait for services that nobody can take over.
func TestPartitionIsNoticedSoon(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up, events := atomic.Bool{}, make(chan string, 16)
	up.Store(true)
	w := peerWatch(&up, &atomic.Int64{}, events)
	w.Keys = &silentKeys{
		scriptedKeys: &scriptedKeys{lists: [][]egret.Item{{{Key: "p/a", Revision: 3}}}},
	}
	go func() { _ = w.Run(ctx) }()
	time.Sleep(3 * peerInterval)
	up.Store(false)
	began := time.Now()
	select {
	case <-events:
	case <-time.After(2 * pollTimeout):
		t.Fatal("the partition was not noticed")
	}
	if elapsed := time.Since(began); elapsed > peerFreshness+time.Second {
		t.Errorf("the partition was noticed after %s", elapsed)
	}
}
