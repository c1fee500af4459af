package vmsim

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/vmlist"
)

// Callers see a change of the list once the delay has passed, and the version before it until then.
func TestListLags(t *testing.T) {
	now := time.Unix(100, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Listener: l,
		Delay:    2 * time.Second,
		Now: func() time.Time {
			return now
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		done <- s.Run(ctx)
	}()
	c := &vmlist.Client{
		URL: fmt.Sprintf("http://%s/vms", l.Addr()),
	}
	want := func(count int, leaving bool) {
		t.Helper()
		vms, err := c.List(ctx)
		if err != nil || len(vms) != count || (count > 0 && vms[0].Leaving != leaving) {
			t.Errorf("List = %+v, %v, want %d VMs, leaving %v", vms, err, count, leaving)
		}
	}
	s.Set([]egret.VM{{
		Name:    "member-1",
		Address: netip.MustParseAddrPort("127.0.0.1:6501"),
		Region:  "lombardia",
		Domain:  "lecco-a",
	}})
	want(0, false)
	now = now.Add(2 * time.Second)
	want(1, false)
	if err := s.SetLeaving("member-1", true); err != nil {
		t.Error(err)
	}
	now = now.Add(time.Second)
	want(1, false)
	now = now.Add(time.Second)
	want(1, true)

	s.SetDown(true)
	if vms, err := c.List(ctx); err == nil {
		t.Errorf("List = %+v of a list that is down", vms)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("Run = %v", err)
	}
}
