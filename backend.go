package egret

import (
	"context"
	"net/netip"
	"time"
)

// CommandKind is what a proxy asks of a member.
type CommandKind int

// The kinds of commands.
const (
	// CommandStatement passes a caller's statement on.
	CommandStatement CommandKind = iota

	// CommandBegin opens a transaction that may write.
	CommandBegin

	// CommandBeginRead opens a transaction that only reads.
	CommandBeginRead

	// CommandRollback rolls the transaction back.
	CommandRollback

	// CommandSet changes a value of the connection.
	CommandSet

	// CommandPrepare defines a prepared statement on the connection.
	CommandPrepare

	// CommandReset clears values and prepared statements.
	CommandReset

	// CommandStatus asks for the member's state.
	CommandStatus

	// CommandDemote makes a primary of a lower term a replica.
	CommandDemote
)

// Command is one request on a member connection.
type Command struct {
	// Kind says which of the other fields hold.
	Kind CommandKind

	// Query is the statement of CommandStatement.
	Query Query

	// Name is the session value of CommandSet, or the prepared statement's name on the member.
	Name string

	// Argument is the value of CommandSet or the shape of CommandPrepare.
	Argument string

	// Writes says that the statement of CommandPrepare writes.
	Writes bool

	// Floor is the position that the member's log must have reached. Zero asks for none.
	Floor Position

	// Term is the term of CommandDemote.
	Term uint64
}

// Backend is a backend server as it registers itself.
type Backend struct {
	// ID is unique among all services. It survives a restart.
	ID string

	// Service names the group that the member belongs to.
	Service string

	// Address is where the member takes connections. It may be used again by another member.
	Address netip.AddrPort

	// Domain is the member's failure domain.
	Domain string

	// Slots is how many statements the member runs at once.
	Slots int

	// Draining says that the member leaves soon.
	Draining bool

	// Role is how the member sees itself. It may be wrong after a partition.
	Role Role

	// Warmup is how much longer the member stays slow after its start.
	Warmup time.Duration

	// Born is when the member's process started.
	Born time.Time
}

// BackendStatus is what a member says of itself when it is asked.
type BackendStatus struct {
	// Role is how the member sees itself.
	Role Role

	// Term is the newest term that the member knows.
	Term uint64

	// Received is the end of the member's log.
	Received Position
}

// BackendConn is a connection to a member. One goroutine uses it at a time.
type BackendConn interface {
	// Exchange sends the commands in one write and returns an answer for each. An error says that
	// the connection is of no more use; answers that came before it are returned.
	Exchange(deadline time.Time, commands []Command) ([]Answer, error)

	// Status asks for the member's state.
	Status(deadline time.Time) (BackendStatus, error)

	// Started is the member's position when the connection was opened.
	Started() Position

	// RoundTrip is the time to the member and back, as the opening of the connection took it.
	RoundTrip() time.Duration

	// Close ends the connection. The member rolls an open transaction back.
	Close()
}

// BackendDialer opens connections to members.
type BackendDialer interface {
	// Dial opens a connection, and makes sure that the member with the backend's ID answers. A
	// refusal of the member is a *RefusedError.
	Dial(ctx context.Context, b Backend) (BackendConn, error)

	// Reachable says whether the member's host takes connections, without using a slot.
	Reachable(ctx context.Context, b Backend) error
}

// RefusedError is a member's refusal of a connection.
type RefusedError struct {
	// Fault is what the member said.
	Fault Fault
}

// Error names the kind and the member's text.
func (e *RefusedError) Error() string {
	return "connection refused by the member: " + e.Fault.Kind.String() + ": " + e.Fault.Text
}
