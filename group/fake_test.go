package group

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// errDown is the error of all calls to a member that is down or unresponsive.
const errDown = errors.ConstError("the member is down")

// fakeService is a service with in-memory members. It implements egret.BackendDialer and egret.Promoter.
type fakeService struct {
	mu       sync.Mutex
	members  map[string]*fakeMember
	promoted []string
	tokens   []uint64

	// promoteDelay is how long after a call a promotion takes effect. If promoteUnanswered is set, the call gets no answer.
	promoteDelay      time.Duration
	promoteUnanswered bool
}

// fakeMember is an in-memory member. Its log is the position of its last commit.
type fakeMember struct {
	service  *fakeService
	id       string
	role     egret.Role
	term     uint64
	position egret.Position
	down     bool

	// workTime is how long a statement runs, connectTime how long opening a connection takes.
	workTime, connectTime time.Duration

	// floorWait is how long the member waits for a floor that its log lacks before it refuses the statement.
	floorWait time.Duration

	// replicationPaused stops a replica from receiving commits.
	replicationPaused bool

	// draining says that the registration reports that the member will shut down, unregistered that there is none.
	draining, unregistered bool

	// unresponsive makes a member accept connections and answer nothing.
	unresponsive bool

	// dropsAnswers makes the member run statements without answering them.
	dropsAnswers bool

	// onBegin is called before a transaction is opened. It may be nil.
	onBegin func()

	// dropsBegins makes the member give no answer when a transaction is opened.
	dropsBegins bool

	// statements are the texts of the statements that ran, floors the floors that they were sent with.
	statements []string
	floors     []egret.Position

	// running is how many statements run now, maxRunning the maximum so far.
	running, maxRunning int

	// connections is the number of open connections, dials that of all opened so far.
	connections, dials int

	// maxConnections is how many connections the member accepts if it isn't zero. refusals counts those that it refused.
	maxConnections, refusals int

	// dialing is how many connections are being opened now, maxDialing the maximum so far.
	dialing, maxDialing int

	// workspaces are those of the connections that the statements ran on.
	workspaces []string

	// shapes are the definitions of the prepared statements that ran, by the ID of the query.
	shapes map[string]egret.PreparedStatement

	// conns are the connections to the member, also closed ones.
	conns []*fakeBackendConn

	// maxPrepared is the maximum number of prepared statements on a connection so far.
	maxPrepared int
}

// newFakeService returns a service with the primary "a" and the replicas "b" and "c".
func newFakeService() *fakeService {
	s := &fakeService{
		members: map[string]*fakeMember{},
	}
	for _, id := range []string{"a", "b", "c"} {
		s.members[id] = &fakeMember{
			service:  s,
			id:       id,
			role:     egret.RoleReplica,
			term:     1,
			position: egret.Position{Term: 1, Offset: 10},
			shapes:   map[string]egret.PreparedStatement{},
		}
	}
	s.members["a"].role = egret.RolePrimary
	return s
}

func (s *fakeService) backends() []egret.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []egret.Backend{}
	for _, id := range []string{"a", "b", "c"} {
		m := s.members[id]
		if m.unregistered {
			continue
		}
		out = append(out, egret.Backend{
			ID:       id,
			Service:  "s",
			Slots:    2,
			Role:     m.role,
			Draining: m.draining,
		})
	}
	return out
}

func (s *fakeService) member(id string, change func(m *fakeMember)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.members[id])
}

func (s *fakeService) Dial(ctx context.Context, b egret.Backend, workspace string) (egret.BackendConn, error) {
	c, connectTime, err := s.dial(b)
	if err != nil {
		return nil, err
	}
	c.workspace = workspace
	s.member(b.ID, func(m *fakeMember) {
		m.dialing++
		m.maxDialing = max(m.maxDialing, m.dialing)
	})
	defer s.member(b.ID, func(m *fakeMember) { m.dialing-- })
	select {
	case <-time.After(connectTime):
		return c, nil
	case <-ctx.Done():
		c.Close()
		return nil, ctx.Err()
	}
}

// dial returns a connection and how long opening it takes.
func (s *fakeService) dial(b egret.Backend) (*fakeBackendConn, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[b.ID]
	if m.down || m.unresponsive {
		return nil, 0, errDown
	}
	if m.maxConnections > 0 && m.connections >= m.maxConnections {
		m.refusals++
		return nil, 0, &egret.RefusedError{Fault: egret.Fault{Kind: egret.FaultTooManyConnections}}
	}
	m.connections++
	m.dials++
	c := &fakeBackendConn{
		member:   m,
		started:  m.position,
		prepared: map[string]egret.PreparedStatement{},
		// Each handshake is faster than the one before, so that each connection updates the member's round-trip time.
		roundTrip: time.Millisecond - time.Duration(m.dials)*time.Microsecond,
	}
	m.conns = append(m.conns, c)
	return c, m.connectTime, nil
}

