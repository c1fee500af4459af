package dbsim

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

const (
	// tickInterval is the interval between two rounds of replication, and between two polls of a wait.
	tickInterval = 2 * time.Millisecond

	// demotionDelay is how long a primary stays one after it can reach a primary of a later term.
	demotionDelay = time.Second

	// rollbackDuration is how long a member refuses statements after its log was truncated.
	rollbackDuration = 100 * time.Millisecond
)

// Group is a database group: the primary of a service and its replicas.
type Group struct {
	// Service is the name of the service, which is also that of the group.
	Service string

	// Members has all members, running or not. The first starts as primary.
	Members []*Member

	// Slots is the number of statements that a member runs at once, Connections the number of connections
	// that it accepts.
	Slots, Connections int

	// ConnectCost is how long a new connection occupies a slot.
	ConnectCost time.Duration

	// StatementCost is how long a statement takes to run, with its slot occupied.
	StatementCost time.Duration

	// LongRate is the ratio of statements that take LongCost in addition, from 0 to 1.
	LongRate float64
	LongCost time.Duration

	// ReplicationDelay is the delay from the commit of a log entry until a replica receives it.
	ReplicationDelay time.Duration

	// ApplyDelay is the delay from the receipt of a log entry by a replica until it is applied.
	ApplyDelay time.Duration

	// PromotionDelay is the delay from a call of Promote to the start of the next term.
	PromotionDelay time.Duration

	// SyncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	SyncReplicas int

	// Observer is told of the statements, commits and promotions of the group.
	Observer Observer

	// mu guards the fields below and all state of the members. It is taken before any lock of the observer.
	mu sync.Mutex

	// term is the latest term that was assigned. It starts when the promotion takes effect.
	term uint64

	// termStarts has the start of each term but the first: the length of the promoted member's log.
	termStarts map[uint64]uint64

	// statements is the number of statements so far. It numbers transactions and makes signatures unique.
	statements uint64
}

// Observer observes the members of groups. Its methods are called with the group's lock held, so they must
// not call methods of the group or its members.
type Observer interface {
	// Executed is called for each read, write and commit of a caller before it is answered.
	Executed(r Execution)

	// Committed is called for each commit with writes when it is appended to a primary's log.
	Committed(c Commit)

	// Promoted is called when a new term starts.
	Promoted(p Promotion)
}

// Execution is the execution of a statement by a member.
type Execution struct {
	// Service and Member identify the member that ran it.
	Service, Member string

	// ID and Text are those of the query as received.
	ID, Text string

	// Workspace is the name that the connection was opened with.
	Workspace string

	// Shape is the text of the prepared statement that was executed, or empty.
	Shape string

	// Values has the session variables of the connection.
	Values map[string]string

	// Transaction is the number of the connection's open transaction, or 0.
	Transaction uint64

	// Reads says that the statement read from the state that the member has applied.
	Reads bool

	// Holds reports whether the state that the member has applied includes a position. It must not be
	// called after Executed has returned.
	Holds func(p egret.Position) bool

	// Rows and Signature are the answer. They are empty if the statement failed.
	Rows      []string
	Signature string

	// Fault is the error that was answered, its code first, or empty.
	Fault string
}

// Commit is a commit with at least one write.
type Commit struct {
	// Service and Member identify the member that committed it.
	Service, Member string

	// ID is the ID of the COMMIT, or of the write outside a transaction.
	ID string

	// Position is the position of the commit in the log.
	Position egret.Position

	// Superseded says that a member was already primary in a later term.
	Superseded bool
}

// Promotion is the start of a term.
type Promotion struct {
	// Service and Member identify the new primary.
	Service, Member string

	// Term is the new term.
	Term uint64

	// KeptEntries is the number of entries in the new primary's log. Later entries of the old primary are lost.
	KeptEntries uint64
}

// Entry is a log entry: one commit.
type Entry struct {
	// ID is the ID of the COMMIT, or of the write outside a transaction.
	ID string

	// Writes has the changes of the commit in the order of their statements.
	Writes []Write

	// term is the term of the commit.
	term uint64

	// committedAt is the time of the commit.
	committedAt time.Time
}

// Write sets an item to a value.
type Write struct {
	// Item is the key, Data the new value.
	Item, Data string
}

