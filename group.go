package egret

import (
	"context"
	"net/netip"
	"time"
)

// Role is what a member of a group does.
type Role string

// The roles of a member.
const (
	// RolePrimary takes writes in the term that it was promoted in.
	RolePrimary Role = "primary"

	// RoleReplica follows a primary and serves reads.
	RoleReplica Role = "replica"

	// RoleFenced has granted a term and waits to be promoted or told whom to follow.
	RoleFenced Role = "fenced"
)

// MemberState is what a member says of itself.
type MemberState struct {
	// Member is the name of the member.
	Member string

	// Role is the member's role when it answered.
	Role Role

	// Granted is the highest term that the member has granted. It never falls. It proves nothing
	// about the log: a fenced member may lack the tail.
	Granted uint64

	// Received is the end of the member's log.
	Received Position

	// Applied is the end of what the member's reads see. It never passes Received.
	Applied Position

	// Upstream is the address that a replica follows. It is invalid on a primary.
	Upstream netip.AddrPort

	// Leaving says that the member is about to leave.
	Leaving bool

	// Running is how many statements the member runs. One that waits for a lock doesn't count.
	Running int

	// Sampled is when the answer arrived here, by this process's monotonic clock.
	Sampled time.Time
}

// Control drives the members of groups: heartbeats, fencing and promotion.
//
// Calls end with the context. An error says that the member gave no answer or refused; a refusal
// because of the term is a *TermError.
type Control interface {
	// Status asks a member for its state.
	Status(ctx context.Context, m Member) (MemberState, error)

	// Fence makes the member grant the term. A member grants a term once, and none below the
	// highest it has granted. From then on it takes no writes and no log of an earlier term.
	Fence(ctx context.Context, m Member, term uint64) (MemberState, error)

	// Promote makes a member primary in the term that it has granted.
	Promote(ctx context.Context, m Member, term uint64) (MemberState, error)

	// Follow makes the member a replica of the primary at the address, in the term. The member
	// drops what its log holds beyond the primary's.
	Follow(ctx context.Context, m Member, term uint64, primary netip.AddrPort) (MemberState, error)

	// Await returns when the member has received the position in its term, or after wait.
	Await(ctx context.Context, m Member, p Position, wait time.Duration) (MemberState, error)
}

// GroupFact says which member leads a group.
type GroupFact struct {
	// Group names the group.
	Group string

	// Term is the primary's term. Of two facts for a group, the one with the higher term holds.
	Term uint64

	// Primary names the member that was promoted in Term. One term has one primary.
	Primary string
}
