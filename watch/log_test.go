package watch

import (
	"bytes"
	"fmt"
	"testing"

	"egretlane.example/egret"
)

// TestChangesAfterRevision requests changes after revisions within and before the known history.
func TestChangesAfterRevision(t *testing.T) {
	l := changeLog{}
	if _, _, ok := l.changesAfter(5); ok {
		t.Error("changes returned before any are known")
	}
	l.replace([]egret.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 9}}, 10)
	l.add([]egret.Item{{Key: "b", Revision: 12}, {Key: "a", Revision: 11, Removed: true}}, 12, true)
	for after, want := range map[uint64]int{10: 2, 11: 1, 12: 0, 0: 2} {
		items, revision, ok := l.changesAfter(after)
		if !ok || revision != 12 || len(items) != want {
			t.Errorf("after %d: %v up to %d, %v; want %d items", after, items, revision, ok, want)
		}
	}
	if _, _, ok := l.changesAfter(7); ok {
		t.Error("changes after 7 returned, but those between 7 and 10 aren't known")
	}
}

// TestOldRemovalsAreDropped removes more keys than the log keeps. Changes from before the dropped removals must
// count as unknown.
func TestOldRemovalsAreDropped(t *testing.T) {
	l := changeLog{}
	l.replace(nil, 1)
	for i := range 2 * maxRemovals {
		l.add([]egret.Item{{Key: fmt.Sprint(i), Revision: uint64(2 + i), Removed: true}}, uint64(2+i), true)
	}
	if _, _, ok := l.changesAfter(1); ok {
		t.Error("dropped removals count as known")
	}
	items, _, ok := l.changesAfter(uint64(1 + maxRemovals + 1))
	if !ok || len(items) == 0 || len(items) > maxRemovals {
		t.Errorf("%d items, %v", len(items), ok)
	}
}

// TestResponsesAreBounded guards against overload of slow network links when many processes start with many
// services: the changes are returned in bounded parts that continue from one another without gaps.
func TestResponsesAreBounded(t *testing.T) {
	const keys, size, first = 400, 1000, 10
	l := changeLog{}
	l.replace(nil, first)
	items := []egret.Item{}
	for i := range keys {
		items = append(items, egret.Item{Key: fmt.Sprint(i), Revision: uint64(first + keys - i), Data: bytes.Repeat([]byte{'x'}, size)})
	}
	items = append(items, egret.Item{Key: "large", Revision: first + keys + 1, Data: make([]byte, 4*maxBatchBytes)})
	const last = first + keys + 5
	l.add(items, last, true)
	seen := map[string]bool{}
	revision, responses := uint64(first), 0
	for revision != last {
		part, next, ok := l.changesAfter(revision)
		if !ok || next <= revision {
			t.Fatalf("after %d: up to %d, %v", revision, next, ok)
		}
		sum := 0
		for _, item := range part {
			sum += len(item.Data)
			seen[item.Key] = true
		}
		if sum > maxBatchBytes && len(part) > 1 {
			t.Errorf("%d bytes in %d items of one response", sum, len(part))
		}
		revision = next
		responses++
	}
	if len(seen) != keys+1 {
		t.Errorf("%d of %d keys returned", len(seen), keys+1)
	}
	if least := keys * size / maxBatchBytes; responses < least {
		t.Errorf("%d responses, want %d or more", responses, least)
	}
}
