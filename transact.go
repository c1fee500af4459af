package egret

import (
	"context"
	"time"
)

// TransactionOptions has the parameters of a new transaction on a lane.
type TransactionOptions struct {
	// Member is the name of the member that runs the transaction.
	Member string

	// Group is the name of the member's group.
	Group string

	// Pool is the name of the group's pool.
	Pool string

	// Caller is the user name that the transaction is accounted to in the lane's fair queue.
	Caller string

	// Class is the scheduling class in the lane's queue.
	Class Class

	// ReadOnly makes the member reject writes in the transaction.
	ReadOnly bool

	// Floor is the position that the member must have applied before it serves a read.
	Floor Position

	// FloorTimeout limits how long the member may wait until it has applied the floor.
	FloorTimeout time.Duration

	// MaxAge is the maximum age of a replica's data. Zero means no limit.
	MaxAge time.Duration

	// ConfirmTimeout limits how long a write waits for its confirmation by a second member.
	ConfirmTimeout time.Duration

	// Budget is the remaining time of the request.
	Budget time.Duration
}

// NamedStatement is the definition of a named prepared statement.
type NamedStatement struct {
	// Name is the name that the batch's messages use. It is derived from Query and Types, so that a
	// name always stands for the same statement.
	Name string

	// Query is the text of the statement.
	Query string

	// Types are the object IDs of the parameter types, zero for those that the caller left
	// unspecified.
	Types []uint32
}

// Batch is the sequence of a caller's messages up to the point where the caller waits for
// ReadyForQuery.
type Batch struct {
	// Messages are the encoded messages of the PostgreSQL protocol: either one Query, or messages of
	// the extended protocol that end with Sync.
	Messages []byte

	// Statements are the definitions of the named statements that the messages refer to.
	Statements []NamedStatement
}

// TxStatus is the transaction status of a ReadyForQuery message.
type TxStatus byte

// Transaction statuses of the protocol.
const (
	// TxIdle means that no transaction is open.
	TxIdle TxStatus = 'I'

	// TxOpen means that a transaction is open.
	TxOpen TxStatus = 'T'

	// TxFailed means that the open transaction has failed.
	TxFailed TxStatus = 'E'
)

// BatchResult is the result of a batch, without its reply messages.
type BatchResult struct {
	// Status is the transaction status after the batch.
	Status TxStatus

	// Position is the member's log position after the batch, or zero if it was not requested.
	Position Position

	// Load is the load that the lane reports with its reply.
	Load Load
}

// Load is the state of a member as its lane knows it. Each reply of the lane includes it.
type Load struct {
	// State is the state from the member's last heartbeat.
	State MemberState

	// Lag is the lane's estimate of how far, in time, the member's applied log is behind the
	// primary's. It is negative if unknown.
	Lag time.Duration

	// QueueWait is the lane's estimate of the time that a new request would wait in its queue.
	QueueWait time.Duration
}

// Transaction runs the batches of one caller's transaction on a connection to a member.
type Transaction interface {
	// Exchange runs a batch. It passes the encoded reply messages to sink, in order and as they
	// arrive, without the final ReadyForQuery. The reply is complete only if the error is nil. An
	// error is a *Failure. If sink was not called and the outcome is not-run, the batch may be run on
	// another member.
	Exchange(ctx context.Context, b Batch, sink func(messages []byte) error) (BatchResult, error)

	// Cancel asks the member to cancel the running statement.
	Cancel()

	// Close ends the transaction. If it is still open, it is rolled back.
	Close()
}

// Lanes starts transactions on members, in this process or through another proxy.
type Lanes interface {
	// Begin starts a transaction. The wait in the lane's queue may be deferred to the first Exchange.
	Begin(ctx context.Context, o TransactionOptions) (Transaction, error)

	// Load returns the load that the lane of a member reports.
	Load(ctx context.Context, member string) (Load, error)
}

// Positions determines how far the log of a group reaches.
type Positions interface {
	// ConfirmedPosition returns a position of the group at or after every write that was acknowledged before
	// the call. The primary and another member have reported, after the call began, that they have
	// granted no later term.
	ConfirmedPosition(ctx context.Context, group string) (Position, error)
}
