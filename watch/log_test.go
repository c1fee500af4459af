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
	if _, ok := l.changesAfter(at(5)); ok {
		t.Error("changes returned before any are known")
	}
	l.replace([]egret.Item{{Key: "a", Revision: egret.Revision{Number: 3}}, {Key: "b", Revision: egret.Revision{Number: 9}}}, at(10), true)
	l.add([]egret.Item{{Key: "b", Revision: egret.Revision{Number: 12}}, {Key: "a", Revision: egret.Revision{Number: 11}, Removed: true}}, at(12), true)
	for after, want := range map[uint64]int{10: 2, 11: 1, 12: 0, 0: 2} {
		c, ok := l.changesAfter(at(after))
		if !ok || c.At != at(12) || len(c.Items) != want {
			t.Errorf("after %d: %+v, %v; want %d items", after, c, ok, want)
		}
	}
	if _, ok := l.changesAfter(at(7)); ok {
		t.Error("changes after 7 returned, but those between 7 and 10 aren't known")
	}
}

// TestOldRemovalsAreDropped removes more keys than the log keeps. Changes from before the dropped removals must
// count as unknown.
func TestOldRemovalsAreDropped(t *testing.T) {
	l := changeLog{}
	l.replace(nil, at(1), true)
	for i := range 2 * maxRemovals {
		l.add([]egret.Item{{Key: fmt.Sprint(i), Revision: at(uint64(2 + i)), Removed: true}}, at(uint64(2+i)), true)
	}
	if _, ok := l.changesAfter(at(1)); ok {
		t.Error("dropped removals count as known")
	}
	c, ok := l.changesAfter(at(1 + maxRemovals + 1))
	if !ok || len(c.Items) == 0 || len(c.Items) > maxRemovals {
		t.Errorf("%d items, %v", len(c.Items), ok)
	}
}

// TestResponsesAreBounded guards against overload of slow network links when many processes start with many
// services: the changes are returned in bounded parts that continue from one another without gaps.
func TestResponsesAreBounded(t *testing.T) {
	const keys, size, first = 400, 1000, 10
	l := changeLog{}
	l.replace(nil, at(first), true)
	items := []egret.Item{}
	for i := range keys {
		items = append(items, egret.Item{Key: fmt.Sprint(i), Revision: at(uint64(first + keys - i)), Data: bytes.Repeat([]byte{'x'}, size)})
	}
	items = append(items, egret.Item{Key: "large", Revision: at(first + keys + 1), Data: make([]byte, 4*maxBatchBytes)})
	const last = first + keys + 5
	l.add(items, at(last), true)
	seen := map[string]bool{}
	revision, responses := at(first), 0
	for revision != at(last) {
		c, ok := l.changesAfter(revision)
		if !ok || !revision.Before(c.At) {
			t.Fatalf("after %s: up to %s, %v", revision, c.At, ok)
		}
		sum := 0
		for _, item := range c.Items {
			sum += len(item.Data)
			seen[item.Key] = true
		}
		if sum > maxBatchBytes && len(c.Items) > 1 {
			t.Errorf("%d bytes in %d items of one response", sum, len(c.Items))
		}
		revision = c.At
		responses++
	}
	if len(seen) != keys+1 {
		t.Errorf("%d of %d keys returned", len(seen), keys+1)
	}
	if least := keys * size / maxBatchBytes; responses < least {
		t.Errorf("%d responses, want %d or more", responses, least)
	}
}

// TestChangesAcrossRestore guards against changes that are taken for older ones, or for the next ones, though the store was
// restored between them: a process that has seen the restored store gives all items to one that hasn't, and nothing is
// given to one that has seen a later era.
func TestChangesAcrossRestore(t *testing.T) {
	revision := func(era, number uint64) egret.Revision { return egret.Revision{Era: era, Number: number} }
	l := changeLog{}
	l.replace([]egret.Item{{Key: "a", Revision: revision(2, 3)}, {Key: "b", Revision: revision(2, 5)}}, revision(2, 8), true)
	l.add([]egret.Item{{Key: "b", Revision: revision(2, 9), Removed: true}}, revision(2, 9), true)
	for _, after := range []egret.Revision{revision(1, 2), revision(1, 50)} {
		c, ok := l.changesAfter(after)
		if !ok || !c.All || len(c.Items) != 1 || c.Items[0].Key != "a" || c.At != revision(2, 9) {
			t.Errorf("after %s: %+v, %v", after, c, ok)
		}
	}
	if c, ok := l.changesAfter(revision(2, 8)); !ok || c.All || len(c.Items) != 1 {
		t.Errorf("in the same era: %+v, %v", c, ok)
	}
	if c, ok := l.changesAfter(revision(3, 1)); ok {
		t.Errorf("to a process of a later era: %+v", c)
	}
	if c, ok := l.changesAfter(revision(0, 4)); ok {
		t.Errorf("to a process that knows no eras: %+v", c)
	}
}
