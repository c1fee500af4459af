package proof

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo serves connections that get back what they send.
func echo(t *testing.T) net.Listener {
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

// ask sends a byte and reports whether it came back.
func ask(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestLinkFaults shows that the injector causes the failures that it is named for.
func TestLinkFaults(t *testing.T) {
	l := newLink(t, "test>echo", echo(t).Addr().(*net.TCPAddr).AddrPort())
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
		if got := ask(c); got != want {
			t.Errorf("%s: answered %t, want %t", what, got, want)
		}
	}
	old := dial()
	expect("no fault", old, true)
	l.hush()
	expect("silent connection", old, false)
	expect("new connection beside a silent one", dial(), true)
	l.heal()
	second := dial()
	expect("healed", second, true)
	l.cutAnswers()
	expect("answers cut", second, false)
	l.heal()
	l.cut()
	expect("cut", dial(), false)
	l.heal()
	third := dial()
	expect("healed again", third, true)
	l.sever()
	expect("severed", third, false)
	expect("after severing", dial(), true)
}
