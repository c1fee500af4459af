package lane

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
)

// fakeMember is a member that speaks the PostgreSQL protocol and knows a few statements by their
// first words:
//
//	SELECT lost   is lost, with all that follows on the connection
//	SELECT hang   gives no answer until it is cancelled
//	SELECT cut    closes the connection in the middle of a row
//	INSERT cut    writes, and closes the connection without an answer
//	INSERT        writes
//	FAIL code     fails with the SQLSTATE
//	SELECT        returns the rest of the text
type fakeMember struct {
	address netip.AddrPort

	// statementDelay is how long a statement takes.
	statementDelay time.Duration

	mu       sync.Mutex
	state    egret.MemberState
	sessions map[uint32]*fakeSession
	locks    map[string]uint32
	next     uint32

	// ran has the statements that ran, parsed the names of those that were prepared.
	ran, parsed []string

	// running is how many statements run now, peak how many ran at once at most.
	running, peak int
}

// fakeSession is one connection.
type fakeSession struct {
	member   *fakeMember
	process  uint32
	name     string
	conn     net.Conn
	backend  *pgproto3.Backend
	canceled chan struct{}
	prepared map[string]string
	bound    string
	readOnly bool
	skip     bool
	silent   bool

	// simple says that a simple query runs, whose rows get a description.
	simple bool

	status byte
}

func newFakeMember(t *testing.T) *fakeMember {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMember{
		address: netip.MustParseAddrPort(l.Addr().String()),
		state: egret.MemberState{
			Member:      "member-1",
			Role:        egret.RolePrimary,
			GrantedTerm: 1,
			Received: egret.Position{
				Term:   1,
				Offset: 1,
			},
			Applied: egret.Position{
				Term:   1,
				Offset: 1,
			},
		},
		sessions: map[uint32]*fakeSession{},
		locks:    map[string]uint32{},
	}
	t.Cleanup(func() {
		l.Close()
		m.endAll("")
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

// endAll closes the connections whose application name has the suffix.
func (m *fakeMember) endAll(suffix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		if strings.HasSuffix(s.name, suffix) {
			s.conn.Close()
		}
	}
}

func (m *fakeMember) serve(c net.Conn) {
	defer c.Close()
	s := &fakeSession{
		member:   m,
		conn:     c,
		backend:  pgproto3.NewBackend(c, c),
		canceled: make(chan struct{}, 1),
		prepared: map[string]string{},
		status:   'I',
	}
	first, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	switch first := first.(type) {
	case *pgproto3.CancelRequest:
		m.cancel(first.ProcessID)
		return
	case *pgproto3.StartupMessage:
		s.name = first.Parameters["application_name"]
	}
	m.mu.Lock()
	m.next++
	s.process = m.next
	m.sessions[s.process] = s
	m.mu.Unlock()
	defer m.forget(s)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: s.process,
		SecretKey: []byte("none"),
	})
	s.ready()
	for s.backend.Flush() == nil {
		message, err := s.backend.Receive()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

func (m *fakeMember) cancel(process uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessions[process]; s != nil {
		select {
		case s.canceled <- struct{}{}:
		default:
		}
	}
}

func (m *fakeMember) forget(s *fakeSession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.process)
	for k, p := range m.locks {
		if p == s.process {
			delete(m.locks, k)
		}
	}
}

func (s *fakeSession) ready() {
	s.backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: s.status,
	})
}

// handle answers a message. It returns false if the connection has to be closed.
func (s *fakeSession) handle(message pgproto3.FrontendMessage) bool {
	if _, sync := message.(*pgproto3.Sync); s.silent || s.skip && !sync {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Sync:
		s.skip = false
		s.ready()
	case *pgproto3.Query:
		if m.String == "SELECT lost" {
			s.silent = true
			return true
		}
		s.simple = true
		defer func() {
			s.simple = false
		}()
		for _, q := range strings.Split(m.String, "; ") {
			if alive := s.run(q); !alive {
				return false
			}
		}
		s.skip = false
		s.ready()
	case *pgproto3.Parse:
		s.prepared[m.Name] = m.Query
		if m.Name != "" {
			s.member.mu.Lock()
			s.member.parsed = append(s.member.parsed, m.Name)
			s.member.mu.Unlock()
		}
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		s.bound = s.prepared[m.PreparedStatement]
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		s.backend.Send(&pgproto3.NoData{})
	case *pgproto3.Close:
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Execute:
		return s.run(s.bound)
	}
	return true
}