// forgetPrepared makes the member forget the prepared statements of all its connections. The caller holds the service's mu.
func (m *fakeMember) forgetPrepared() {
	for _, c := range m.conns {
		clear(c.prepared)
	}
}

func (s *fakeService) Reachable(_ context.Context, b egret.Backend) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[b.ID].down {
		return errDown
	}
	return nil
}

func (s *fakeService) Promote(_ context.Context, _, member, _ string, token uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promoted = append(s.promoted, member)
	s.tokens = append(s.tokens, token)
	m := s.members[member]
	if m.down {
		return errors.Trace(egret.ErrRefused)
	}
	if s.promoteDelay == 0 {
		m.lead()
	} else {
		time.AfterFunc(s.promoteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			m.lead()
		})
	}
	if s.promoteUnanswered {
		return errDown
	}
	return nil
}

// lead makes the member the primary of the next term, unless it leads the latest one. The caller holds the service's mu.
func (m *fakeMember) lead() {
	term := uint64(0)
	for _, o := range m.service.members {
		term = max(term, o.term)
	}
	if m.role == egret.RolePrimary && m.term == term {
		return
	}
	m.role = egret.RolePrimary
	m.term = term + 1
}

// fakeBackendConn is a connection to a fakeMember.
type fakeBackendConn struct {
	member    *fakeMember
	workspace string
	started   egret.Position
	roundTrip time.Duration
	open      bool
	wrote     bool
	closed    bool

	// prepared has the prepared statements by the names that the lane has given them.
	prepared map[string]egret.PreparedStatement
}

func (c *fakeBackendConn) InitialPosition() egret.Position { return c.started }
func (c *fakeBackendConn) RoundTrip() time.Duration        { return c.roundTrip }

func (c *fakeBackendConn) Close() {
	c.member.service.mu.Lock()
	defer c.member.service.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.member.connections--
	}
}

func (c *fakeBackendConn) Status(time.Time) (egret.BackendStatus, error) {
	s := c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.member.down || c.member.unresponsive {
		return egret.BackendStatus{}, errDown
	}
	return egret.BackendStatus{
		Role:     c.member.role,
		Term:     c.member.term,
		Received: c.member.position,
	}, nil
}

