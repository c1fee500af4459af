package links

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
)

// testNetwork is a running relay with one link to an echo server.
type testNetwork struct {
	relay *Relay
	link  Link
}

// newTestNetwork runs a relay with a link from a to b, where b is an echo server.
func newTestNetwork(t *testing.T, latency time.Duration, bits int) *testNetwork {
	t.Helper()
	echo := newListener(t)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	free := newListener(t)
	listen := netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	n := &testNetwork{
		link: Link{
			From: Endpoint{
				Name:   "a-1",
				Domain: "a",
				Region: "north",
			},
			To: Endpoint{
				Name:   "b-1",
				Domain: "b",
				Region: "south",
			},
			Listen:  listen,
			Dial:    netip.MustParseAddrPort(echo.Addr().String()),
			Latency: latency,
			Cause:   CauseProxy,
		},
	}
	n.relay = &Relay{
		Plan: Plan{
			RegionBitsPerSecond: bits,
			Links:               []Link{n.link},
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- n.relay.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
	})
	return l
}

// dial connects through the link, with retries until the relay listens.
func (n *testNetwork) dial(t *testing.T) net.Conn {
	t.Helper()
	for i := 0; ; i++ {
		c, err := net.Dial("tcp", n.link.Listen.String())
		if err == nil {
			t.Cleanup(func() {
				c.Close()
			})
			return c
		}
		if i == 200 {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// exchange sends a text and returns how long its echo took.
func exchange(t *testing.T, c net.Conn, text string) time.Duration {
	t.Helper()
	start := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if string(got) != text {
		t.Fatalf("echo %.20q, want %.20q", got, text)
	}
	return time.Since(start)
}

func TestLatencyIsThatOfBothDirections(t *testing.T) {
	n := newTestNetwork(t, 30*time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	// On a busy machine the shortest of several round trips is closest to the simulated latency.
	best := time.Hour
	for range 5 {
		best = min(best, exchange(t, c, "hello"))
	}
	if best < 60*time.Millisecond || best > 75*time.Millisecond {
		t.Errorf("round trip of %s, want 60 ms", best)
	}
}

func TestLatencyDoesNotBoundTheRate(t *testing.T) {
	n := newTestNetwork(t, 30*time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	// If chunks were relayed one by one, each of the 40 would take the whole latency.
	took := exchange(t, c, string(make([]byte, 40*chunkBytes)))
	if took > 500*time.Millisecond {
		t.Errorf("40 chunks took %s, want little more than 60 ms", took)
	}
}

func TestRegionsShareARate(t *testing.T) {
	const bits = 8_000_000
	n := newTestNetwork(t, time.Millisecond, bits)
	first, second := n.dial(t), n.dial(t)
	exchange(t, first, "opens the connection")
	exchange(t, second, "opens the connection")
	text := string(make([]byte, 300_000))
	start := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		exchange(t, first, text)
	}()
	exchange(t, second, text)
	<-done
	// 600 kB at 1 MB per second, less the limiter's burst.
	if took := time.Since(start); took < 500*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("two connections took %s, want 0.54 s or little more", took)
	}
}

func TestCutIsSilentUntilHealed(t *testing.T) {
	n := newTestNetwork(t, time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	n.relay.AddCut(Cut{
		From: "b",
		To:   wildcard,
	})
	fresh := n.dial(t)
	for _, c := range []net.Conn{c, fresh} {
		if _, err := io.WriteString(c, "hello"); err != nil {
			t.Fatal(err)
		}
		expectNoData(t, c)
	}
	n.relay.Heal()
	got := make([]byte, len("hello"))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Errorf("after the cut: %q, %v, want what was sent", got, err)
	}
	if _, err := fresh.Read(got); err == nil {
		t.Error("a connection that was opened in the cut works")
	}
}

func TestCutOfOneDirectionLetsTheOtherPass(t *testing.T) {
	n := newTestNetwork(t, time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "12345")
	n.relay.AddCut(Cut{
		From:   "south",
		To:     "north",
		OneWay: true,
	})
	if _, err := io.WriteString(c, "hello"); err != nil {
		t.Fatal(err)
	}
	expectNoData(t, c)
	for _, x := range n.relay.Traffic() {
		want := int64(5)
		if x.From == "north" {
			want = 10
		}
		if x.Bytes != want || x.Cause != CauseProxy {
			t.Errorf("from %s: %d bytes of %s, want %d of proxy", x.From, x.Bytes, x.Cause, want)
		}
	}
}

// expectNoData fails the test if data arrives or the connection ends within 100 ms.
func expectNoData(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	if e, ok := err.(net.Error); !ok || !e.Timeout() {
		t.Errorf("in the cut: %v, want silence", err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

func TestResetsAndDelays(t *testing.T) {
	n := newTestNetwork(t, time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	n.relay.SetExtraLatency("a-1", "b", 50*time.Millisecond)
	if took := exchange(t, c, "slow"); took < 100*time.Millisecond {
		t.Errorf("round trip of %s with 100 ms added", took)
	}
	n.relay.SetExtraLatency("a-1", "b", 0)
	n.relay.ResetConnections("c", "b")
	exchange(t, c, "another link was reset")
	n.relay.ResetConnections("b", "a-1")
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after a reset: %v", err)
	}
	exchange(t, n.dial(t), "a new connection")
}

func TestRemoveCutEndsOneCut(t *testing.T) {
	n := newTestNetwork(t, time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	n.relay.AddCut(Cut{
		From: "b-1",
		To:   "a-1",
	})
	n.relay.RemoveCut(Cut{
		From:   "a-1",
		To:     "b-1",
		OneWay: true,
	})
	if err := c.SetDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read while the way back is cut: %v", err)
	}
	n.relay.RemoveCut(Cut{
		From:   "b-1",
		To:     "a-1",
		OneWay: true,
	})
	if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("read after the cut: %v", err)
	}
}

// TestOverlappingCutsHoldOn ends one of two cuts that apply to the same traffic. The traffic must pass only when the
// other one has ended too.
func TestOverlappingCutsHoldOn(t *testing.T) {
	n := newTestNetwork(t, time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	first := Cut{
		From: "a-1",
		To:   "b-1",
	}
	second := Cut{
		From: "a-1",
		To:   "*",
	}
	n.relay.AddCut(first)
	n.relay.AddCut(second)
	n.relay.RemoveCut(first)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read while the second cut lasts: %v", err)
	}
	n.relay.RemoveCut(second)
	if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("read after both cuts: %v", err)
	}
}

// TestResetLosesWhatIsHeldUp checks that data held back by a cut is dropped if the sender resets the connection before
// the cut ends. Relayed after the cut, it could still run a statement that its sender has given up.
func TestResetLosesWhatIsHeldUp(t *testing.T) {
	n := newTestNetwork(t, time.Millisecond, 0)
	c := n.dial(t)
	exchange(t, c, "opens the connection")
	before := n.relay.Traffic()[0].Bytes
	cut := Cut{
		From: "a-1",
		To:   "b-1",
	}
	n.relay.AddCut(cut)
	if _, err := c.Write([]byte("held up")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
	time.Sleep(20 * time.Millisecond)
	n.relay.RemoveCut(cut)
	time.Sleep(50 * time.Millisecond)
	if after := n.relay.Traffic()[0].Bytes; after != before {
		t.Errorf("%d bytes arrived after the reset", after-before)
	}
}
