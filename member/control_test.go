package member

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// fakeServer is a member that answers each query with what the function answer returns. If that is nil, it doesn't
// answer.
type fakeServer struct {
	answer func(query string) pgproto3.BackendMessage

	// connections counts the accepted connections, without those for cancel requests.
	connections atomic.Int64

	// executions counts the executions of the prepared statement.
	executions atomic.Int64
}

func (s *fakeServer) listen(t *testing.T) egret.Member {
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
			go s.serve(c)
		}
	}()
	return egret.Member{
		Name:    "member-1",
		Address: netip.MustParseAddrPort(l.Addr().String()),
	}
}

func (s *fakeServer) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	first, err := b.ReceiveStartupMessage()
	if _, ok := first.(*pgproto3.StartupMessage); err != nil || !ok {
		return
	}
	s.connections.Add(1)
	ready := &pgproto3.ReadyForQuery{
		TxStatus: 'I',
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(ready)
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			answer := s.answer(m.String)
			if answer == nil {
				continue
			}
			if _, ok := answer.(*pgproto3.DataRow); ok {
				b.Send(stateColumns)
			}
			sendAnswer(b, answer)
			b.Send(ready)
		case *pgproto3.Parse:
			b.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			b.Send(&pgproto3.ParameterDescription{})
			b.Send(stateColumns)
		case *pgproto3.Bind:
			b.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			s.executions.Add(1)
			answer := s.answer(StatusQuery)
			if answer == nil {
				// From here on nothing on this connection is answered.
				_, _ = io.Copy(io.Discard, c)
				return
			}
			sendAnswer(b, answer)
		case *pgproto3.Sync:
			b.Send(ready)
		}
	}
}

// stateColumns is the row description of a state row.
var stateColumns = &pgproto3.RowDescription{
	Fields: make([]pgproto3.FieldDescription, columnCount),
}

func sendAnswer(b *pgproto3.Backend, answer pgproto3.BackendMessage) {
	b.Send(answer)
	if _, ok := answer.(*pgproto3.DataRow); ok {
		b.Send(&pgproto3.CommandComplete{
			CommandTag: []byte("SELECT 1"),
		})
	}
}

// stateRow returns a row with the values, which spaces separate. A "-" stands for an empty value.
func stateRow(values string) *pgproto3.DataRow {
	row := &pgproto3.DataRow{}
	for _, v := range strings.Split(values, " ") {
		row.Values = append(row.Values, []byte(strings.Trim(v, "-")))
	}
	return row
}

func newControl() *Control {
	return &Control{
		Dialer: &Dialer{
			NodeID: "proxy-1",
			User:   "egretlane",
		},
	}
}

func TestStatus(t *testing.T) {
	s := &fakeServer{
		answer: func(string) pgproto3.BackendMessage {
			return stateRow("member1 replica 4 3 17 3 12 127.0.0.1:6501 t 5 1")
		},
	}
	c := newControl()
	defer c.Close()
	m := s.listen(t)
	for range 3 {
		got, err := c.Status(t.Context(), m)
		if err != nil {
			t.Fatal(err)
		}
		if got.Role != egret.RoleReplica || got.GrantedTerm != 4 || got.Received.String() != "3/17" ||
			got.Applied.String() != "3/12" || got.Upstream.Port() != 6501 || !got.Leaving {
			t.Errorf("Status() = %+v, want the row's values", got)
		}
	}
	if got := s.connections.Load(); got != 1 {
		t.Errorf("connections = %d, want one that is kept", got)
	}
	if got := s.executions.Load(); got != 2 {
		t.Errorf("prepared executions = %d, want all but the first", got)
	}
}

func TestSilentConnectionIsReplacedWithinTheCall(t *testing.T) {
	asked := atomic.Int64{}
	s := &fakeServer{
		answer: func(string) pgproto3.BackendMessage {
			if asked.Add(1) == 2 {
				return nil
			}
			return stateRow("member1 primary 1 1 1 1 1 - f 1 0")
		},
	}
	c := newControl()
	defer c.Close()
	m := s.listen(t)
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		if _, err := c.Status(ctx, m); err != nil {
			t.Errorf("Status() = %v, want an answer on a new connection", err)
		}
		cancel()
	}
	if got := s.connections.Load(); got != 2 {
		t.Errorf("connections = %d, want 2", got)
	}
}

func TestAwaitDoesNotDelayStatus(t *testing.T) {
	release := make(chan struct{})
	s := &fakeServer{
		answer: func(query string) pgproto3.BackendMessage {
			if strings.Contains(query, "await") {
				<-release
			}
			return stateRow("member1 primary 1 1 1 1 1 - f 1 0")
		},
	}
	c := newControl()
	defer c.Close()
	m := s.listen(t)
	waited := make(chan error)
	go func() {
		_, err := c.AwaitPosition(t.Context(), m, egret.Position{}, time.Second)
		waited <- err
	}()
	if _, err := c.Status(t.Context(), m); err != nil {
		t.Error(err)
	}
	close(release)
	if err := <-waited; err != nil {
		t.Error(err)
	}
}

func TestRefusedTerm(t *testing.T) {
	s := &fakeServer{
		answer: func(query string) pgproto3.BackendMessage {
			if query != "SELECT * FROM platform.fence(5)" {
				return stateRow("member1 fenced 4 1 1 1 1 - f 1 0")
			}
			return &pgproto3.ErrorResponse{
				Severity: "ERROR",
				Code:     CodeTermRefused,
				Message:  "member member-1 has granted term 7",
			}
		},
	}
	c := newControl()
	defer c.Close()
	m := s.listen(t)
	if _, err := c.Fence(t.Context(), m, 4); err != nil {
		t.Error(err)
	}
	_, err := c.Fence(t.Context(), m, 5)
	var refused *egret.TermError
	if !errors.As(err, &refused) || refused.Granted != 7 || refused.Member != "member-1" {
		t.Errorf("Fence(5) = %v, want a refusal with term 7", err)
	}
}

func TestApplicationName(t *testing.T) {
	for _, p := range []Purpose{PurposeControl, PurposeLane, PurposeSlots} {
		name := ApplicationName("proxy-1", p)
		node, purpose, ours := ParseApplicationName(name)
		if node != "proxy-1" || purpose != p || !ours {
			t.Errorf("ParseApplicationName(%q) = %q, %q, %v", name, node, purpose, ours)
		}
	}
	if _, _, ours := ParseApplicationName("psql"); ours {
		t.Error("ParseApplicationName(psql) counts as ours")
	}
}

func TestParseLock(t *testing.T) {
	tests := []struct {
		key  int64
		name string
		slot int
		ours bool
	}{
		{key: slotKeyBase + 2, name: "egretlane/proxy-1/slots", slot: 2, ours: true},
		{key: markKeyBase + 77, name: "egretlane/proxy-1/lane", slot: 0, ours: true},
		{key: 2, name: "egretlane/proxy-1/slots"},
		{key: slotKeyBase + 2, name: "psql"},
	}
	for _, tt := range tests {
		l, ours, err := parseLock([][]byte{[]byte(fmt.Sprint(tt.key)), []byte("77"), []byte(tt.name)})
		if err != nil || ours != tt.ours || l.Slot != tt.slot {
			t.Errorf("parseLock(%d, %q) = %+v, %v, %v", tt.key, tt.name, l, ours, err)
		}
	}
}
