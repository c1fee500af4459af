package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// lastID is the number of the last statement ID.
var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%016x", lastID.Add(1))
}

// session is a caller's session in the line protocol.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the answer to a statement.
type answer struct {
	rows      []string
	signature string

	// fault is the code and the text of an ERROR, or empty.
	fault string

	// state is that of READY.
	state string
}

// connect opens a session at a proxy.
func (w *world) connect(n *node, database string) (*session, error) {
	c, err := net.DialTimeout("tcp", n.callers.String(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{
		conn:   c,
		reader: bufio.NewReader(c),
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s review\r\n", database)
	line, err := s.reader.ReadString('\n')
	if err != nil {
		c.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		c.Close()
		return nil, fmt.Errorf("STARTUP was answered with %q", strings.TrimSpace(line))
	}
	return s, nil
}

// query sends a statement and reads its answer.
func (s *session) query(id, text string, timeout time.Duration) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	a := answer{}
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.fault = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}

func (s *session) close() {
	fmt.Fprint(s.conn, "TERMINATE\r\n")
	s.conn.Close()
}
