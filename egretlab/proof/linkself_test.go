package proof

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a server that sends back all data that it receives.
func startEchoServer(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l
}

// echoes sends a byte and reports whether it comes back.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestLinkFaults checks that each kind of fault affects the open and the new connections of a link as documented.
func TestLinkFaults(t *testing.T) {
	l := newLink(t, "test>echo", startEchoServer(t).Addr().(*net.TCPAddr).AddrPort())
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.address.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			c.Close()
		})
		return c
	}
	expect := func(what string, c net.Conn, want bool) {
		t.Helper()
		if got := echoes(c); got != want {
			t.Errorf("%s: answered %t, want %t", what, got, want)
		}
	}
	old := dial()
	expect("no fault", old, true)
	l.silence()
	expect("silenced connection", old, false)
	expect("new connection while an older one is silenced", dial(), true)
	l.heal()
	second := dial()
	expect("after healing", second, true)
	l.dropReplies()
	expect("replies dropped", second, false)
	l.heal()
	l.dropAll()
	expect("all data dropped", dial(), false)
	l.heal()
	third := dial()
	expect("after healing again", third, true)
	l.closeConnections()
	expect("closed connection", third, false)
	expect("new connection after closing the others", dial(), true)
}
