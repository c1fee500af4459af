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

// at returns a revision of a store without eras.
func at(number uint64) egret.Revision {
	return egret.Revision{Number: number}
}

// scriptedKeys is a store that returns scripted responses. It records the arguments of Watch.
type scriptedKeys struct {
	egret.Keyspace
	mu        sync.Mutex
	lists     [][]egret.Item
	steps     []func() ([]egret.Item, egret.Revision, error)
	revisions []egret.Revision
	timeouts  []time.Duration
}

func (k *scriptedKeys) List(context.Context, string) ([]egret.Item, egret.Revision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.lists) == 0 {
		return nil, egret.Revision{}, errors.New("down")
	}
	list := k.lists[0]
	k.lists = k.lists[1:]
	return list, at(10), nil
}

func (k *scriptedKeys) Watch(ctx context.Context, _ string, after egret.Revision, wait time.Duration) ([]egret.Item, egret.Revision, error) {
	k.mu.Lock()
	k.revisions = append(k.revisions, after)
	k.timeouts = append(k.timeouts, wait)
	if len(k.steps) == 0 {
		k.mu.Unlock()
		<-ctx.Done()
		return nil, egret.Revision{}, ctx.Err()
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
		lists: [][]egret.Item{{{Key: "p/a", Revision: egret.Revision{Number: 3}}}, {{Key: "p/b", Revision: egret.Revision{Number: 20}}}},
		steps: []func() ([]egret.Item, egret.Revision, error){
			func() ([]egret.Item, egret.Revision, error) {
				return []egret.Item{{Key: "p/c", Revision: egret.Revision{Number: 12}}}, at(12), nil
			},
			func() ([]egret.Item, egret.Revision, error) { return nil, at(0), errors.New("cut") },
			func() ([]egret.Item, egret.Revision, error) { return nil, at(14), nil },
			func() ([]egret.Item, egret.Revision, error) { return nil, at(0), errors.Trace(egret.ErrCompacted) },
			func() ([]egret.Item, egret.Revision, error) {
				return []egret.Item{{Key: "p/b", Revision: egret.Revision{Number: 21}, Removed: true}}, at(21), nil
			},
		},
	}
	events := make(chan string, 16)
	w := Watcher{
		Keys:           k,
		Prefix:         "p/",
		Reset:          func(items []egret.Item, _ egret.Revision) { events <- fmt.Sprint("reset ", items[0].Key) },
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
	if want := []egret.Revision{at(10), at(12), at(12), at(14), at(10)}; !slices.Equal(k.revisions[:5], want) {
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
			scriptedKeys: &scriptedKeys{lists: [][]egret.Item{{{Key: "p/a", Revision: egret.Revision{Number: 3}}}}},
			calls:        calls,
		},
		Prefix: "p/",
		Reset:  func([]egret.Item, egret.Revision) {},
		Change: func(egret.Item) {},
		ChangesFromPeer: func(context.Context, string, egret.Revision) (Changes, bool) {
			return Changes{At: at(11)}, up.Load()
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

func (k *failingKeys) Watch(context.Context, string, egret.Revision, time.Duration) ([]egret.Item, egret.Revision, error) {
	k.calls.Add(1)
	return nil, at(0), errors.New("refused")
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

func (k *silentKeys) Watch(ctx context.Context, _ string, _ egret.Revision, wait time.Duration) ([]egret.Item, egret.Revision, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, at(0), errors.New("no answer")
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
		scriptedKeys: &scriptedKeys{lists: [][]egret.Item{{{Key: "p/a", Revision: egret.Revision{Number: 3}}}}},
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

// TestRestoreIsLearnedFromPeers guards against a process that is cut off from the store and takes what its peers read from a
// restored store for changes of what it knows, or old news of a peer that hasn't seen the restore for new ones.
func TestRestoreIsLearnedFromPeers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up, events := atomic.Bool{}, make(chan string, 16)
	w := peerWatch(&up, &atomic.Int64{}, events)
	restored := egret.Revision{Era: 1, Number: 2}
	w.ChangesFromPeer = func(_ context.Context, _ string, after egret.Revision) (Changes, bool) {
		if after.Era == 0 {
			return Changes{
				Items: []egret.Item{{Key: "p/b", Revision: restored}},
				At:    restored,
				All:   true,
			}, true
		}
		return Changes{
			Items: []egret.Item{{Key: "p/a", Revision: at(12)}},
			At:    at(12),
		}, true
	}
	resets, changes := make(chan egret.Revision, 4), atomic.Int64{}
	w.Reset = func(_ []egret.Item, revision egret.Revision) { resets <- revision }
	w.Change = func(egret.Item) { changes.Add(1) }
	go func() { _ = w.Run(ctx) }()
	for _, want := range []egret.Revision{at(10), restored} {
		select {
		case got := <-resets:
			if got != want {
				t.Errorf("reset at %s, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no reset at %s", want)
		}
	}
	time.Sleep(3 * peerInterval)
	if n := changes.Load(); n != 0 {
		t.Errorf("%d changes of an earlier era were delivered", n)
	}
}

// gapPeer gives all items at the revision, and no changes after an earlier one, like a process that has listed all keys after a
// gap in the store's history.
func gapPeer(revision egret.Revision) func(context.Context, string, egret.Revision) (Changes, bool) {
	return func(_ context.Context, _ string, after egret.Revision) (Changes, bool) {
		if after.Exists() {
			return Changes{At: revision}, !after.Before(revision)
		}
		return Changes{
			Items: []egret.Item{
				{Key: "p/b", Revision: at(7)},
				{Key: "p/a", Revision: at(8), Removed: true},
			},
			At: revision,
		}, true
	}
}

// TestGapIsFilledByPeers guards against a process that can't reach the store and learns nothing more after a gap in the store's
// history, so that it refuses statements for services that others hold; and against old items of a peer that is behind.
func TestGapIsFilledByPeers(t *testing.T) {
	for _, c := range []struct {
		peer egret.Revision
		want []string
	}{
		{peer: at(20), want: []string{"reset p/a", "reset p/b"}},
		{peer: at(9), want: []string{"reset p/a"}},
	} {
		t.Run(c.peer.String(), func(t *testing.T) {
			t.Parallel()
			events := make(chan string, 16)
			w := peerWatch(&atomic.Bool{}, &atomic.Int64{}, events)
			w.ChangesFromPeer = gapPeer(c.peer)
			w.OnDisconnected, w.OnReconnected = nil, nil
			w.Reset = func(items []egret.Item, _ egret.Revision) { events <- fmt.Sprint("reset ", items[0].Key) }
			if err := runFor(t, w, 3*time.Second); err != nil {
				t.Fatal(err)
			}
			got := []string{}
			for len(events) > 0 {
				got = append(got, <-events)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestFailedRequestsCauseNoLists guards against links and processors that are busy with lists of all keys, as some of the processes that
// are asked for changes don't reach the store themselves.
func TestFailedRequestsCauseNoLists(t *testing.T) {
	requests, lists := atomic.Int64{}, atomic.Int64{}
	w := peerWatch(&atomic.Bool{}, &atomic.Int64{}, make(chan string, 16))
	w.ChangesFromPeer = func(_ context.Context, _ string, after egret.Revision) (Changes, bool) {
		if !after.Exists() {
			lists.Add(1)
		}
		return Changes{At: at(20)}, requests.Add(1)%maxPeerFailures == 0
	}
	if err := runFor(t, w, 3*time.Second); err != nil {
		t.Fatal(err)
	}
	if lists.Load() > 0 {
		t.Errorf("%d of %d requests are for all keys", lists.Load(), requests.Load())
	}
}

// TestGapCausesOneList guards against a store and links that are busy with lists of all keys to all processes of a large fleet when
// the store has dropped its history: those that rely on others get the list from them.
func TestGapCausesOneList(t *testing.T) {
	resets := atomic.Int64{}
	k := &scriptedKeys{
		lists: [][]egret.Item{{{Key: "p/a", Revision: at(3)}}, {{Key: "p/b", Revision: at(20)}}},
		steps: []func() ([]egret.Item, egret.Revision, error){
			func() ([]egret.Item, egret.Revision, error) { return nil, at(0), errors.Trace(egret.ErrCompacted) },
		},
	}
	w := peerWatch(&atomic.Bool{}, &atomic.Int64{}, make(chan string, 16))
	w.Keys = k
	w.ChangesFromPeer = gapPeer(at(20))
	w.Reset = func([]egret.Item, egret.Revision) { resets.Add(1) }
	if err := runFor(t, w, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.lists) != 1 || resets.Load() != 2 {
		t.Errorf("%d lists of the store are left, and %d were delivered, want 1 and 2", len(k.lists), resets.Load())
	}
}

// runFor runs the Watcher for the time.
func runFor(t *testing.T, w *Watcher, d time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return w.Run(ctx)
}
