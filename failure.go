package egret

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors that callers of the interfaces handle separately. Test for them with errors.Is.
const (
	// ErrConflict reports that the key's revision had changed, so that a compare-and-swap wrote
	// nothing.
	ErrConflict = errors.ConstError("the key has changed")

	// ErrLeaseExpired reports that a lease has expired, a store lease or the lease on a service.
	ErrLeaseExpired = errors.ConstError("the lease has ended")

	// ErrMemberNotReached reports that another proxy answered that it doesn't reach the member it was asked about.
	ErrMemberNotReached = errors.ConstError("the proxy does not reach the member")

	// ErrNoTables reports that this process has not received any tables yet.
	ErrNoTables = errors.ConstError("no tables are known yet")
)

// Outcome is what is known about the execution of a failed request.
type Outcome int

// Outcomes of a failed request.
const (
	// OutcomeUnknown: the request may have been executed.
	OutcomeUnknown Outcome = iota

	// OutcomeNotRun: the request was not executed. This is certain: no byte of it reached the member, or the
	// member reported it.
	OutcomeNotRun

	// OutcomeRejected: the database executed the request and returned an error.
	OutcomeRejected
)

// String returns the outcome in the form shown to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeRejected:
		return "rejected"
	default:
		return "outcome unknown"
	}
}

// Label returns the outcome as a value for metric labels.
func (o Outcome) Label() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// Reason classifies a failure, so that the entry can decide whether and where to retry.
type Reason int

// Reasons for failures.
const (
	// ReasonOther requires no special handling.
	ReasonOther Reason = iota

	// ReasonFloor: the member's log didn't reach the floor in time.
	ReasonFloor

	// ReasonNotPrimary: the member doesn't accept writes.
	ReasonNotPrimary

	// ReasonNoLane: the proxy that received the request doesn't hold the member's lane.
	ReasonNoLane

	// ReasonQueue: the queue is full, or the request would exceed its budget while queued.
	ReasonQueue

	// ReasonMemberUnreachable: the member is unreachable.
	ReasonMemberUnreachable

	// ReasonReadOnly: a read-only transaction attempted a write.
	ReasonReadOnly

	// ReasonLeaving: the member or the proxy is shutting down.
	ReasonLeaving

	// ReasonMemberRefused: the member is reachable but currently accepts no statements.
	ReasonMemberRefused

	// ReasonNotConfirmed: no second member confirmed a write in time.
	ReasonNotConfirmed
)

// Label returns the reason as a value for metric labels.
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
	case ReasonMemberUnreachable:
		return "member"
	case ReasonReadOnly:
		return "read-only"
	case ReasonLeaving:
		return "leaving"
	case ReasonNotConfirmed:
		return "confirm"
	case ReasonMemberRefused:
		return "refused"
	default:
		return "other"
	}
}

// SQLSTATE codes that egretlane itself reports.
const (
	// CodeNotRun is reported for requests that were not executed and can be retried.
	CodeNotRun = "57P03"

	// CodeReadOnly is reported for writes in read-only transactions and sessions. They were not executed.
	CodeReadOnly = "25006"

	// CodeUnknown is reported when it is unknown whether the request was executed.
	CodeUnknown = "08007"

	// CodeTooLarge is reported for statements above the size limit.
	CodeTooLarge = "54000"

	// CodeUnsupported is reported for features that pooled connections don't support.
	CodeUnsupported = "0A000"

	// CodeNoRoute is reported when no route matches the request.
	CodeNoRoute = "3D000"

	// CodeAuthentication is reported for unknown callers and for failed authentication.
	CodeAuthentication = "28000"

	// CodeInvalidToken is reported for tokens that were not issued to the caller by this system.
	CodeInvalidToken = "28P01"

	// CodeProtocol is reported for malformed messages.
	CodeProtocol = "08P01"
)

// Failure is the error of a failed request.
type Failure struct {
	// Outcome is what is known about the execution of the request.
	Outcome Outcome

	// Reason lets the entry decide whether and where to retry.
	Reason Reason

	// Code is the SQLSTATE that the caller receives.
	Code string

	// Message is the text that the caller receives. It names the member or the limit concerned.
	Message string
}

// Error returns the message, the outcome and the code.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s, SQLSTATE %s)", f.Message, f.Outcome, f.Code)
}

// TermError reports that a member refused a request because it has granted a higher term.
type TermError struct {
	// Member is the name of the member.
	Member string

	// Granted is the highest term that the member has granted.
	Granted uint64
}

// Error returns a message with the member and the granted term.
func (e *TermError) Error() string {
	return fmt.Sprintf("member %s has granted term %d", e.Member, e.Granted)
}

// FailureOf returns the *Failure in the error's chain. Any other error is converted to a Failure with
// an unknown outcome, since nothing proves that the request was not executed.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{
		Outcome: OutcomeUnknown,
		Reason:  ReasonOther,
		Code:    CodeUnknown,
		Message: err.Error(),
	}
}
