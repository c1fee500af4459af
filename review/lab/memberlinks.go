package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
)

// memberLink relays the connections from one proxy to one member, so that the two can be partitioned.
type memberLink struct {
	proxy  string
	member netip.AddrPort
	listen netip.AddrPort

	// mu guards the fields below.
	mu          sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
}

// open accepts connections and relays them.
func (l *memberLink) open() error {
	listener, err := net.Listen("tcp", l.listen.String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.connections = map[net.Conn]bool{}
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relay(c)
		}
	}()
	return nil
}

// cut resets all connections and refuses new ones until open is called again.
func (l *memberLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for c := range l.connections {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	l.connections = map[net.Conn]bool{}
}

// track adds a connection to those that cut resets. It returns false if the link is cut.
func (l *memberLink) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return false
	}
	l.connections[c] = true
	return true
}

func (l *memberLink) relay(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.member.String())
	if err != nil {
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	defer far.Close()
	if !l.track(near) || !l.track(far) {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	l.mu.Lock()
	delete(l.connections, near)
	delete(l.connections, far)
	l.mu.Unlock()
}

// openLinks puts a link between each proxy and each member.
func (w *world) openLinks(ctx context.Context) error {
	for _, n := range w.nodes {
		for _, m := range w.Group.Members {
			a, err := w.freeAddress()
			if err != nil {
				return err
			}
			l := &memberLink{
				proxy:  n.name,
				member: m.Listen,
				listen: a,
			}
			if err := l.open(); err != nil {
				return err
			}
			context.AfterFunc(ctx, l.cut)
			w.links = append(w.links, l)
		}
	}
	return nil
}

// link returns the link between a proxy and the member at the address.
func (w *world) link(proxy string, member netip.AddrPort) *memberLink {
	for _, l := range w.links {
		if l.proxy == proxy && l.member == member {
			return l
		}
	}
	return nil
}

// rewriteAddress replaces the address in a member's entry by that of the reading proxy's link to the member.
func (w *world) rewriteAddress(client, key string, value []byte) []byte {
	entry := map[string]any{}
	if !strings.HasPrefix(key, membersPrefix) || json.Unmarshal(value, &entry) != nil {
		return value
	}
	for _, l := range w.links {
		if l.proxy == client && l.member.String() == entry["address"] {
			entry["address"] = l.listen.String()
		}
	}
	changed, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return changed
}