// run runs a statement. The platform's functions and the statements of locks don't count as
// running.
func (s *fakeSession) run(query string) bool {
	m := s.member
	m.mu.Lock()
	if s.runFunction(query) {
		m.mu.Unlock()
		return true
	}
	m.ran = append(m.ran, query)
	m.running++
	m.peak = max(m.peak, m.running)
	m.mu.Unlock()
	defer m.updateState(func(*egret.MemberState) {
		m.running--
	})
	time.Sleep(m.statementDelay)
	return s.runStatement(query)
}

// runFunction answers the platform's functions. The caller holds the member's lock.
func (s *fakeSession) runFunction(query string) bool {
	m := s.member
	arguments := argumentsOf(query)
	switch {
	case strings.Contains(query, "platform.status"):
		s.row("SELECT 1", m.stateRow()...)
	case strings.Contains(query, "platform.require"):
		floor := egret.Position{}
		fmt.Sscanf(arguments, "%d, %d", &floor.Term, &floor.Offset)
		if !m.state.Applied.Reaches(floor) {
			s.fail("EL001")
			return true
		}
		s.row("SELECT 1", "t")
	case strings.Contains(query, "pg_try_advisory_lock"):
		_, taken := m.locks[arguments]
		if !taken {
			m.locks[arguments] = s.process
		}
		s.row("SELECT 1", fmt.Sprint(!taken))
	case strings.Contains(query, "pg_advisory_unlock"):
		delete(m.locks, arguments)
		s.row("SELECT 1", "t")
	case strings.Contains(query, "platform.locks"):
		s.describe(3)
		for k, p := range m.locks {
			s.backend.Send(rowOf(k, fmt.Sprint(p), m.sessions[p].name))
		}
		s.backend.Send(&pgproto3.CommandComplete{
			CommandTag: []byte("SELECT 1"),
		})
	case strings.Contains(query, "pg_terminate_backend"):
		process := uint32(0)
		fmt.Sscan(arguments, &process)
		if other := m.sessions[process]; other != nil {
			other.conn.Close()
			close(other.canceled)
		}
		s.row("SELECT 1", "t")
	case strings.HasPrefix(query, "SET "):
		s.readOnly = strings.HasSuffix(query, "on")
		s.tag("SET")
	default:
		return false
	}
	return true
}

func (s *fakeSession) runStatement(query string) bool {
	switch {
	case query == "SELECT hang":
		<-s.canceled
		s.fail("57014")
	case query == "SELECT cut":
		s.conn.Write([]byte{'D', 0, 0, 0, 50, 0})
		return false
	case strings.HasPrefix(query, "FAIL "):
		s.fail(strings.TrimPrefix(query, "FAIL "))
	case query == "BEGIN":
		s.status = 'T'
		s.tag("BEGIN")
	case query == "COMMIT", query == "ROLLBACK":
		s.status = 'I'
		s.tag(query)
	case strings.HasPrefix(query, "INSERT"):
		if s.readOnly {
			s.fail("25006")
			return true
		}
		s.member.updateState(func(m *egret.MemberState) {
			m.Received.Offset++
			m.Applied = m.Received
		})
		if query == "INSERT cut" {
			return false
		}
		s.tag("INSERT 0 1")
	default:
		s.row("SELECT 1", strings.TrimPrefix(query, "SELECT "))
	}
	return true
}

// updateState changes the member's state.
func (m *fakeMember) updateState(update func(s *egret.MemberState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update(&m.state)
}

func (s *fakeSession) fail(code string) {
	if s.status == 'T' {
		s.status = 'E'
	}
	s.skip = true
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     code,
		Message:  "refused",
	})
}

func (s *fakeSession) tag(tag string) {
	s.backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	})
}

func (s *fakeSession) row(tag string, values ...string) {
	s.describe(len(values))
	s.backend.Send(rowOf(values...))
	s.tag(tag)
}

func (s *fakeSession) describe(columns int) {
	if s.simple {
		s.backend.Send(&pgproto3.RowDescription{
			Fields: make([]pgproto3.FieldDescription, columns),
		})
	}
}

func rowOf(values ...string) *pgproto3.DataRow {
	row := &pgproto3.DataRow{}
	for _, v := range values {
		row.Values = append(row.Values, []byte(v))
	}
	return row
}

// stateRow returns the member's state as a row. The caller holds the member's lock.
func (m *fakeMember) stateRow() []string {
	s := m.state
	return []string{s.Member, string(s.Role), fmt.Sprint(s.GrantedTerm), fmt.Sprint(s.Received.Term),
		fmt.Sprint(s.Received.Offset), fmt.Sprint(s.Applied.Term), fmt.Sprint(s.Applied.Offset), "", "f", "1", fmt.Sprint(m.running)}
}

// argumentsOf returns the contents of the first parentheses.
func argumentsOf(query string) string {
	_, rest, _ := strings.Cut(query, "(")
	arguments, _, _ := strings.Cut(rest, ")")
	return arguments
}
