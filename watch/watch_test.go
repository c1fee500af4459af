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

// scriptedKeys answers calls from a script.
type scriptedKeys struct {
	egret.Keyspace
	mu    sync.Mutex
	lists [][]egret.Item
	steps []func() ([]egret.Item, uint64, error)
	asked []uint64
	waits []time.Duration
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

func (k *scriptedKeys) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]egret.Item, uint64, error) {
	k.mu.Lock()
	k.asked = append(k.asked, after)
	k.waits = append(k.waits, wait)
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

// TestWatchGoesOnAfterFailuresAndGaps loses a call, and then the history.
func TestWatchGoesOnAfterFailuresAndGaps(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := &scriptedKeys{
		lists: [][]egret.Item{{{Key: "p/a", Revision: 3}}, {{Key: "p/b", Revision: 20}}},
		steps: []func() ([]egret.Item, uint64, error){
			func() ([]egret.Item, uint64, error) { return []egret.Item{{Key: "p/c", Revision: 12}}, 12, nil },
			func() ([]egret.Item, uint64, error) { return nil, 0, errors.New("cut") },
			func() ([]egret.Item, uint64, error) { return nil, 14, nil },
			func() ([]egret.Item, uint64, error) { return nil, 0, errors.Trace(egret.ErrHistoryGone) },
			func() ([]egret.Item, uint64, error) {
				return []egret.Item{{Key: "p/b", Revision: 21, Removed: true}}, 21, nil
			},
		},
	}
	events := make(chan string, 16)
	w := Watch{
		Keys:     k,
		Prefix:   "p/",
		Reset:    func(items []egret.Item) { events <- fmt.Sprint("reset ", items[0].Key) },
		Change:   func(item egret.Item) { events <- fmt.Sprint("change ", item.Key, " ", item.Removed) },
		Lost:     func() { events <- "lost" },
		Regained: func() { events <- "regained" },
	}
	go func() { _ = w.Run(ctx) }()
	got := []string{}
	for range 6 {
		select {
		case e := <-events:
			got = append(got, e)
		case <-time.After(5 * time.Second):
			t.Fatalf("only %v", got)
		}
	}
	want := []string{"reset p/a", "change p/c false", "lost", "regained", "reset p/b", "change p/b true"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if want := []uint64{10, 12, 12, 14, 10}; !slices.Equal(k.asked[:5], want) {
		t.Errorf("asked after %v, want %v", k.asked, want)
	}
	// A store that is back doesn't answer what it missed: the call after a failed one is a short one.
	if k.waits[1] != wait || k.waits[2] > wait/10 || k.waits[3] != wait {
		t.Errorf("the calls waited for %v", k.waits)
	}
}

// relayedWatch returns a watch that relies on others, whose answers are scripted by up, before a store that
// fails every call after the list. calls counts the calls to the store after the list.
func relayedWatch(up *atomic.Bool, calls *atomic.Int64, events chan<- string) *Watch {
	return &Watch{
		Keys: &failingKeys{
			scriptedKeys: &scriptedKeys{lists: [][]egret.Item{{{Key: "p/a", Revision: 3}}}},
			calls:        calls,
		},
		Prefix: "p/",
		Reset:  func([]egret.Item) {},
		Change: func(egret.Item) {},
		Relay: func(context.Context, string, uint64) ([]egret.Item, uint64, bool) {
			return nil, 11, up.Load()
		},
		Direct:   func() bool { return false },
		Lost:     func() { events <- "lost" },
		Regained: func() { events <- "regained" },
	}
}

// failingKeys is a store that answers nothing but the list.
type failingKeys struct {
	*scriptedKeys
	calls *atomic.Int64
}

func (k *failingKeys) Changes(context.Context, string, uint64, time.Duration) ([]egret.Item, uint64, error) {
	k.calls.Add(1)
	return nil, 0, errors.New("refused")
}

// TestStoreIsRegainedThroughOthers checks that a process that relies on others doesn't take the store for lost
// once they hear it again: it makes no calls of its own then that could tell.
func TestStoreIsRegainedThroughOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up, calls, events := atomic.Bool{}, atomic.Int64{}, make(chan string, 16)
	w := relayedWatch(&up, &calls, events)
	go func() { _ = w.Run(ctx) }()
	for _, want := range []string{"lost", "regained"} {
		select {
		case e := <-events:
			if e != want {
				t.Fatalf("%s, want %s", e, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("the store was not %s", want)
		}
		up.Store(true)
	}
	select {
	case e := <-events:
		t.Errorf("the store was %s while others heard it", e)
	case <-time.After(relayAge):
	}
}

// TestOutageIsNotAskedByAll checks the load of an outage before many processes: those that rely on others
// leave it to them to find out when the store is back.
func TestOutageIsNotAskedByAll(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up, calls, events := atomic.Bool{}, atomic.Int64{}, make(chan string, 16)
	w := relayedWatch(&up, &calls, events)
	go func() { _ = w.Run(ctx) }()
	span := 3 * ownInterval
	time.Sleep(span)
	// A pause is half of the interval at the least, and there is a first call.
	if most := int64(2*span/ownInterval) + 1; calls.Load() > most {
		t.Errorf("%d calls in %s, want %d at most", calls.Load(), span, most)
	}
	if calls.Load() < 2 {
		t.Errorf("%d calls in %s: others may be cut off, so that this process has to ask", calls.Load(), span)
	}
}
