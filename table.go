package egret

import (
	"net/netip"
	"time"
)

// Class is a request's standing in the queue of a lane.
type Class string

// The classes of requests.
const (
	// ClassOrder goes first, up to the pool's order share.
	ClassOrder Class = "order"

	// ClassNormal shares what is left by weight.
	ClassNormal Class = "normal"

	// ClassDefer may wait: it runs when no other class does, and at the latest before its budget ends.
	ClassDefer Class = "defer"
)

// Tables is one revision of the operators' two tables.
//
// A Tables value is read-only once it is shared.
type Tables struct {
	// Revision is the store's revision of the value. A proxy takes only higher ones.
	Revision uint64

	// Routes are matched in order. The first that fits a request is taken.
	Routes []Route

	// Pools are joined to routes by name. Names are unique.
	Pools []Pool

	// Edits is the recent history, newest first.
	Edits []Edit

	// TransactionIdle is how long a transaction may rest between statements before it is rolled
	// back. Zero leaves it to the proxy's settings.
	TransactionIdle time.Duration
}

// Pool returns the pool with the name, or nil.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// RouteOf returns the first route with the database, or nil.
func (t *Tables) RouteOf(database string) *Route {
	for i := range t.Routes {
		if t.Routes[i].Database == database {
			return &t.Routes[i]
		}
	}
	return nil
}

// Route says which requests go to which pool, and what they are owed.
type Route struct {
	// Name is unique among routes.
	Name string

	// Caller is the user name that the route fits. "*" fits all.
	Caller string

	// Database is the database name that callers ask for.
	Database string

	// Kinds lists the kinds of request that the route fits. An empty list fits all.
	Kinds []string

	// Pool names the pool that serves the route.
	Pool string

	// Class is the requests' standing in the queue.
	Class Class

	// Budget bounds a request from its arrival to its answer. It is above zero.
	Budget time.Duration

	// MaxAge is the age that reads accept. Zero asks for the session's floor only.
	MaxAge time.Duration

	// Replicas allows reads to be served by replicas.
	Replicas bool

	// Repeatable says that a request with an unknown outcome may be run again.
	Repeatable bool

	// ConfirmWait bounds the wait for a second member to confirm a write. Beyond it the outcome
	// is unknown.
	ConfirmWait time.Duration

	// Kind says how fresh reads are on the routes of service groups. MaxAge bounds RouteBounded and
	// RouteSession.
	Kind RouteKind

	// Target is the latency objective of a whole operation. Budget bounds a single statement there.
	Target time.Duration

	// Priority orders the routes of service groups in the queue; 0 is the highest.
	Priority int
}

// Pool says which backend servers serve and how much each may take.
type Pool struct {
	// Name is unique among pools.
	Name string

	// Database is the database on the members. If empty, it is the one of the proxy's settings.
	Database string

	// Slots is how many statements a member runs at once.
	Slots int

	// Connections is how many connections a member takes in all.
	Connections int

	// Reserve is how many of Connections no lane uses for transactions. It keeps room for
	// control connections and for the overlap of two lanes.
	Reserve int

	// Queue is how many transactions may wait at a lane.
	Queue int

	// OrderShare is the part of the slots, in percent, that class order may take while others wait.
	OrderShare int

	// Weights gives callers a share other than 1.
	Weights []Weight

	// Groups are the database groups of the pool. Names are unique among all pools.
	Groups []Group

	// SyncReplicas is how many replicas have a commit before the primary acknowledges it.
	SyncReplicas int
}

// Weight is a caller's share of a lane.
type Weight struct {
	// Caller is the user name.
	Caller string

	// Weight is above zero.
	Weight int
}

// WeightOf returns the caller's share of the pool's lanes.
func (p *Pool) WeightOf(caller string) int {
	for _, w := range p.Weights {
		if w.Caller == caller {
			return w.Weight
		}
	}
	return 1
}

// Group is a database group: members that replicate one log.
type Group struct {
	// Name is unique among all pools.
	Name string

	// Members has at least one member. Promotion and confirmation need three.
	Members []Member
}

// Member returns the member with the name, or nil.
func (g *Group) Member(name string) *Member {
	for i := range g.Members {
		if g.Members[i].Name == name {
			return &g.Members[i]
		}
	}
	return nil
}

// Member is a backend server of a group.
type Member struct {
	// Name is unique among all groups.
	Name string

	// Address is where the member speaks the PostgreSQL protocol.
	Address netip.AddrPort

	// Region is the member's region.
	Region string

	// Domain is the member's failure domain.
	Domain string

	// Leaving says that the member gets no new work.
	Leaving bool
}

// Edit is one change of the tables.
type Edit struct {
	// ID is chosen by the editor and unique. A lost answer is settled by looking for it.
	ID string

	// Author is who made the change.
	Author string

	// Time is when the editor made the change, by the editor's clock.
	Time time.Time

	// Summary says what changed, in one line.
	Summary string
}
