package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
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
