package main

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret/config"
	"egretlane.example/egret/evlog"
)

// TestFailedComponentEndsTheProcess lets the readiness server fail. The process must end with its error and accept no
// callers any more, as a process that stays without it would never be replaced.
func TestFailedComponentEndsTheProcess(t *testing.T) {
	unused := netip.MustParseAddrPort("127.0.0.1:1")
	s := &config.Settings{
		Node: "proxy-1",
	}
	s.Platform.Store, s.Platform.Promotion = unused, unused
	n := newNode(s, &evlog.Log{})
	l := listeners{}
	for _, bound := range []*net.Listener{&l.peers, &l.ready, &l.callers} {
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		*bound = opened
	}
	ended := make(chan error, 1)
	go func() { ended <- n.serve(context.Background(), l) }()
	time.Sleep(50 * time.Millisecond)
	l.ready.Close()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the process ended without an error")
		}
	case <-time.After(3 * time.Second):
		t.Fatal("the process did not end within 3 s")
	}
	for _, open := range []net.Listener{l.peers, l.callers} {
		if c, err := net.Dial("tcp", open.Addr().String()); err == nil {
			c.Close()
			t.Errorf("%s still accepts connections", open.Addr())
		}
	}
}
