package egret

import (
	"context"
	"time"
)

// Opening says what a transaction needs from a lane.
type Opening struct {
	// Member is the member to run on.
	Member string

	// Group is the member's group.
	Group string

	// Pool is the pool that the group belongs to.
	Pool string

	// Caller is who the lane's share is counted for.
	Caller string

	// Class is the standing in the lane's queue.
	Class Class

	// ReadOnly makes the member refuse writes of the transaction.
	ReadOnly bool

	// Floor is the position that the member must have applied before it serves a read.
	Floor Position

	// FloorWait bounds how long the member may wait for the floor.
	FloorWait time.Duration

	// MaxAge is the highest age of a replica's data. Zero sets none.
	MaxAge time.Duration

	// ConfirmWait bounds the wait for a second member's confirmation of a write.
	ConfirmWait time.Duration

	// Budget is what is left of the request's time.
	Budget time.Duration
}

// Statement is the definition of a prepared statement.
type Statement struct {
	// Name is the name that the batch's messages use. It is made from Query and Types, so that
	// one name always means one statement.
	Name string

	// Query is the statement's text.
	Query string

	// Types are the object identifiers of the parameters, zero where the caller left them open.
	Types []uint32
}

// Batch is a caller's messages up to the point where it waits for ReadyForQuery.
type Batch struct {
	// Messages are the encoded messages of the PostgreSQL protocol: one Query, or extended
	// messages that end in Sync.
	Messages []byte

	// Statements defines the named statements that the messages refer to.
	Statements []Statement
}

// TxStatus is the transaction status of a ReadyForQuery message.
type TxStatus byte

// The transaction statuses of the protocol.
const (
	// TxIdle is outside a transaction.
	TxIdle TxStatus = 'I'

	// TxOpen is inside a transaction.
	TxOpen TxStatus = 'T'

	// TxFailed is inside a failed transaction.
	TxFailed TxStatus = 'E'
)

// Completion is the end of a batch.
type Completion struct {
	// Status is the transaction status after the batch.
	Status TxStatus

	// Position is the member's log position after the batch, zero if it wasn't asked.
	Position Position

	// Load is the lane's view of its member.
	Load Load
}

// Load is a lane's view of its member, carried by each reply.
type Load struct {
	// State is the member's last heartbeat.
	State MemberState

	// Lag is how far the member's applied log is behind the primary's, in time, as estimated by
	// the lane. It is below zero if unknown.
	Lag time.Duration

	// Wait is what a new request would wait in the lane's queue, as estimated by the lane.
	Wait time.Duration
}

// Transaction is a connection lent to one transaction of one caller.
type Transaction interface {
	// Exchange runs a batch. It hands the encoded reply messages to sink, in order and as they
	// arrive, without the final ReadyForQuery. The answer is whole only if the error is nil. An
	// error is a *Failure; if nothing went to sink and the outcome is NotRun, the batch may be
	// run elsewhere.
	Exchange(ctx context.Context, b Batch, sink func(messages []byte) error) (Completion, error)

	// Cancel asks the member to cancel the running statement.
	Cancel()

	// Close ends the transaction. An open one is rolled back.
	Close()
}

// Lanes opens transactions on members, in this process or through a peer.
type Lanes interface {
	// Begin opens a transaction. It may wait in the lane's queue until the first Exchange.
	Begin(ctx context.Context, o Opening) (Transaction, error)

	// Load asks the lane of a member for its view.
	Load(ctx context.Context, member string) (Load, error)
}

// Positions looks up where a group's log ends.
type Positions interface {
	// Confirm returns a position of the group that is at or beyond every write acknowledged
	// before the call. The primary and another member have said, after the call began, that they
	// have granted no later term.
	Confirm(ctx context.Context, group string) (Position, error)
}