func (c *fakeBackendConn) Exchange(deadline time.Time, commands []egret.Command) ([]egret.Answer, error) {
	answers := []egret.Answer{}
	for i := range commands {
		a, err := c.execute(deadline, &commands[i])
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *fakeBackendConn) execute(deadline time.Time, k *egret.Command) (egret.Answer, error) {
	m, s := c.member, c.member.service
	if k.Kind == egret.CommandStatement && m.workTime > 0 {
		s.mu.Lock()
		m.running++
		m.maxRunning = max(m.maxRunning, m.running)
		s.mu.Unlock()
		time.Sleep(m.workTime)
		s.mu.Lock()
		m.running--
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.down || m.unresponsive || c.closed {
		return egret.Answer{}, errDown
	}
	if !k.Floor.IsZero() && !m.position.Reaches(k.Floor) {
		wait := m.floorWait
		s.mu.Unlock()
		time.Sleep(wait)
		s.mu.Lock()
	}
	if !k.Floor.IsZero() && !m.position.Reaches(k.Floor) {
		return c.fault(egret.FaultLagging), nil
	}
	switch k.Kind {
	case egret.CommandBegin, egret.CommandBeginRead:
		if m.onBegin != nil {
			m.onBegin()
		}
		c.open = true
		if m.dropsBegins {
			s.mu.Unlock()
			time.Sleep(time.Until(deadline))
			s.mu.Lock()
			return egret.Answer{}, context.DeadlineExceeded
		}
	case egret.CommandRollback:
		c.open, c.wrote = false, false
	case egret.CommandDemote:
		m.role = egret.RoleReplica
	case egret.CommandClose:
		delete(c.prepared, k.Name)
	case egret.CommandReset:
		clear(c.prepared)
	case egret.CommandPrepare:
		c.prepared[k.Name] = egret.PreparedStatement{
			Text:   k.Argument,
			Writes: k.Writes,
		}
		m.maxPrepared = max(m.maxPrepared, len(c.prepared))
	case egret.CommandStatement:
		if k.Query.Verb == egret.VerbExecute {
			shape, found := c.prepared[k.Name]
			if !found {
				return c.fault(egret.FaultNoStatement), nil
			}
			m.shapes[k.Query.ID] = shape
		}
		m.statements = append(m.statements, k.Query.Text)
		m.floors = append(m.floors, k.Floor)
		m.workspaces = append(m.workspaces, c.workspace)
		switch k.Query.Verb {
		case egret.VerbWrite:
			if m.role != egret.RolePrimary {
				return c.fault(egret.FaultReadOnly), nil
			}
			if c.open {
				c.wrote = true
			} else {
				m.commit()
			}
		case egret.VerbCommit:
			if c.wrote {
				m.commit()
			}
			c.open, c.wrote = false, false
		}
		if m.dropsAnswers {
			s.mu.Unlock()
			time.Sleep(time.Until(deadline))
			s.mu.Lock()
			return egret.Answer{}, context.DeadlineExceeded
		}
	}
	return egret.Answer{
		Signature: "sig-" + m.id,
		Status:    c.status(),
		Position:  m.position,
	}, nil
}

// commit adds a commit to the member's log and to those of the replicas that receive commits. The caller holds the
// service's mu.
func (m *fakeMember) commit() {
	m.position = egret.Position{
		Term:   m.term,
		Offset: m.position.Offset + 1,
	}
	for _, o := range m.service.members {
		if o.role == egret.RoleReplica && !o.replicationPaused {
			o.position = m.position
		}
	}
}

func (c *fakeBackendConn) status() egret.TxStatus {
	if c.open {
		return egret.TxOpen
	}
	return egret.TxIdle
}

func (c *fakeBackendConn) fault(k egret.FaultKind) egret.Answer {
	return egret.Answer{
		Fault:    egret.Fault{Kind: k},
		Status:   c.status(),
		Position: c.member.position,
	}
}

// fakeLease is an egret.ServiceLease that tests can invalidate.
type fakeLease struct {
	mu      sync.Mutex
	invalid bool
	primary string

	members []egret.KnownMember

	// uncertain says that the store was restored since the primary was recorded.
	uncertain bool
}

func (h *fakeLease) PrimaryUncertain() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.uncertain
}

func (h *fakeLease) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.invalid
}

func (h *fakeLease) Remaining() time.Duration { return time.Second }
func (h *fakeLease) FencingToken() uint64     { return 7 }
func (h *fakeLease) HolderName() string       { return "node" }

func (h *fakeLease) Primary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.primary
}

func (h *fakeLease) SetPrimary(_ context.Context, member string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.primary, h.uncertain = member, false
	return nil
}

func (h *fakeLease) Members() []egret.KnownMember {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members
}

func (h *fakeLease) SetMembers(_ context.Context, members []egret.KnownMember) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = members
	return nil
}

func (h *fakeLease) setInvalid(invalid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invalid = invalid
}

// newLane returns a lane over the service.
func newLane(s *fakeService) (*Lane, *fakeLease) {
	h := &fakeLease{}
	l := &Lane{
		Service:  "s",
		Dialer:   s,
		Promoter: s,
		Lease:    h,
	}
	l.Init()
	return l, h
}

// runLane runs the lane until the test ends.
func runLane(t *testing.T, l *Lane) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx) }()
}

// startLane runs a lane over the service until the test ends.
func startLane(t *testing.T, s *fakeService) (*Lane, *fakeLease) {
	t.Helper()
	l, h := newLane(s)
	l.Configure(&egret.Pool{
		Name:        "s",
		Connections: 16,
	})
	runLane(t, l)
	return l, h
}

// awaitPrimary waits until the lane has a primary.
func awaitPrimary(t *testing.T, l *Lane) {
	t.Helper()
	eventually(t, "a primary", l.HasPrimary)
}

// eventually waits until the condition holds, and fails the test after 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within 5 s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// read returns a read whose floor includes every acknowledged commit.
func read(id string) egret.StatementRequest {
	return egret.StatementRequest{
		Service: "s",
		Route:   "r",
		Query: egret.Query{
			ID:   id,
			Verb: egret.VerbRead,
			Text: "READ " + id,
		},
		Consistency:   egret.ConsistencyPrimary,
		Timeout:       2 * time.Second,
		LatencyTarget: time.Second,
		IdleTimeout:   time.Second,
	}
}

// write returns a write that is a transaction of its own.
func write(id string) egret.StatementRequest {
	w := read(id)
	w.Query.Verb = egret.VerbWrite
	w.Query.Text = "WRITE " + id + " x"
	w.Writes = true
	return w
}
