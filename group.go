package egret

import (
	"context"
	"net/netip"
	"time"
)

// Role is a member's role in its group.
type Role string

// Roles of a member.
const (
	// RolePrimary accepts writes in the term in which it was promoted.
	RolePrimary Role = "primary"

	// RoleReplica replicates from a primary and serves reads.
	RoleReplica Role = "replica"

	// RoleFenced has granted a new term and waits to be promoted or to be given a primary to follow.
	RoleFenced Role = "fenced"
)

// MemberState is the state that a member reports.
type MemberState struct {
	// Member is the member's name.
	Member string

	// Role is the member's role at the time of its answer.
	Role Role

	// GrantedTerm is the highest term that the member has granted. It never decreases. It says nothing
	// about the log: a fenced member may lack the most recent entries.
	GrantedTerm uint64

	// Received is the end of the member's log.
	Received Position

	// Applied is the position up to which reads on the member see the log. It is never beyond
	// Received.
	Applied Position

	// Upstream is the address that a replica replicates from. It is invalid on a primary.
	Upstream netip.AddrPort

	// Leaving is set if the member will shut down soon.
	Leaving bool

	// RunningStatements is the number of statements that the member executes, without those that wait for a
	// lock.
	RunningStatements int

	// SampledAt is when this process received the state, by its monotonic clock.
	SampledAt time.Time
}

// MemberControl sends administrative requests to the members of groups: heartbeats, fencing and promotion.
//
// Calls return when the context ends. An error means that the member didn't answer or refused. If it
// refused because of the term, the error is a *TermError.
type MemberControl interface {
	// Status returns the member's state.
	Status(ctx context.Context, m Member) (MemberState, error)

	// Fence makes the member grant the term. A member grants each term once, and never one below the
	// highest that it has granted. From then on it accepts neither writes nor log entries of an
	// earlier term.
	Fence(ctx context.Context, m Member, term uint64) (MemberState, error)

	// Promote makes the member the primary of the term that it has granted.
	Promote(ctx context.Context, m Member, term uint64) (MemberState, error)

	// Follow makes the member a replica of the primary at the address, in the given term. The member
	// truncates its log to what the primary's log has.
	Follow(ctx context.Context, m Member, term uint64, primary netip.AddrPort) (MemberState, error)

	// AwaitPosition waits until the member has received the position in its term, but no longer than wait,
	// and returns the member's state.
	AwaitPosition(ctx context.Context, m Member, p Position, wait time.Duration) (MemberState, error)
}

// GroupPrimary records which member is the primary of a group in a term.
type GroupPrimary struct {
	// Group is the name of the group.
	Group string

	// Term is the primary's term. Among the records of a group, the one with the highest term is in
	// force.
	Term uint64

	// Primary is the name of the member that was promoted in Term. Each term has one primary.
	Primary string
}
