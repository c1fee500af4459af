package watch

import (
	"bytes"
	"fmt"
	"testing"

	"egretlane.example/egret"
)

// TestRelayTellsWhatWasSeen asks for changes after revisions within and before what is known.
func TestRelayTellsWhatWasSeen(t *testing.T) {
	l := log{}
	if _, _, ok := l.after(5); ok {
		t.Error("an answer before anything was seen")
	}
	l.reset([]egret.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 9}}, 10)
	l.add([]egret.Item{{Key: "b", Revision: 12}, {Key: "a", Revision: 11, Removed: true}}, 12, true)
	for after, want := range map[uint64]int{10: 2, 11: 1, 12: 0, 0: 2} {
		items, at, ok := l.after(after)
		if !ok || at != 12 || len(items) != want {
			t.Errorf("after %d: %v up to %d, %v; want %d items", after, items, at, ok, want)
		}
	}
	if _, _, ok := l.after(7); ok {
		t.Error("changes after 7 are told, and those between 7 and 10 aren't known")
	}
}

// TestRelayForgetsOldRemovals removes more keys than are remembered.
func TestRelayForgetsOldRemovals(t *testing.T) {
	l := log{}
	l.reset(nil, 1)
	for i := range 2 * keepRemovals {
		l.add([]egret.Item{{Key: fmt.Sprint(i), Revision: uint64(2 + i), Removed: true}}, uint64(2+i), true)
	}
	if _, _, ok := l.after(1); ok {
		t.Error("removals that were forgotten count as known")
	}
	items, _, ok := l.after(uint64(1 + keepRemovals + 1))
	if !ok || len(items) == 0 || len(items) > keepRemovals {
		t.Errorf("%d items, %v", len(items), ok)
	}
}

// TestAnswersToManyAreSmall checks the load of a start of many processes before many services, with thin links:
// what one asks of another is answered in parts, which go on from one another and miss nothing.
func TestAnswersToManyAreSmall(t *testing.T) {
	const keys, size, first = 400, 1000, 10
	l := log{}
	l.reset(nil, first)
	items := []egret.Item{}
	for i := range keys {
		items = append(items, egret.Item{Key: fmt.Sprint(i), Revision: uint64(first + keys - i), Data: bytes.Repeat([]byte{'x'}, size)})
	}
	items = append(items, egret.Item{Key: "large", Revision: first + keys + 1, Data: make([]byte, 4*batchBytes)})
	const last = first + keys + 5
	l.add(items, last, true)
	seen := map[string]bool{}
	at, answers := uint64(first), 0
	for at != last {
		part, next, ok := l.after(at)
		if !ok || next <= at {
			t.Fatalf("after %d: up to %d, %v", at, next, ok)
		}
		sum := 0
		for _, item := range part {
			sum += len(item.Data)
			seen[item.Key] = true
		}
		if sum > batchBytes && len(part) > 1 {
			t.Errorf("%d bytes in %d items", sum, len(part))
		}
		at = next
		answers++
	}
	if len(seen) != keys+1 {
		t.Errorf("%d of %d keys were told", len(seen), keys+1)
	}
	if least := keys * size / batchBytes; answers < least {
		t.Errorf("%d answers, want %d or more", answers, least)
	}
}
