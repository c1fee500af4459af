package route

import (
	"slices"
	"strings"
	"time"
)

// Action is what a statement does to its transaction or session, as far as its first words show.
type Action int

// The actions of statements.
const (
	// ActionWrite needs the primary. Statements that are not recognized have this action.
	ActionWrite Action = iota

	// ActionRead may be tried on a replica.
	ActionRead

	// ActionBegin opens a transaction that may write.
	ActionBegin

	// ActionBeginReadOnly opens a transaction that only reads.
	ActionBeginReadOnly

	// ActionEnd commits or rolls back the transaction.
	ActionEnd

	// ActionSessionState would leave session state on a connection that other sessions use later.
	ActionSessionState

	// ActionSetReadOnly makes read-only the default of the session's transactions.
	ActionSetReadOnly

	// ActionSetReadWrite makes read-write the default of the session's transactions.
	ActionSetReadWrite

	// ActionSetIgnored sets a parameter that doesn't change results, as drivers do when they connect.
	ActionSetIgnored

	// ActionReset resets state that the proxy keeps for the session.
	ActionReset

	// ActionShow reads a parameter of the proxy itself.
	ActionShow
)

// showPrefix is the prefix of the names of the proxy's own parameters.
const showPrefix = "EGRETLANE."

// Request describes a batch of statements before it is routed.
type Request struct {
	// Actions are the actions of the statements, in order.
	Actions []Action

	// Kind is the kind that routes match: the value of the tag, or else "read" or "write".
	Kind string

	// MaxAge is the tag's limit of the age of the data, or negative if there is none.
	MaxAge time.Duration

	// Group is the name of the group in the tag, or "".
	Group string

	// GroupKey is the key in the tag from whose hash the group is chosen, or "".
	GroupKey string

	// Traceparent is the caller's trace context, or "".
	Traceparent string

	// IdempotencyKey is the caller's key for the request, or "". A request with a key may be run again.
	IdempotencyKey string
}

// Classify returns the request for the scanned texts of a batch. readOnly is the session's default for transactions.
func Classify(texts []ScannedQuery, readOnly bool) Request {
	r := Request{
		MaxAge: -1,
	}
	for _, t := range texts {
		for _, s := range t.Statements {
			r.Actions = append(r.Actions, actionOf(s, readOnly))
		}
		for _, g := range t.Tags {
			r.applyTag(g)
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

// applyTag sets the field that belongs to the tag. Unknown tags and invalid ages are ignored.
func (r *Request) applyTag(t Tag) {
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
		return ActionSessionState
	case "CREATE":
		if len(s.Words) > 1 && strings.HasPrefix(s.Words[1], "TEMP") {
			return ActionSessionState
		}
	}
	return ActionWrite
}

func beginOf(s Statement, readOnly bool) Action {
	if hasPair(s.Words, "READ", "ONLY") {
		return ActionBeginReadOnly
	}
	if readOnly && !hasPair(s.Words, "READ", "WRITE") {
		return ActionBeginReadOnly
	}
	return ActionBegin
}

// endOf returns ActionEnd for statements that end the transaction of the connection. It returns ActionWrite for a
// rollback to a savepoint, for the end of a prepared transaction, and for AND CHAIN, which opens the next one.
func endOf(s Statement) Action {
	if slices.Contains(s.Words, "TO") || slices.Contains(s.Words, "PREPARED") || hasPair(s.Words, "AND", "CHAIN") {
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
	case slices.Contains(s.Words, "CHARACTERISTICS") && hasPair(s.Words, "READ", "ONLY"):
		return ActionSetReadOnly
	case slices.Contains(s.Words, "CHARACTERISTICS") && hasPair(s.Words, "READ", "WRITE"):
		return ActionSetReadWrite
	case len(s.Words) > 1:
		return setValueOf(s.Words[1], s.Words[len(s.Words)-1])
	default:
		return ActionSessionState
	}
}

// setValueOf returns the action of setting a parameter. A value in quotes isn't among the words.
func setValueOf(name, value string) Action {
	switch name {
	case "EXTRA_FLOAT_DIGITS", "APPLICATION_NAME", "CLIENT_MIN_MESSAGES":
		return ActionSetIgnored
	case "DEFAULT_TRANSACTION_READ_ONLY":
		switch value {
		case "ON", "TRUE":
			return ActionSetReadOnly
		case "OFF", "FALSE":
			return ActionSetReadWrite
		}
	}
	return ActionSessionState
}

// hasPair reports whether the word a is directly followed by b.
func hasPair(words []string, a, b string) bool {
	for i := 0; i+1 < len(words); i++ {
		if words[i] == a && words[i+1] == b {
			return true
		}
	}
	return false
}
