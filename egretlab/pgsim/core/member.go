package core

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// idleWait is how long the applier sleeps when nothing waits to be applied. A change wakes it.
const idleWait = time.Hour

// Member is the state of one database member. Its exported fields are set before Open.
type Member struct {
	// Name is the member's name.
	Name string

	// Folder is where the log and the grant are kept. An empty Folder keeps them in memory.
	Folder string

	// Initial is what the member is when its folder holds no grant yet.
	Initial walog.Grant

	// Lag is how long a replica keeps an entry before it applies it. SetLag changes it later.
	Lag time.Duration

	// LockWait bounds the wait for a row's lock.
	LockWait time.Duration

	// Now is the clock.
	Now func() time.Time

	// mu guards the fields below.
	mu sync.Mutex

	// grant is what the folder holds.
	grant walog.Grant

	// log ends at the received position.
	log walog.Log

	// applied is the position that rows stands for. It never passes the end of the log, and on a
	// primary it is the end of the log.
	applied egret.Position

	// arrivals holds when each entry beyond applied was received, in the log's order.
	arrivals []time.Time

	// rows is the table of orders, from id to item.
	rows map[string]string

	// locks holds the transaction that may write a row, from the row's id.
	locks map[string]*Transaction

	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

// State is what a member says of itself.
type State struct {
	// Grant is the member's role and term.
	Grant walog.Grant

	// Received is the end of the log.
	Received egret.Position

	// Applied is what reads see. It never passes Received.
	Applied egret.Position
}

// Open recovers the member from its folder. All that the log holds is applied.
func (m *Member) Open() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.Folder = m.Folder
	if err := m.log.Open(); err != nil {
		return errors.Trace(err)
	}
	g, err := walog.LoadGrant(m.Folder, m.Initial)
	if err != nil {
		return errors.Trace(err)
	}
	m.grant = g
	m.changed = make(chan struct{})
	m.locks = make(map[string]*Transaction)
	m.rebuild(m.log.End().Offset)
	if err := walog.SaveGrant(m.Folder, g); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(m.openTerm())
}

// Close closes the log.
func (m *Member) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return errors.Trace(m.log.Close())
}

// Run applies received entries when they are old enough. It returns when the context ends.
func (m *Member) Run(ctx context.Context) {
	for {
		wait, changed := m.ApplyDue()
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// ApplyDue applies the entries that are old enough. It returns how long the next one has to wait,
// and a channel that is closed at the next change.
func (m *Member) ApplyDue() (time.Duration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	due := 0
	for due < len(m.arrivals) && now.Sub(m.arrivals[due]) >= m.Lag {
		due++
	}
	m.apply(due)
	if len(m.arrivals) == 0 {
		return idleWait, m.changed
	}
	return m.Lag - now.Sub(m.arrivals[0]), m.changed
}

// SetLag changes the lag, also of entries that wait already.
func (m *Member) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Lag = lag
	m.notify()
}

// State returns the member's state now.
func (m *Member) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state()
}

// Changed returns a channel that is closed at the next change of the member's state.
func (m *Member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Entries returns the log beyond the offset. The caller must not change it.
func (m *Member) Entries(offset uint64) []walog.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.From(offset)
}

func (m *Member) state() State {
	return State{
		Grant:    m.grant,
		Received: m.log.End(),
		Applied:  m.applied,
	}
}

// notify wakes all who wait for a change.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// apply applies the next count entries of those that wait.
func (m *Member) apply(count int) {
	if count == 0 {
		return
	}
	for _, e := range m.log.From(m.applied.Offset)[:count] {
		m.applyEntry(e)
	}
	m.arrivals = m.arrivals[count:]
	m.notify()
}

func (m *Member) applyEntry(e walog.Entry) {
	for _, c := range e.Changes {
		if c.Operation == walog.Delete {
			delete(m.rows, c.ID)
			continue
		}
		m.rows[c.ID] = c.Item
	}
	m.applied = e.Position()
}

// rebuild makes the rows from the log up to the offset.
func (m *Member) rebuild(offset uint64) {
	m.rows = make(map[string]string)
	m.applied = egret.Position{}
	m.arrivals = nil
	for _, e := range m.log.From(0)[:offset] {
		m.applyEntry(e)
	}
}

// openTerm writes the entry that opens a primary's term, unless the log has it. A member may have
// ended between its promotion and the entry.
func (m *Member) openTerm() error {
	if m.grant.Role != egret.RolePrimary || m.log.End().Term == m.grant.Term {
		return nil
	}
	return m.append(walog.Entry{
		Kind: walog.KindOpening,
		Origin: walog.Origin{
			Member: m.Name,
		},
	})
}

// append writes an entry of the primary's term and applies it.
func (m *Member) append(e walog.Entry) error {
	e.Term = m.grant.Term
	e.Offset = m.log.End().Offset + 1
	e.Time = m.Now().UTC()
	if err := m.log.Append(e); err != nil {
		return errors.Trace(err)
	}
	m.applyEntry(e)
	m.notify()
	return nil
}

// setGrant keeps a grant and then takes it on.
func (m *Member) setGrant(g walog.Grant) error {
	if err := walog.SaveGrant(m.Folder, g); err != nil {
		return Refuse(CodeStorage, "%s", err)
	}
	m.grant = g
	m.notify()
	log.Info().Str("member", m.Name).Str("role", string(g.Role)).Uint64("term", g.Term).
		Str("upstream", formatAddress(g.Upstream)).Str("log-end", m.log.End().String()).Msg("role changed")
	return nil
}

// Orders returns how many rows reads see.
func (m *Member) Orders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}
