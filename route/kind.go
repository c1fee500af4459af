package route

import (
	"slices"
	"strings"
	"time"
)

// Action is what a statement does to its transaction, as far as its first words tell.
type Action int

// The actions of statements.
const (
	// ActionWrite needs the primary. It is the answer in doubt.
	ActionWrite Action = iota

	// ActionRead may be tried on a replica.
	ActionRead

	// ActionBegin opens a transaction that may write.
	ActionBegin

	// ActionBeginReadOnly opens a transaction that only reads.
	ActionBeginReadOnly

	// ActionEnd commits or rolls back.
	ActionEnd

	// ActionSession would leave state behind on a shared connection.
	ActionSession

	// ActionSetReadOnly makes read-only the default of the session's transactions.
	ActionSetReadOnly

	// ActionSetReadWrite takes that back.
	ActionSetReadWrite

	// ActionSetHint sets what changes no answer, as drivers do when they connect.
	ActionSetHint

	// ActionReset drops what the proxy keeps for the session.
	ActionReset

	// ActionShow asks for a value of the proxy's own.
	ActionShow
)

// showPrefix starts the names of values that the proxy itself answers for.
const showPrefix = "EGRETLANE."

// Request is what the entry knows of a batch before it routes it.
type Request struct {
	// Actions are those of the statements, in order.
	Actions []Action

	// Kind is the name that routes match: the tag, or "read" or "write".
	Kind string

	// MaxAge is the tag's age, or a negative one if there is none.
	MaxAge time.Duration

	// Group is the group that the tag names, or "".
	Group string

	// GroupKey picks a group of the pool by hash, or is "".
	GroupKey string

	// Traceparent is the caller's trace context, or "".
	Traceparent string

	// IdempotencyKey says that the caller's request may be repeated, if not "".
	IdempotencyKey string
}

// Classify reads a request from its texts. readOnly is the session's default for transactions.
func Classify(texts []Text, readOnly bool) Request {
	r := Request{
		MaxAge: -1,
	}
	for _, t := range texts {
		for _, s := range t.Statements {
			r.Actions = append(r.Actions, actionOf(s, readOnly))
		}
		for _, g := range t.Tags {
			r.tag(g)
		}
	}
	if r.Kind == "" {
		r.Kind = "write"
		if r.ReadOnly() {
			r.Kind = "read"
		}
	}
	return r
}

// ReadOnly reports whether the request may be tried on a replica: it opens a read-only transaction,
// or each statement reads.
func (r *Request) ReadOnly() bool {
	if len(r.Actions) > 0 && r.Actions[0] == ActionBeginReadOnly {
		return true
	}
	return !slices.ContainsFunc(r.Actions, func(a Action) bool {
		return a != ActionRead
	})
}

// Has reports whether a statement of the request has the action.
func (r *Request) Has(a Action) bool {
	return slices.Contains(r.Actions, a)
}

func (r *Request) tag(t Tag) {
	switch t.Key {
	case "kind":
		r.Kind = t.Value
	case "max-age":
		if age, err := time.ParseDuration(t.Value); err == nil && age >= 0 {
			r.MaxAge = age
		}
	case "group":
		r.Group = t.Value
	case "group-key":
		r.GroupKey = t.Value
	case "traceparent":
		r.Traceparent = t.Value
	case "idempotency-key":
		r.IdempotencyKey = t.Value
	}
}

func actionOf(s Statement, readOnly bool) Action {
	if len(s.Words) == 0 {
		return ActionRead
	}
	switch s.Words[0] {
	case "SELECT", "TABLE", "VALUES", "WITH", "EXPLAIN":
		return ActionRead
	case "SHOW":
		if len(s.Words) > 1 && strings.HasPrefix(s.Words[1], showPrefix) {
			return ActionShow
		}
		return ActionRead
	case "BEGIN", "START":
		return beginOf(s, readOnly)
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return endOf(s)
	case "SET":
		return setOf(s)
	case "RESET", "DISCARD", "DEALLOCATE", "UNLISTEN":
		return ActionReset
	case "LISTEN", "DECLARE", "PREPARE", "EXECUTE", "LOAD", "COPY", "FETCH", "MOVE", "CLOSE":
		return ActionSession
	case "CREATE":
		if len(s.Words) > 1 && strings.HasPrefix(s.Words[1], "TEMP") {
			return ActionSession
		}
	}
	return ActionWrite
}

func beginOf(s Statement, readOnly bool) Action {
	if hasRun(s.Words, "READ", "ONLY") {
		return ActionBeginReadOnly
	}
	if readOnly && !hasRun(s.Words, "READ", "WRITE") {
		return ActionBeginReadOnly
	}
	return ActionBegin
}

// endOf tells the end of a transaction from statements that leave one open: back to a savepoint, or
// on to the next transaction.
func endOf(s Statement) Action {
	if slices.Contains(s.Words, "TO") || slices.Contains(s.Words, "PREPARED") || hasRun(s.Words, "AND", "CHAIN") {
		return ActionWrite
	}
	return ActionEnd
}

func setOf(s Statement) Action {
	switch {
	case len(s.Words) > 1 && s.Words[1] == "LOCAL":
		return ActionWrite
	case len(s.Words) > 1 && s.Words[1] == "TRANSACTION":
		return ActionRead
	case slices.Contains(s.Words, "CHARACTERISTICS") && hasRun(s.Words, "READ", "ONLY"):
		return ActionSetReadOnly
	case slices.Contains(s.Words, "CHARACTERISTICS") && hasRun(s.Words, "READ", "WRITE"):
		return ActionSetReadWrite
	case len(s.Words) > 1:
		return setValueOf(s.Words[1], s.Words[len(s.Words)-1])
	default:
		return ActionSession
	}
}

// setValueOf tells what the setting of a value means. A value in quotes isn't among the words.
func setValueOf(name, value string) Action {
	switch name {
	case "EXTRA_FLOAT_DIGITS", "APPLICATION_NAME", "CLIENT_MIN_MESSAGES":
		return ActionSetHint
	case "DEFAULT_TRANSACTION_READ_ONLY":
		switch value {
		case "ON", "TRUE":
			return ActionSetReadOnly
		case "OFF", "FALSE":
			return ActionSetReadWrite
		}
	}
	return ActionSession
}

// hasRun reports whether b follows a among the words.
func hasRun(words []string, a, b string) bool {
	for i := 0; i+1 < len(words); i++ {
		if words[i] == a && words[i+1] == b {
			return true
		}
	}
	return false
}
