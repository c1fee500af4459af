package dbsim

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"egretlane.example/egret"
)

const (
	// slotWait is how long a statement waits for a slot before it is refused.
	slotWait = time.Second

	// silence is after how long a connection whose remote end is unreachable is dropped.
	silence = 3 * time.Second

	// catchUpWait is how long a read waits for a position.
	catchUpWait = 50 * time.Millisecond

	// syncWait is how long a commit waits for replicas before its outcome is unknown.
	syncWait = 3 * time.Second
)

// session is a connection to a member.
type session struct {
	member *Member
	conn   net.Conn
	in     *bufio.Reader
	out    *bufio.Writer

	values   map[string]string
	prepared map[string]shape

	// transaction is the number of the open transaction, or 0. It is the number of its first run.
	transaction uint64
	readOnly    bool
	failed      bool
	writes      []Write
}

// shape is a prepared statement.
type shape struct {
	writes bool
	text   string
}

// fault is an error on the wire.
type fault string

func (m *Member) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(ctx, c)
	}
}

func (m *Member) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	if t, ok := c.(*net.TCPConn); ok {
		// A peer that is gone is noticed late without it, which only holds a connection longer.
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     silence / 3,
			Interval: silence / 3,
			Count:    2,
		})
	}
	s := &session{
		member:   m,
		conn:     c,
		in:       bufio.NewReader(c),
		out:      bufio.NewWriter(c),
		values:   map[string]string{},
		prepared: map[string]shape{},
	}
	if s.start() {
		s.queries(ctx)
	}
	m.group.mu.Lock()
	delete(m.connections, c)
	m.group.mu.Unlock()
}

// start answers STARTUP.
func (s *session) start() bool {
	line, err := s.in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return false
	}
	m, g := s.member, s.member.group
	g.mu.Lock()
	var refused fault
	switch {
	case !m.running:
		g.mu.Unlock()
		return false
	case fields[1] != g.Service || (len(fields) > 3 && fields[3] != m.id):
		refused = "WRONGNODE other service or member"
	case len(m.connections) >= g.Connections:
		refused = "TOOMANY connections"
	default:
		m.connections[s.conn] = true
	}
	p := m.position()
	slots := m.slots
	g.mu.Unlock()
	if refused != "" {
		fmt.Fprintf(s.out, "ERROR %s\r\n", refused)
		// The connection ends either way.
		_ = s.out.Flush()
		return false
	}
	if !take(slots) {
		return false
	}
	time.Sleep(g.ConnectCost)
	<-slots
	fmt.Fprintf(s.out, "READY I %s\r\n", format(p))
	return s.out.Flush() == nil
}

func take(slots chan struct{}) bool {
	t := time.NewTimer(slotWait)
	defer t.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

func (s *session) queries(ctx context.Context) {
	for ctx.Err() == nil {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		rows, signature, f := s.query(fields[1], fields[2])
		if fields[1] != "-" && chance(s.member.troubled().LoseAnswers) {
			return
		}
		if !s.answer(rows, signature, f) {
			return
		}
	}
}

func (s *session) answer(rows []string, signature string, f fault) bool {
	for _, r := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", r)
	}
	if f != "" {
		fmt.Fprintf(s.out, "ERROR %s\r\n", f)
	} else {
		fmt.Fprintf(s.out, "COMPLETE %s\r\n", signature)
	}
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.transaction != 0:
		state = "T"
	}
	g := s.member.group
	g.mu.Lock()
	p := s.member.position()
	g.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", state, format(p))
	if s.in.Buffered() > 0 {
		return true
	}
	return s.out.Flush() == nil
}

func format(p egret.Position) string {
	return fmt.Sprintf("%d.%d", p.Term, p.Offset)
}
