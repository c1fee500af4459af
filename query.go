package egret

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Verb is the operation of a statement.
type Verb int

// Verbs of statements.
const (
	// VerbInvalid marks a statement that the codec could not parse.
	VerbInvalid Verb = iota

	// VerbBegin begins a read-write transaction.
	VerbBegin

	// VerbBeginRead begins a read-only transaction.
	VerbBeginRead

	// VerbCommit commits the transaction.
	VerbCommit

	// VerbRollback rolls back the transaction.
	VerbRollback

	// VerbRead reads one item.
	VerbRead

	// VerbWrite writes one item.
	VerbWrite

	// VerbSet sets a session value.
	VerbSet

	// VerbPrepare defines a prepared statement.
	VerbPrepare

	// VerbExecute runs a prepared statement.
	VerbExecute

	// VerbClose deletes a prepared statement.
	VerbClose
)

// Query is one statement of a session.
type Query struct {
	// ID is chosen by the caller and passed to the member unchanged.
	ID string

	// Verb is the operation of the statement.
	Verb Verb

	// Text is the statement as the caller wrote it.
	Text string

	// Name is the name of the session value for VerbSet, or of the prepared statement for
	// VerbPrepare, VerbExecute and VerbClose.
	Name string

	// Argument is the rest of the statement after the name: the value for VerbSet, the text of the
	// definition for VerbPrepare, or the arguments for VerbExecute.
	Argument string

	// Writes is set if a statement that VerbPrepare defines is a write.
	Writes bool
}

// PreparedStatement is the definition of a prepared statement.
type PreparedStatement struct {
	// Text is the text of the definition.
	Text string

	// Writes is set if executing the statement writes.
	Writes bool
}

// SessionValue is a named value that a caller has set for its session.
type SessionValue struct {
	// Name is unique within a session.
	Name string

	// Value is the text as the caller wrote it.
	Value string
}

// FaultKind classifies the error of a statement. Each kind implies what is known about its execution.
type FaultKind int

// Kinds of faults.
const (
	// FaultNone means success.
	FaultNone FaultKind = iota

	// FaultBusy: not executed, no capacity was available in time.
	FaultBusy

	// FaultAborted: the transaction was rolled back, or the statement was not executed.
	FaultAborted

	// FaultLagging: not executed, the member's log has not reached the floor.
	FaultLagging

	// FaultReadOnly: not executed, the member doesn't accept writes.
	FaultReadOnly

	// FaultWrongNode: not executed, another member or service answers at the address.
	FaultWrongNode

	// FaultTooManyConnections: not executed, the member or the proxy accepts no more connections.
	FaultTooManyConnections

	// FaultNoStatement: not executed, the prepared statement is unknown.
	FaultNoStatement

	// FaultNoDatabase: not executed, no route has the database.
	FaultNoDatabase

	// FaultMalformed: not executed, the request is malformed or invalid in the session's state.
	FaultMalformed

	// FaultFailed: the member executed the statement and returned an error.
	FaultFailed

	// FaultTimeout: the statement timed out and may have been executed.
	FaultTimeout

	// FaultInDoubt: a write or a commit may have taken effect.
	FaultInDoubt

	// FaultNotHolder: not executed, this process doesn't hold the service. Used between proxies only.
	FaultNotHolder

	// FaultNoAnswer: the proxy that executes the statement didn't answer. Used between proxies only.
	FaultNoAnswer

	// FaultUnauthorized: not executed, the caller's key belongs to no workspace.
	FaultUnauthorized
)

// NotRun reports whether the kind guarantees that the statement had no lasting effect.
func (k FaultKind) NotRun() bool {
	switch k {
	case FaultBusy, FaultAborted, FaultLagging, FaultReadOnly, FaultWrongNode, FaultTooManyConnections,
		FaultNoStatement, FaultNoDatabase, FaultMalformed, FaultNotHolder, FaultUnauthorized:
		return true
	default:
		return false
	}
}

