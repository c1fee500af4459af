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
	// slotTimeout is how long a statement or a new connection waits for a slot before it is refused.
	slotTimeout = time.Second

	// deadPeerTimeout is how long a connection is kept after its remote end has become unreachable.
	deadPeerTimeout = 3 * time.Second

	// positionTimeout is how long a statement waits for its floor to be applied.
	positionTimeout = 50 * time.Millisecond

	// syncTimeout is how long a commit waits for SyncReplicas before it is answered as in doubt.
	syncTimeout = 3 * time.Second
)

// session is the server side of a connection to a member.
type session struct {
	member *Member
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	// workspace is the name that the connection was opened with.
	workspace string

	// values has the session variables, prepared the prepared statements by name.
	values   map[string]string
	prepared map[string]preparedStatement

	// transaction is the number of the open transaction, or 0. It is that of its BEGIN among the group's
	// statements.
	transaction   uint64
	readOnly      bool
	failed        bool
	pendingWrites []Write
}

type preparedStatement struct {
	isWrite bool
	text    string
}

// wireError is an error as it is sent: a code, a space and a message. It is empty for none.
type wireError string

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
		// A failure is ignored: the only effect is that a dead connection is noticed later.
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     deadPeerTimeout / 3,
			Interval: deadPeerTimeout / 3,
			Count:    2,
		})
	}
	s := &session{
		member:   m,
		conn:     c,
		reader:   bufio.NewReader(c),
		writer:   bufio.NewWriter(c),
		values:   map[string]string{},
		prepared: map[string]preparedStatement{},
	}
	if s.handshake() {
		s.serveQueries(ctx)
	}
	m.group.mu.Lock()
	delete(m.connections, c)
	m.group.mu.Unlock()
}

// handshake reads STARTUP and answers it. It returns false if the connection is to be closed.
func (s *session) handshake() bool {
	line, err := s.reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return false
	}
	s.workspace = fields[2]
	m, g := s.member, s.member.group
	g.mu.Lock()
	var refused wireError
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
		fmt.Fprintf(s.writer, "ERROR %s\r\n", refused)
		// The connection is closed whether or not the error can be sent.
		_ = s.writer.Flush()
		return false
	}
	if !acquireSlot(slots) {
		return false
	}
	time.Sleep(g.ConnectCost)
	<-slots
	fmt.Fprintf(s.writer, "READY I %s\r\n", formatPosition(p))
	return s.writer.Flush() == nil
}

// acquireSlot takes a slot. It returns false if none is free within slotTimeout.
func acquireSlot(slots chan struct{}) bool {
	t := time.NewTimer(slotTimeout)
	defer t.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

// serveQueries answers queries until the connection or the context ends.
func (s *session) serveQueries(ctx context.Context) {
	for ctx.Err() == nil {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		rows, signature, f := s.handleQuery(fields[1], fields[2])
		if fields[1] != "-" && withProbability(s.member.currentFaults().LostAnswerRate) {
			return
		}
		if !s.reply(rows, signature, f) {
			return
		}
	}
}

// reply sends an answer. It is left in the buffer if another query has been received already.
func (s *session) reply(rows []string, signature string, f wireError) bool {
	for _, r := range rows {
		fmt.Fprintf(s.writer, "DATAROW %s\r\n", r)
	}
	if f != "" {
		fmt.Fprintf(s.writer, "ERROR %s\r\n", f)
	} else {
		fmt.Fprintf(s.writer, "COMPLETE %s\r\n", signature)
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
	fmt.Fprintf(s.writer, "READY %s %s\r\n", state, formatPosition(p))
	if s.reader.Buffered() > 0 {
		return true
	}
	return s.writer.Flush() == nil
}

// formatPosition returns a position as it is sent.
func formatPosition(p egret.Position) string {
	return fmt.Sprintf("%d.%d", p.Term, p.Offset)
}
