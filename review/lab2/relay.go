package main

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// backlog is the usual length of the queue of new connections.
const backlog = 128

// relay forwards connections to an address. While it is dark, no byte passes, connections stay open, and new ones hang, as with
// a machine that has no power.
type relay struct {
	listener net.Listener
	to       netip.AddrPort

	mu      sync.Mutex
	changed *sync.Cond
	dark    bool

	// fill are connections of the relay itself that fill the queue of new connections while it is dark.
	fill []net.Conn
}

func newRelay(to netip.AddrPort) *relay {
	l, err := net.Listen("tcp", freeAddress().String())
	if err != nil {
		fail(err)
	}
	r := &relay{listener: l, to: to}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.await()
		go r.forward(c)
	}
}

func (r *relay) forward(c net.Conn) {
	r.await()
	m, err := net.DialTimeout("tcp", r.to.String(), time.Second)
	if err != nil {
		reset(c)
		return
	}
	done := make(chan struct{}, 2)
	go r.pump(c, m, done)
	go r.pump(m, c, done)
	<-done
	r.await()
	reset(c)
	reset(m)
}

// pump passes bytes on. What is read while the relay is dark waits for its end.
func (r *relay) pump(from, to net.Conn, done chan<- struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.await()
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	done <- struct{}{}
}

// await waits while the relay is dark.
func (r *relay) await() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.dark {
		r.changed.Wait()
	}
}

func (r *relay) setDark(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark = dark
	if !dark {
		for _, c := range r.fill {
			reset(c)
		}
		r.fill = nil
		r.listen(backlog)
		r.changed.Broadcast()
		return
	}
	r.listen(0)
	for range 4 {
		c, err := net.DialTimeout("tcp", r.address().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		r.fill = append(r.fill, c)
	}
}

// listen sets the length of the queue of new connections.
func (r *relay) listen(n int) {
	raw, err := r.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		fail(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }); err != nil {
		fail(err)
	}
}

func (r *relay) isDark() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dark
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
