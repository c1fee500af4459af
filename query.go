package egret

import (
	"context"
	"time"
)

// Verb is what a statement does.
type Verb int

// The verbs of statements.
const (
	// VerbInvalid is a statement that the codec could not read.
	VerbInvalid Verb = iota

	// VerbBegin opens a transaction that may write.
	VerbBegin

	// VerbBeginRead opens a transaction that only reads.
	VerbBeginRead

	// VerbCommit ends a transaction and keeps its writes.
	VerbCommit

	// VerbRollback ends a transaction and drops its writes.
	VerbRollback

	// VerbRead reads one item.
	VerbRead

	// VerbWrite writes one item.
	VerbWrite

	// VerbSet changes a value of the session.
	VerbSet

	// VerbPrepare defines a prepared statement.
	VerbPrepare

	// VerbExecute runs a prepared statement.
	VerbExecute

	// VerbClose forgets a prepared statement.
	VerbClose
)

// Query is one statement of a caller's session.
type Query struct {
	// ID is the caller's own and goes to the member unchanged.
	ID string

	// Verb is what the statement does.
	Verb Verb

	// Text is the statement as the caller wrote it.
	Text string

	// Name is the session value of VerbSet, or the prepared statement of VerbPrepare, VerbExecute
	// and VerbClose.
	Name string

	// Argument is what follows Name: a value, a shape, or the arguments of an execution.
	Argument string

	// Writes says that a statement prepared by VerbPrepare writes.
	Writes bool
}

// Prepared is the definition of a prepared statement.
type Prepared struct {
	// Shape is the text of the definition.
	Shape string

	// Writes says that running it writes.
	Writes bool
}

// SessionValue is a value that a caller set for its session.
type SessionValue struct {
	// Name is unique in a session.
	Name string

	// Value is the text as the caller wrote it.
	Value string
}

// FaultKind says why a statement has no result. Each kind implies what is known of the statement.
type FaultKind int

// The kinds of faults.
const (
	// FaultNone is no fault.
	FaultNone FaultKind = iota

	// FaultBusy: not run, there was no room for it in time.
	FaultBusy

	// FaultAborted: the transaction was rolled back, or the statement has not run.
	FaultAborted

	// FaultLagging: not run, the member's log lacks the floor.
	FaultLagging

	// FaultReadOnly: not run, the member takes no writes.
	FaultReadOnly

	// FaultWrongNode: not run, another member or service answers at the address.
	FaultWrongNode

	// FaultTooMany: not run, the member takes no more connections.
	FaultTooMany

	// FaultNoStatement: not run, the member doesn't know the prepared statement.
	FaultNoStatement

	// FaultNoDatabase: not run, no route has the database.
	FaultNoDatabase

	// FaultMalformed: not run, the request can't be read or doesn't fit the session's state.
	FaultMalformed

	// FaultFailed: the member ran the statement and it failed.
	FaultFailed

	// FaultTimeout: the statement may have run.
	FaultTimeout

	// FaultInDoubt: a write or a commit may have taken effect.
	FaultInDoubt

	// FaultMoved: not run, this process doesn't hold the service. It stays between proxies.
	FaultMoved

	// FaultLost: the proxy that ran the statement gave no answer. It stays between proxies.
	FaultLost
)

// NotRun reports whether the kind promises that nothing of the statement was kept.
func (k FaultKind) NotRun() bool {
	switch k {
	case FaultBusy, FaultAborted, FaultLagging, FaultReadOnly, FaultWrongNode, FaultTooMany,
		FaultNoStatement, FaultNoDatabase, FaultMalformed, FaultMoved:
		return true
	default:
		return false
	}
}

// String returns the kind as logs and metrics show it.
func (k FaultKind) String() string {
	names := [...]string{"none", "busy", "aborted", "lagging", "read-only", "wrong-node", "too-many",
		"no-statement", "no-database", "malformed", "failed", "timeout", "in-doubt", "moved", "lost"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Fault is why a statement has no result. The zero Fault is none.
type Fault struct {
	// Kind implies what is known of the statement.
	Kind FaultKind

	// Text is for the caller.
	Text string
}

// Answer is what a member or the proxy says to one statement.
type Answer struct {
	// Rows are passed through unchanged.
	Rows []string

	// Signature is the member's proof that it ran the statement. It is "-" if the proxy answered.
	Signature string

	// Fault is set if the statement has no result. Rows and Signature are empty then.
	Fault Fault

	// Status is the transaction status after the statement.
	Status TxStatus

	// Position is the member's log position after the statement, zero if it told none.
	Position Position

	// Term is the leadership term that a write's Position belongs to. Sessions hand both back.
	Term uint64

	// Member is the ID of the member that answered, empty if none did.
	Member string
}

// RouteKind says how fresh the reads of a route are.
type RouteKind int

// The kinds of routes.
const (
	// RoutePrimary reads see every acknowledged commit.
	RoutePrimary RouteKind = iota

	// RouteBounded reads see every commit that was acknowledged before MaxStaleness.
	RouteBounded

	// RouteSession reads see what RouteBounded ones do, and the session's own commits.
	RouteSession
)

// String returns the kind as logs and metrics show it.
func (k RouteKind) String() string {
	return [...]string{"primary", "bounded", "session"}[k]
}

// Work is one statement with what a lane needs to run it.
type Work struct {
	// Service names the database group.
	Service string

	// Route names the route, for learnt service times.
	Route string

	// Query is the statement. Its verb is never VerbSet, VerbPrepare or VerbClose.
	Query Query

	// Writes says that the statement may write.
	Writes bool

	// Prepared is the definition that a VerbExecute refers to.
	Prepared Prepared

	// Values are the session's values, ordered by name.
	Values []SessionValue

	// Begin opens a transaction before the statement: VerbBegin or VerbBeginRead, else VerbInvalid.
	Begin Verb

	// InTransaction says that the statement belongs to the stream's open transaction.
	InTransaction bool

	// Kind and MaxStaleness say how fresh a read is.
	Kind         RouteKind
	MaxStaleness time.Duration

	// Own is the position of the session's newest commit, in the leadership term OwnTerm.
	Own     Position
	OwnTerm uint64

	// Timeout is what is left of the statement's time.
	Timeout time.Duration

	// Target is the latency objective of the operation.
	Target time.Duration

	// Priority is the route's; 0 is the highest.
	Priority int

	// Idle bounds how long the transaction may rest between statements.
	Idle time.Duration
}

// Stream runs the statements of one session on one service, one after another. Closing it rolls an
// open transaction back.
type Stream interface {
	// Do runs a statement. The answer always says what is known, whatever went wrong.
	Do(ctx context.Context, w Work) Answer

	// Close ends the stream.
	Close()
}

// CallerConn is a caller's connection, as a codec reads and writes it. One goroutine uses it at a
// time, but for Close.
type CallerConn interface {
	// Start reads the opening of the session and returns the database that the caller asks for.
	Start(deadline time.Time) (database string, err error)

	// Admit tells the caller that the session is open.
	Admit() error

	// Refuse tells the caller why the session isn't opened.
	Refuse(f Fault) error

	// Next returns the next statement. io.EOF says that the caller has ended the session. A
	// statement that can't be read has VerbInvalid, and Argument says why.
	Next() (Query, error)

	// Answer tells the caller how its statement ended.
	Answer(a Answer) error

	// Close ends the connection. A Next that waits returns an error.
	Close()
}