// Open starts all members.
func (g *Group) Open(ctx context.Context) error {
	g.mu.Lock()
	g.term = 1
	g.termStarts = map[uint64]uint64{}
	for i, m := range g.Members {
		m.group = g
		m.term = 1
		m.isPrimary = i == 0
		m.state = map[string]string{}
	}
	g.mu.Unlock()
	for _, m := range g.Members {
		if err := m.Start(ctx, false); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Run replicates the log until the context ends, and then stops all members.
func (g *Group) Run(ctx context.Context) {
	defer func() {
		for _, m := range g.Members {
			m.Crash()
		}
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.replicate(now)
		}
	}
}

// replicate does one round of replication: replicas receive and apply log entries, and superseded
// primaries are demoted.
func (g *Group) replicate(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.Members {
		if !m.running {
			continue
		}
		primary := g.reachablePrimary(m)
		if m.isPrimary {
			g.demoteSuperseded(m, primary, now)
			continue
		}
		if primary != nil && m.pausedTerm == 0 && !m.faults.ReplicationStopped {
			m.receive(primary, now)
		}
		m.applyDue(now)
	}
}

// reachablePrimary returns the other primary with the latest term that the member can reach, or nil if
// there is none of the member's term or later. The caller holds mu.
func (g *Group) reachablePrimary(m *Member) *Member {
	var primary *Member
	for _, o := range g.Members {
		if o != m && o.running && o.isPrimary && !o.faults.Isolated && !m.faults.Isolated && o.term >= m.term && (primary == nil || o.term > primary.term) {
			primary = o
		}
	}
	return primary
}

// demoteSuperseded demotes a primary that has been able to reach one of a later term for demotionDelay.
// The caller holds mu.
func (g *Group) demoteSuperseded(m, primary *Member, now time.Time) {
	switch {
	case primary == nil || primary.term <= m.term:
		m.newerReachableSince = time.Time{}
	case m.newerReachableSince.IsZero():
		m.newerReachableSince = now
	case now.Sub(m.newerReachableSince) >= demotionDelay:
		m.demote()
	}
}

// Promote makes the member with the ID the primary of the next term, some time after the call. It returns
// false if no such member runs. It does nothing if the member is the primary of the latest term.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.Members {
		if m.id != id || !m.running {
			continue
		}
		if !m.isPrimary || m.term < g.term {
			g.term++
			term := g.term
			time.AfterFunc(g.PromotionDelay, func() {
				g.startTerm(m, id, term)
			})
		}
		return true
	}
	return false
}

// startTerm makes the member the primary of the term, unless its process has ended since the call of
// Promote or it has reached that term already.
func (g *Group) startTerm(m *Member, id string, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.running || m.id != id || m.term >= term {
		return
	}
	m.term = term
	m.isPrimary = true
	m.pausedTerm = 0
	m.newerReachableSince = time.Time{}
	m.applyAll()
	g.termStarts[term] = uint64(len(m.log))
	g.Observer.Promoted(Promotion{
		Service:     g.Service,
		Member:      m.id,
		Term:        term,
		KeptEntries: uint64(len(m.log)),
	})
}

// replicasWith returns the number of running replicas with the entry at the position, counted from 1, in
// their log. The caller holds mu.
func (g *Group) replicasWith(e *Entry, offset int) int {
	n := 0
	for _, m := range g.Members {
		if m.running && !m.isPrimary && len(m.log) >= offset && m.log[offset-1] == e {
			n++
		}
	}
	return n
}

// Primary returns the running primary with the latest term, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var primary *Member
	for _, m := range g.Members {
		if m.running && m.isPrimary && (primary == nil || m.term > primary.term) {
			primary = m
		}
	}
	return primary
}

// PromotionCount returns the number of terms that have started after the first.
func (g *Group) PromotionCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.termStarts)
}

// Log returns a copy of the log of the primary with the latest term, running or not.
func (g *Group) Log() []*Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var primary *Member
	for _, m := range g.Members {
		if m.isPrimary && (primary == nil || m.term > primary.term) {
			primary = m
		}
	}
	if primary == nil {
		return nil
	}
	return append([]*Entry{}, primary.log...)
}
