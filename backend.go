package egret

import (
	"context"
	"net/netip"
	"time"
)

// CommandKind is the kind of a request to a member.
type CommandKind int

// Kinds of commands.
const (
	// CommandStatement forwards a caller's statement.
	CommandStatement CommandKind = iota

	// CommandBegin begins a read-write transaction.
	CommandBegin

	// CommandBeginRead begins a read-only transaction.
	CommandBeginRead

	// CommandRollback rolls back the transaction.
	CommandRollback

	// CommandSet sets a session value on the connection.
	CommandSet

	// CommandPrepare defines a prepared statement on the connection.
	CommandPrepare

	// CommandClose deletes a prepared statement of the connection.
	CommandClose

	// CommandReset clears the session values and the prepared statements of the connection.
	CommandReset

	// CommandStatus requests the member's status.
	CommandStatus

	// CommandDemote turns a primary of a lower term into a replica.
	CommandDemote
)

// Command is one request on a connection to a member.
type Command struct {
	// Kind determines which of the other fields are used.
	Kind CommandKind

	// Query is the statement of a CommandStatement.
	Query Query

	// Name is the name of the session value for CommandSet, or the member's name for the prepared
	// statement.
	Name string

	// Argument is the value for CommandSet, or the statement's text for CommandPrepare.
	Argument string

	// Writes is set if the statement of a CommandPrepare writes.
	Writes bool

	// Floor is the position that the member's log must have reached. Zero requires none.
	Floor Position

	// Term is the term of a CommandDemote.
	Term uint64
}

// Backend is a backend server as it registered itself with the platform.
type Backend struct {
	// ID is unique across all services and survives a restart.
	ID string

	// Service is the name of the member's group.
	Service string

	// Address is where the member accepts connections. Another member may reuse it later.
	Address netip.AddrPort

	// Domain is the member's failure domain.
	Domain string

	// Slots is how many statements the member runs concurrently.
	Slots int

	// Draining is set if the member will shut down soon.
	Draining bool

	// Role is the role that the member reports. It may be out of date after a network partition.
	Role Role

	// WarmupRemaining is the remaining time for which the member is slow after its start.
	WarmupRemaining time.Duration

	// StartTime is the start time of the member's process.
	StartTime time.Time
}

// BackendStatus is a member's answer to a status request.
type BackendStatus struct {
	// Role is the role that the member reports.
	Role Role

	// Term is the highest term that the member knows.
	Term uint64

	// Received is the end of the member's log.
	Received Position
}

// BackendConn is a connection to a member. It must not be used by more than one goroutine at a time.
type BackendConn interface {
	// Exchange sends the commands in one write and returns one answer for each. After an error the
	// connection is unusable; the answers received before the error are returned with it.
	Exchange(deadline time.Time, commands []Command) ([]Answer, error)

	// Status requests the member's status.
	Status(deadline time.Time) (BackendStatus, error)

	// InitialPosition returns the member's position when the connection was opened.
	InitialPosition() Position

	// RoundTrip returns the round-trip time measured while the connection was opened.
	RoundTrip() time.Duration

	// Close closes the connection. The member then rolls back an open transaction.
	Close()
}

// BackendDialer opens connections to members.
type BackendDialer interface {
	// Dial opens a connection and verifies that the member with the backend's ID answers. If the
	// member refuses the connection, the error is a *RefusedError. The member is told the workspace; it may be empty.
	Dial(ctx context.Context, b Backend, workspace string) (BackendConn, error)

	// Reachable returns nil if the member's host accepts connections. It doesn't use a slot of the
	// member.
	Reachable(ctx context.Context, b Backend) error
}

// RefusedError reports that a member refused a connection.
type RefusedError struct {
	// Fault is the member's reason for the refusal.
	Fault Fault
}

// Error returns the kind of the fault and the member's message.
func (e *RefusedError) Error() string {
	return "connection refused by the member: " + e.Fault.Kind.String() + ": " + e.Fault.Text
}