// String returns the kind in the form used by logs and metrics.
func (k FaultKind) String() string {
	names := [...]string{"none", "busy", "aborted", "lagging", "read-only", "wrong-node", "too-many",
		"no-statement", "no-database", "malformed", "failed", "timeout", "in-doubt", "moved", "lost", "unauthorized"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Fault is the error of a statement. The zero Fault means success.
type Fault struct {
	// Kind implies what is known about the execution of the statement.
	Kind FaultKind

	// Text is the message that the caller receives.
	Text string
}

// Answer is the response of a member or of the proxy to one statement.
type Answer struct {
	// Rows are the result rows, passed through unchanged.
	Rows []string

	// Signature is the member's proof that it executed the statement. It is "-" if the proxy itself
	// answered.
	Signature string

	// Fault is set if the statement has no result. Rows and Signature are empty then.
	Fault Fault

	// Status is the transaction status after the statement.
	Status TxStatus

	// Position is the member's log position after the statement, or zero if the member reported none.
	Position Position

	// Term is the leadership term in which a write's position is valid. Sessions pass both on with
	// later requests.
	Term uint64

	// Member is the ID of the member that answered, or empty if none did.
	Member string
}

// Consistency is the consistency of the reads on a route.
type Consistency int

// Consistency levels of a route.
const (
	// ConsistencyPrimary: reads see every acknowledged commit.
	ConsistencyPrimary Consistency = iota

	// ConsistencyBounded: reads see every commit acknowledged more than the staleness bound ago.
	ConsistencyBounded

	// ConsistencySession: like bounded reads, and they see the session's own commits.
	ConsistencySession
)

// String returns the level in the form used by logs and metrics.
func (k Consistency) String() string {
	return [...]string{"primary", "bounded", "session"}[k]
}

// StatementRequest is a statement with the parameters that the lane needs to execute it.
type StatementRequest struct {
	// Service is the name of the database group.
	Service string

	// Route is the name of the route. Service times are estimated per route.
	Route string

	// Workspace is the name of the caller's workspace, or empty if it has none. The statement runs only on a connection
	// of the workspace.
	Workspace string

	// Metered is set if the statement or its transaction counts towards the workspace's quota.
	Metered bool

	// Domain is the failure domain of the proxy that the caller is connected to.
	Domain string

	// Query is the statement. Its verb is never VerbSet, VerbPrepare or VerbClose.
	Query Query

	// Writes is set if the statement may write.
	Writes bool

	// Prepared is the definition of the prepared statement that VerbExecute refers to.
	Prepared PreparedStatement

	// Values are the session's values, ordered by name.
	Values []SessionValue

	// Begin is VerbBegin or VerbBeginRead if a transaction must be begun before the statement, else
	// VerbInvalid.
	Begin Verb

	// InTransaction is set if the statement belongs to the open transaction of the stream.
	InTransaction bool

	// Consistency and MaxStaleness determine the consistency of a read.
	Consistency  Consistency
	MaxStaleness time.Duration

	// LastCommit is the log position of the session's last commit, in the leadership term LastCommitTerm.
	LastCommit     Position
	LastCommitTerm uint64

	// Timeout is the remaining time of the statement.
	Timeout time.Duration

	// LatencyTarget is the latency objective of the operation.
	LatencyTarget time.Duration

	// Priority is the priority of the route; 0 is the highest.
	Priority int

	// IdleTimeout limits the time that the transaction may be idle between statements.
	IdleTimeout time.Duration
}

// Stream executes the statements of one session on one service, one at a time.
type Stream interface {
	// Do executes a statement. Whatever goes wrong, the answer's fault implies what is known about
	// the execution.
	Do(ctx context.Context, w StatementRequest) Answer

	// Close closes the stream and rolls back an open transaction.
	Close()
}

// ErrInterrupted reports that a read was interrupted by CallerConn.Interrupt.
const ErrInterrupted = errors.ConstError("the wait for the caller was interrupted")

// ErrNoMemory reports that the process has no memory for a message, or has taken that of the connection for others.
const ErrNoMemory = errors.ConstError("the proxy has no memory for this message at present")

// ErrMessageTimeout reports that the rest of a message didn't come in time.
const ErrMessageTimeout = errors.ConstError("the rest of the message did not come in time")

// CallerConn is a caller's connection after decoding by a codec. Only Interrupt may be called
// concurrently with the other methods.
type CallerConn interface {
	// ReadStartup reads the caller's startup message.
	ReadStartup(deadline time.Time) (Startup, error)

	// Admit notifies the caller that the session is open.
	Admit() error

	// Refuse notifies the caller why the session is not opened or has ended.
	Refuse(f Fault) error

	// ReadQuery reads the next statement. It returns io.EOF once the caller has ended the session. A
	// malformed statement has VerbInvalid, with the reason in its Argument.
	ReadQuery() (Query, error)

	// Interrupt makes a read that waits for the caller return ErrInterrupted, the current one or else the next. A
	// message that has arrived, or of which a part has, is still read.
	Interrupt()

	// WriteAnswer sends the result of the statement to the caller.
	WriteAnswer(a Answer) error

	// Close delivers what was sent, and closes the connection.
	Close()
}
