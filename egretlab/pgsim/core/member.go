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

// idleInterval is how long Run sleeps when there is no entry to apply. A change wakes it earlier.
const idleInterval = time.Hour

// Member is the state of one database member. Its exported fields must be set before Open.
type Member struct {
	// Name is the member's name.
	Name string

	// Folder is where the log and the grant are stored. If empty, they are kept in memory.
	Folder string

	// InitialGrant is the member's grant when its folder holds none yet.
	InitialGrant walog.Grant

	// Lag is the delay between receiving and applying an entry on a replica. SetLag changes it later.
	Lag time.Duration

	// LockTimeout is the timeout for a row lock.
	LockTimeout time.Duration

	// Now returns the current time.
	Now func() time.Time

	// mu guards the fields below.
	mu sync.Mutex

	// grant is the member's current term and role, as stored in the folder.
	grant walog.Grant

	// log ends at the received position.
	log walog.Log

	// applied is the position of the last entry applied to rows. It is never beyond the end of the log;
	// on a primary it is the end of the log.
	applied egret.Position

	// receivedAt holds the receive time of each entry after applied, in log order.
	receivedAt []time.Time

	// rows is the table of orders: the item by id.
	rows map[string]string

	// rowLocks holds the transaction that has locked a row, by the row's id.
	rowLocks map[string]*Transaction

	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

// State is a snapshot of a member's role and positions.
type State struct {
	// Grant is the member's role and term.
	Grant walog.Grant

	// Received is the position of the last entry in the log.
	Received egret.Position

	// Applied is the position up to which reads see the log. It is never beyond Received.
	Applied egret.Position
}

// Open recovers the member from its folder and applies all entries of the log.
func (m *Member) Open() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.Folder = m.Folder
	if err := m.log.Open(); err != nil {
		return errors.Trace(err)
	}
	g, err := walog.LoadGrant(m.Folder, m.InitialGrant)
	if err != nil {
		return errors.Trace(err)
	}
	m.grant = g
	m.changed = make(chan struct{})
	m.rowLocks = make(map[string]*Transaction)
	m.replay(m.log.End().Offset)
	if err := walog.SaveGrant(m.Folder, g); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(m.ensureOpening())
}

// Close closes the log.
func (m *Member) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return errors.Trace(m.log.Close())
}

// Run applies received entries when the lag has passed. It returns when the context is done.
func (m *Member) Run(ctx context.Context) {
	for {
		next, changed := m.ApplyDue()
		t := time.NewTimer(next)
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

// ApplyDue applies the entries whose lag has passed. It returns the time until the next entry is due and
// a channel that is closed at the next change.
func (m *Member) ApplyDue() (time.Duration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	due := 0
	for due < len(m.receivedAt) && now.Sub(m.receivedAt[due]) >= m.Lag {
		due++
	}
	m.applyNext(due)
	if len(m.receivedAt) == 0 {
		return idleInterval, m.changed
	}
	return m.Lag - now.Sub(m.receivedAt[0]), m.changed
}

// SetLag changes the lag, also for entries that are received but not applied.
func (m *Member) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Lag = lag
	m.notifyChanged()
}

// State returns the member's current state.
func (m *Member) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateLocked()
}

// Changed returns a channel that is closed at the next change of the member's state.
func (m *Member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// EntriesAfter returns the log entries after the offset. The caller must not modify them.
func (m *Member) EntriesAfter(offset uint64) []walog.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.EntriesAfter(offset)
}

// stateLocked is State with m.mu held.
func (m *Member) stateLocked() State {
	return State{
		Grant:    m.grant,
		Received: m.log.End(),
		Applied:  m.applied,
	}
}

// notifyChanged wakes all goroutines that wait on Changed. m.mu must be held.
func (m *Member) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// applyNext applies the next count entries after the applied position. m.mu must be held.
func (m *Member) applyNext(count int) {
	if count == 0 {
		return
	}
	for _, e := range m.log.EntriesAfter(m.applied.Offset)[:count] {
		m.applyEntry(e)
	}
	m.receivedAt = m.receivedAt[count:]
	m.notifyChanged()
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

// replay rebuilds the rows from the log entries up to the offset. m.mu must be held.
func (m *Member) replay(offset uint64) {
	m.rows = make(map[string]string)
	m.applied = egret.Position{}
	m.receivedAt = nil
	for _, e := range m.log.EntriesAfter(0)[:offset] {
		m.applyEntry(e)
	}
}

// ensureOpening appends the opening entry of a primary's term, unless the log has it. The entry is missing
// if the process ended after it saved the promotion and before it wrote the entry. m.mu must be held.
func (m *Member) ensureOpening() error {
	if m.grant.Role != egret.RolePrimary || m.log.End().Term == m.grant.Term {
		return nil
	}
	return m.appendEntry(walog.Entry{
		Kind: walog.KindOpening,
		Origin: walog.Origin{
			Member: m.Name,
		},
	})
}

// appendEntry appends an entry in the primary's term and applies it. m.mu must be held.
func (m *Member) appendEntry(e walog.Entry) error {
	e.Term = m.grant.Term
	e.Offset = m.log.End().Offset + 1
	e.Time = m.Now().UTC()
	if err := m.log.Append(e); err != nil {
		return errors.Trace(err)
	}
	m.applyEntry(e)
	m.notifyChanged()
	return nil
}

// setGrant stores a grant in the folder and then makes it the current one. m.mu must be held.
func (m *Member) setGrant(g walog.Grant) error {
	if err := walog.SaveGrant(m.Folder, g); err != nil {
		return Errorf(CodeIOError, "%s", err)
	}
	m.grant = g
	m.notifyChanged()
	log.Info().Str("member", m.Name).Str("role", string(g.Role)).Uint64("term", g.Term).
		Str("upstream", formatAddress(g.Upstream)).Str("log-end", m.log.End().String()).Msg("role changed")
	return nil
}

// OrderCount returns the number of rows visible to reads.
func (m *Member) OrderCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}
