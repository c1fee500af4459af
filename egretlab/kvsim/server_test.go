package kvsim

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// A lease that isn't renewed expires: its key is removed, and later calls with the lease are refused.
func TestLeaseLapses(t *testing.T) {
	c := dial(t, start(t, &Server{}))
	id, err := c.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.CompareAndSwap(t.Context(), "k", 0, []byte("v"), id)
	if err != nil {
		t.Fatal(err)
	}
	for {
		v, err := c.Get(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if v.Revision == 0 {
			break
		}
	}
	if err := c.Renew(t.Context(), id); !errors.Is(err, egret.ErrLeaseExpired) {
		t.Errorf("Renew = %v, want a lapsed lease", err)
	}
	_, err = c.CompareAndSwap(t.Context(), "k", 0, []byte("w"), id)
	if !errors.Is(err, egret.ErrLeaseExpired) {
		t.Errorf("CompareAndSwap = %v, want a lapsed lease", err)
	}
}

func TestWatchEndsWithAChangeAndWithAnOutage(t *testing.T) {
	s := &Server{}
	c := dial(t, start(t, s))
	type seen struct {
		value egret.Value
		err   error
	}
	watch := func(after uint64) <-chan seen {
		answers := make(chan seen, 1)
		go func() {
			v, err := c.Watch(t.Context(), "k", after)
			answers <- seen{
				value: v,
				err:   err,
			}
		}()
		for s.Stats().WaitingWatches == 0 {
			time.Sleep(time.Millisecond)
		}
		return answers
	}
	waiting := watch(0)
	if _, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0); err != nil {
		t.Fatal(err)
	}
	if got := <-waiting; got.err != nil || got.value.Revision != 1 {
		t.Errorf("Watch = %+v, want revision 1", got)
	}
	waiting = watch(1)
	if err := s.SetFault(ModeDown, 0); err != nil {
		t.Fatal(err)
	}
	if got := <-waiting; got.err == nil {
		t.Errorf("Watch = %+v with the store down, want an error", got)
	}
}

// A slow store still executes a write after its caller has given up.
func TestSlowChangeTakesEffectLater(t *testing.T) {
	s := &Server{}
	c := dial(t, start(t, s))
	if err := s.SetFault(ModeSlow, 100*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"), 0); err == nil {
		t.Fatal("the change was answered within its timeout")
	}
	v, err := c.Watch(t.Context(), "k", 0)
	if err != nil || v.Revision != 1 {
		t.Errorf("Watch = %+v, %v, want revision 1", v, err)
	}
}

func TestRateLimitRefuses(t *testing.T) {
	s := &Server{
		ReadsPerSecond: 10,
	}
	c := dial(t, start(t, s))
	refused := 0
	for range 20 {
		if _, err := c.Get(t.Context(), "k"); err != nil {
			refused++
		}
	}
	if refused == 0 || s.Stats().Limited != uint64(refused) {
		t.Errorf("%d of 20 reads refused, %d counted", refused, s.Stats().Limited)
	}
}

// A connection on which nothing arrives any more fails one call: the next one uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := &Server{}
	l := &forwarder{
		to: start(t, s),
	}
	c := dial(t, l.start(t))
	if _, err := c.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	l.silenceConnections()
	if _, err := c.Get(t.Context(), "k"); err == nil {
		t.Fatal("a silent connection gave an answer")
	}
	if _, err := c.Get(t.Context(), "k"); err != nil {
		t.Errorf("Get after the silence = %v", err)
	}
}

// forwarder is a TCP relay whose connections can be made silent.
type forwarder struct {
	to netip.AddrPort

	// silenced is the number of the last connection that forwards nothing any more. All before it are
	// silent too.
	silenced atomic.Int64

	// accepted is the number of connections so far.
	accepted atomic.Int64
}

func (l *forwarder) start(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = listener.Close()
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(t, c, l.accepted.Add(1))
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// silenceConnections makes all present connections stay open but forward nothing.
func (l *forwarder) silenceConnections() {
	l.silenced.Store(l.accepted.Load())
}

func (l *forwarder) forward(t *testing.T, c net.Conn, number int64) {
	d, err := net.Dial("tcp", l.to.String())
	if err != nil {
		t.Errorf("Dial = %v", err)
		return
	}
	relay := func(to io.Writer, from io.Reader) {
		b := make([]byte, 4096)
		for {
			n, err := from.Read(b)
			if err != nil {
				return
			}
			if l.silenced.Load() < number {
				_, _ = to.Write(b[:n])
			}
		}
	}
	go relay(c, d)
	relay(d, c)
	_ = c.Close()
	_ = d.Close()
}
