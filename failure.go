package egret

import (
	"fmt"

	"github.com/juju/errors"
)

// Causes that callers of the interfaces tell apart. Test with errors.Is.
const (
	// ErrConflict says that the key had changed before a compare-and-swap.
	ErrConflict = errors.ConstError("the key has changed")

	// ErrLeaseLapsed says that a lease has ended.
	ErrLeaseLapsed = errors.ConstError("the lease has ended")

	// ErrUnseen says that a proxy that was asked about a member doesn't reach it.
	ErrUnseen = errors.ConstError("the member is not reached from there")

	// ErrNoTables says that no tables are known yet.
	ErrNoTables = errors.ConstError("no tables are known yet")
)

// Outcome is what is known of a request that failed.
type Outcome int

// The outcomes of a failed request.
const (
	// Unknown: the request may have run.
	Unknown Outcome = iota

	// NotRun: the request did not run. This is provable: no byte of it reached the member, or the
	// member said so.
	NotRun

	// Rejected: the database ran the request and refused it.
	Rejected
)

// String returns the outcome as callers read it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Rejected:
		return "rejected"
	default:
		return "outcome unknown"
	}
}

// Label returns the outcome as a label of metrics.
func (o Outcome) Label() string {
	switch o {
	case NotRun:
		return "not-run"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// Reason tells the entry what to do about a failure.
type Reason int

// The reasons for failures that the entry acts on.
const (
	// ReasonOther asks for nothing in particular.
	ReasonOther Reason = iota

	// ReasonFloor: the member's log has not reached the floor in time.
	ReasonFloor

	// ReasonNotPrimary: the member takes no writes.
	ReasonNotPrimary

	// ReasonNoLane: the proxy that was asked does not hold the lane.
	ReasonNoLane

	// ReasonQueue: the queue is full, or the budget would end in it.
	ReasonQueue

	// ReasonMember: the member can't be reached.
	ReasonMember

	// ReasonReadOnly: a read-only transaction tried to write.
	ReasonReadOnly

	// ReasonLeaving: the member or the proxy is leaving.
	ReasonLeaving

	// ReasonRefused: the member answered that it takes no statements now.
	ReasonRefused

	// ReasonConfirm: a write was not confirmed by a second member in time.
	ReasonConfirm
)

// Label returns the reason as a label of metrics.
func (r Reason) Label() string {
	switch r {
	case ReasonFloor:
		return "floor"
	case ReasonNotPrimary:
		return "not-primary"
	case ReasonNoLane:
		return "no-lane"
	case ReasonQueue:
		return "queue"
	case ReasonMember:
		return "member"
	case ReasonReadOnly:
		return "read-only"
	case ReasonLeaving:
		return "leaving"
	case ReasonConfirm:
		return "confirm"
	case ReasonRefused:
		return "refused"
	default:
		return "other"
	}
}

// SQLSTATE codes that egretlane itself reports.
const (
	// CodeNotRun is reported for requests that did not run and may be sent again.
	CodeNotRun = "57P03"

	// CodeUnknown is reported when it is not known whether a request ran.
	CodeUnknown = "08007"

	// CodeTooLarge is reported for statements over the size limit.
	CodeTooLarge = "54000"

	// CodeUnsupported is reported for what pooled routes don't offer.
	CodeUnsupported = "0A000"

	// CodeNoRoute is reported when no route fits the request.
	CodeNoRoute = "3D000"

	// CodeCaller is reported for unknown callers and failed authentication.
	CodeCaller = "28000"

	// CodeToken is reported for tokens that this system did not make for the caller.
	CodeToken = "28P01"

	// CodeProtocol is reported for broken messages.
	CodeProtocol = "08P01"
)

// Failure is the error of a request.
type Failure struct {
	// Outcome is what is known of the request.
	Outcome Outcome

	// Reason tells the entry what to do.
	Reason Reason

	// Code is the SQLSTATE for the caller.
	Code string

	// Message is for the caller. It names the member or the limit concerned.
	Message string
}

// Error returns the message, the outcome and the code.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s, SQLSTATE %s)", f.Message, f.Outcome, f.Code)
}

// TermError is a member's refusal because it has granted a higher term.
type TermError struct {
	// Member names the member that refused.
	Member string

	// Granted is the highest term that the member has granted.
	Granted uint64
}

// Error names the member and the term.
func (e *TermError) Error() string {
	return fmt.Sprintf("member %s has granted term %d", e.Member, e.Granted)
}

// FailureOf returns the *Failure in the error's chain. Any other error becomes a Failure with an
// unknown outcome, so that nothing unproved is reported as not run.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{
		Outcome: Unknown,
		Reason:  ReasonOther,
		Code:    CodeUnknown,
		Message: err.Error(),
	}
}
