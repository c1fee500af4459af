package group

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// errDown is what a member that is down answers.
const errDown = errors.ConstError("the member is down")

// fakeService is a service whose members live in memory.
type fakeService struct {
	mu       sync.Mutex
	members  map[string]*fakeMember
	promoted []string
	tokens   []uint64
}

// fakeMember is a member with its log.
type fakeMember struct {
	service  *fakeService
	id       string
	role     egret.Role
	term     uint64
	position egret.Position
	down     bool

	// work is how long a statement takes, connect how long a connection does.
	work, connect time.Duration

	// frozen says that a replica receives nothing.
	frozen bool

	// mute makes a member that takes connections answer nothing.
	mute bool

	// silent makes statements that are sent go unanswered after they ran.
	silent bool

	// ran are the statements that ran, floors are what they asked for.
	ran    []string
	floors []egret.Position

	running, most int

	// connections are open, dials were made.
	connections, dials int
}

// newFakeService returns a primary "a" and replicas "b" and "c".
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
		out = append(out, egret.Backend{
			ID:      id,
			Service: "s",
			Slots:   2,
			Role:    m.role,
		})
	}
	return out
}

func (s *fakeService) member(id string, change func(m *fakeMember)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.members[id])
}

func (s *fakeService) Dial(_ context.Context, b egret.Backend) (egret.BackendConn, error) {
	c, wait, err := s.dial(b)
	if err != nil {
		return nil, err
	}
	time.Sleep(wait)
	return c, nil
}

// dial returns a connection and how long it takes to open.
func (s *fakeService) dial(b egret.Backend) (*fakeBackendConn, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[b.ID]
	if m.down || m.mute {
		return nil, 0, errDown
	}
	m.connections++
	m.dials++
	return &fakeBackendConn{
		member:  m,
		started: m.position,
		// Each handshake is a little faster than the one before.
		trip: time.Millisecond - time.Duration(m.dials)*time.Microsecond,
	}, m.connect, nil
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
		return errors.Trace(egret.ErrNotServed)
	}
	term := uint64(0)
	for _, o := range s.members {
		term = max(term, o.term)
	}
	m.role = egret.RolePrimary
	m.term = term + 1
	return nil
}

// fakeBackendConn is a connection to a fakeMember.
type fakeBackendConn struct {
	member  *fakeMember
	started egret.Position
	trip    time.Duration
	open    bool
	wrote   bool
	closed  bool
}

func (c *fakeBackendConn) Started() egret.Position  { return c.started }
func (c *fakeBackendConn) RoundTrip() time.Duration { return c.trip }

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
	if c.member.down || c.member.mute {
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
		a, err := c.one(deadline, &commands[i])
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *fakeBackendConn) one(deadline time.Time, k *egret.Command) (egret.Answer, error) {
	m, s := c.member, c.member.service
	if k.Kind == egret.CommandStatement && m.work > 0 {
		s.mu.Lock()
		m.running++
		m.most = max(m.most, m.running)
		s.mu.Unlock()
		time.Sleep(m.work)
		s.mu.Lock()
		m.running--
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.down || m.mute || c.closed {
		return egret.Answer{}, errDown
	}
	if !k.Floor.IsZero() && !m.position.Reaches(k.Floor) {
		return c.fault(egret.FaultLagging), nil
	}
	switch k.Kind {
	case egret.CommandBegin, egret.CommandBeginRead:
		c.open = true
	case egret.CommandRollback:
		c.open, c.wrote = false, false
	case egret.CommandDemote:
		m.role = egret.RoleReplica
	case egret.CommandStatement:
		m.ran = append(m.ran, k.Query.Text)
		m.floors = append(m.floors, k.Floor)
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
		if m.silent {
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

// commit adds a commit to the log, and to that of replicas that aren't frozen.
func (m *fakeMember) commit() {
	m.position = egret.Position{
		Term:   m.term,
		Offset: m.position.Offset + 1,
	}
	for _, o := range m.service.members {
		if o.role == egret.RoleReplica && !o.frozen {
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

// fakeHolding is a holding that tests switch.
type fakeHolding struct {
	mu      sync.Mutex
	invalid bool
	primary string
}

func (h *fakeHolding) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.invalid
}

func (h *fakeHolding) Left() time.Duration { return time.Second }
func (h *fakeHolding) Token() uint64       { return 7 }
func (h *fakeHolding) Holder() string      { return "node" }

func (h *fakeHolding) Primary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.primary
}

func (h *fakeHolding) SetPrimary(_ context.Context, member string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.primary = member
	return nil
}

func (h *fakeHolding) set(invalid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invalid = invalid
}

// startLane runs a lane over the service until the test ends.
func startLane(t *testing.T, s *fakeService) (*Lane, *fakeHolding) {
	t.Helper()
	h := &fakeHolding{}
	l := &Lane{
		Service:  "s",
		Dialer:   s,
		Promoter: s,
		Holding:  h,
	}
	l.Init()
	l.Configure(&egret.Pool{
		Name:        "s",
		Connections: 16,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx) }()
	return l, h
}

// led waits until the lane has a primary.
func led(t *testing.T, l *Lane) {
	t.Helper()
	eventually(t, "a primary", l.Leads)
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within 5 s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func read(id string) egret.Work {
	return egret.Work{
		Service: "s",
		Route:   "r",
		Query: egret.Query{
			ID:   id,
			Verb: egret.VerbRead,
			Text: "READ " + id,
		},
		Kind:    egret.RoutePrimary,
		Timeout: 2 * time.Second,
		Target:  time.Second,
		Idle:    time.Second,
	}
}

func write(id string) egret.Work {
	w := read(id)
	w.Query.Verb = egret.VerbWrite
	w.Query.Text = "WRITE " + id + " x"
	w.Writes = true
	return w
}
