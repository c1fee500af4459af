package keysim

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/platform"
)

// newStore starts a store and returns it with a client.
func newStore(t *testing.T) (*Server, *platform.Store) {
	t.Helper()
	s := &Server{}
	go s.Run(t.Context())
	h := httptest.NewServer(s.Handler("proxy-1"))
	t.Cleanup(h.CloseClientConnections)
	c := &platform.Store{
		Address: netip.MustParseAddrPort(h.Listener.Addr().String()),
	}
	c.Init()
	return s, c
}

func TestConditionsAndLeases(t *testing.T) {
	s, c := newStore(t)
	ctx := t.Context()
	lease, err := c.Grant(ctx, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := c.CompareAndSwap(ctx, "nodes/a", egret.Revision{}, []byte("one"), lease)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "nodes/a", egret.Revision{}, []byte("two"), egret.StoreLease{}); !errors.Is(err, egret.ErrConflict) {
		t.Errorf("second writer: %v", err)
	}
	if _, err := c.CompareAndSwap(ctx, "servers/a", egret.Revision{}, nil, egret.StoreLease{}); !errors.Is(err, egret.ErrRefused) {
		t.Errorf("key of the members: %v", err)
	}
	events, _, err := c.Watch(ctx, "nodes/", revision, 2*time.Second)
	if err != nil || len(events) != 1 || !events[0].Removed {
		t.Errorf("end of the lease: %+v %v", events, err)
	}
	if err := c.Renew(ctx, lease); !errors.Is(err, egret.ErrLeaseExpired) {
		t.Errorf("renewal of an ended lease: %v", err)
	}
	if w := s.LastWriter(); w != "proxy-1" {
		t.Errorf("last writer %q", w)
	}
}

func TestHistoryIsDropped(t *testing.T) {
	s, c := newStore(t)
	s.Put("op/config", []byte("1"))
	s.Put("op/config", []byte("2"))
	items, at, err := c.List(t.Context(), "op/")
	if err != nil || len(items) != 1 || string(items[0].Data) != "2" {
		t.Fatalf("%+v %v", items, err)
	}
	s.DropHistory()
	if _, _, err := c.Watch(t.Context(), "op/", egret.Revision{Era: at.Era, Number: at.Number - 1}, time.Second); !errors.Is(err, egret.ErrCompacted) {
		t.Errorf("watch from before the history: %v", err)
	}
	if _, _, err := c.Watch(t.Context(), "op/", at, 10*time.Millisecond); err != nil {
		t.Errorf("watch from now: %v", err)
	}
}

// TestFaults checks under which injected faults a write takes effect all the same.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   Fault
		applied bool
	}{
		{name: "refused", fault: Fault{Mode: ModeRefuse}},
		{name: "limited", fault: Fault{Mode: ModeLimit}},
		{name: "reset", fault: Fault{Mode: ModeReset}},
		{name: "silent", fault: Fault{Mode: ModeSilent}},
		{name: "answer lost", fault: Fault{LostAnswerRate: 1}, applied: true},
		{name: "late", fault: Fault{LateWriteRate: 1}, applied: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := newStore(t)
			s.SetFault("proxy-1", c.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if _, err := client.CompareAndSwap(ctx, "nodes/a", egret.Revision{}, []byte("one"), egret.StoreLease{}); err == nil {
				t.Error("the write was answered")
			}
			s.SetFault("proxy-1", Fault{})
			if c.fault.LateWriteRate > 0 {
				time.Sleep(maxLateWriteDelay)
			}
			got, err := client.Read(t.Context(), "nodes/a")
			if err != nil || got.Revision.Exists() != c.applied {
				t.Errorf("%+v %v, want the write applied: %t", got, err, c.applied)
			}
		})
	}
}

// TestRestoreBringsBackAnOlderCopy checks what a restored store has: the system's keys as they were, those of the operator
// and the members as they are, revisions that are given out again, and no watch from a revision that was lost.
func TestRestoreBringsBackAnOlderCopy(t *testing.T) {
	s, c := newStore(t)
	ctx := t.Context()
	revision := mustWrite(t, c, egret.Revision{}, "one")
	time.Sleep(2 * copyInterval)
	time.Sleep(2 * copyInterval)
	lost := mustWrite(t, c, revision, "two")
	s.Put("op/config", []byte("new"))
	s.Restore(copyInterval + copyInterval/2)
	if item, err := c.Read(ctx, "k"); err != nil || string(item.Data) != "one" {
		t.Errorf("the system's key is %+v, %v", item, err)
	}
	if item, err := c.Read(ctx, "op/config"); err != nil || string(item.Data) != "new" {
		t.Errorf("the operator's key is %+v, %v", item, err)
	}
	again := mustWrite(t, c, revision, "three")
	if again.Era != lost.Era+1 || again.Number > lost.Number+1 {
		t.Errorf("the next revision is %s, after %s before the restore", again, lost)
	}
	if _, _, err := c.Watch(ctx, "", revision, time.Second); !errors.Is(err, egret.ErrCompacted) {
		t.Errorf("watch from a revision of before the restore: %v", err)
	}
}

// mustWrite writes the key "k" and returns its revision.
func mustWrite(t *testing.T, c *platform.Store, revision egret.Revision, value string) egret.Revision {
	t.Helper()
	written, err := c.CompareAndSwap(t.Context(), "k", revision, []byte(value), egret.StoreLease{})
	if err != nil {
		t.Fatal(err)
	}
	return written
}
