package egret

import (
	"net/netip"
	"time"
)

// Class is the scheduling class of a request in the queue of a lane.
type Class string

// Classes of requests.
const (
	// ClassOrder is scheduled first, up to the pool's order share.
	ClassOrder Class = "order"

	// ClassNormal shares the remaining slots by the callers' weights.
	ClassNormal Class = "normal"

	// ClassDeferrable is for requests that can wait. They run when no other class has requests, and at the
	// latest before their budget ends.
	ClassDeferrable Class = "defer"
)

// Tables is one revision of the two tables that operators edit: routes and pools.
//
// A Tables must not change once it is shared.
type Tables struct {
	// Revision is the revision of the value in the store. A proxy applies only higher revisions than
	// its own.
	Revision uint64

	// Routes are matched in order. The first route that matches a request is used.
	Routes []Route

	// Pools have unique names, which the routes refer to.
	Pools []Pool

	// Edits are the latest changes of the tables, newest first.
	Edits []Edit

	// TransactionIdleTimeout limits the time that a transaction may be idle between statements before it is
	// rolled back. If it is zero, the proxy's settings apply.
	TransactionIdleTimeout time.Duration

	// HasWorkspaces is set if callers have to identify their workspace. Otherwise Workspaces is empty and every caller
	// is accepted.
	HasWorkspaces bool

	// Workspaces have unique names.
	Workspaces []Workspace

	// workspaceIndex has the place in Workspaces of each credential. It is nil before IndexWorkspaces.
	workspaceIndex map[Credential]int
}

// Pool returns the pool with the name, or nil if there is none.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// RouteForDatabase returns the first route for the database, or nil if there is none.
func (t *Tables) RouteForDatabase(database string) *Route {
	for i := range t.Routes {
		if t.Routes[i].Database == database {
			return &t.Routes[i]
		}
	}
	return nil
}

// Route assigns requests to a pool and sets their limits and guarantees.
type Route struct {
	// Name is unique among all routes.
	Name string

	// Caller is the user name that the route matches. "*" matches all.
	Caller string

	// Database is the database name that callers request.
	Database string

	// RequestKinds lists the kinds of requests that the route matches. An empty list matches all.
	RequestKinds []string

	// Pool is the name of the pool that serves the route.
	Pool string

	// Class is the scheduling class of the requests.
	Class Class

	// Budget limits the time of a request from its arrival to its answer. It is above zero.
	Budget time.Duration

	// MaxAge is the maximum age of the data that reads accept. If it is zero, only the session's
	// floor applies.
	MaxAge time.Duration

	// AllowReplicas allows reads to be served by replicas.
	AllowReplicas bool

	// Retryable allows a request whose outcome is unknown to be retried.
	Retryable bool

	// ConfirmTimeout limits how long a write waits for its confirmation by a second member. After that
	// time the outcome is unknown.
	ConfirmTimeout time.Duration

	// Consistency is the consistency of reads on the routes of service groups, whose statements all go through
	// the holder of the service (see package fleet). MaxAge is the staleness bound for the levels other than
	// primary.
	Consistency Consistency

	// LatencyTarget is the latency objective of a whole operation on the routes of service groups. There,
	// Budget limits a single statement.
	LatencyTarget time.Duration

	// Priority orders requests in the queue on the routes of service groups; 0 is the highest.
	Priority int

	// Public admits callers without a workspace. It has no effect unless Tables.HasWorkspaces is set.
	Public bool
}

// Pool is a set of database groups with the limits for their backend servers.
type Pool struct {
	// Name is unique among all pools.
	Name string

	// Database is the database name on the members. If it is empty, the name in the proxy's settings
	// is used.
	Database string

	// Slots is how many statements a member runs concurrently.
	Slots int

	// Connections is the maximum number of connections to a member.
	Connections int

	// ReservedConnections is how many of Connections lanes must not use for transactions. These are kept for
	// control connections and for the time in which two lanes of a member overlap.
	ReservedConnections int

	// QueueLimit is the maximum number of transactions that wait at a lane.
	QueueLimit int

	// OrderSharePercent is the percentage of the slots that requests of class order may use while other
	// classes wait.
	OrderSharePercent int

	// Weights lists the callers whose weight is not 1, or the workspaces if Tables.HasWorkspaces is set.
	Weights []Weight

	// Groups are the database groups of the pool. Their names are unique among all pools.
	Groups []Group

	// SyncReplicas is how many replicas must have a commit before the primary acknowledges it.
	SyncReplicas int
}

// Weight is the relative share of a lane that a caller or a workspace gets.
type Weight struct {
	// Caller is the caller's user name, or the name of the workspace.
	Caller string

	// Weight is above zero.
	Weight int
}

// WeightOf returns the caller's weight, which is 1 if none is set.
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

	// Members has at least one member. Promotion and the confirmation of writes need at least three.
	Members []Member
}

// Member returns the member with the name, or nil if there is none.
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

	// Address is where the member accepts connections with the PostgreSQL protocol.
	Address netip.AddrPort

	// Region is the member's region.
	Region string

	// Domain is the member's failure domain.
	Domain string

	// Leaving is set if the member must not get new requests.
	Leaving bool
}

// Edit records one change of the tables.
type Edit struct {
	// ID is a unique ID chosen by the editor. If the response to a change is lost, the editor looks
	// for the ID in the tables to learn whether the change was made.
	ID string

	// Author is the person who made the change.
	Author string

	// Time is the time of the change by the editor's clock.
	Time time.Time

	// Summary describes the change in one line.
	Summary string
}
