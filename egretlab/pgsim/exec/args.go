package exec

import (
	"strconv"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// SQLSTATE codes for invalid arguments.
const (
	// CodeInvalidValue is for a value out of range.
	CodeInvalidValue = "22023"

	// CodeInvalidText is for text that isn't valid for the type.
	CodeInvalidText = "22P02"

	// CodeUndefinedParameter is for a parameter without a value.
	CodeUndefinedParameter = "42P02"
)

// MaxDuration limits the durations in arguments, so that they don't overflow time.Duration.
const MaxDuration = 24 * time.Hour

// Arguments holds the parameter values for one execution of a statement.
type Arguments struct {
	// Parameters holds the value of $1 first.
	Parameters []codec.Value
}

// value returns the value of a literal or a parameter.
func (a Arguments) value(v query.Value) (codec.Value, error) {
	if v.Parameter == 0 {
		return codec.Value{
			Null: v.Null,
			Text: v.Text,
		}, nil
	}
	if v.Parameter > len(a.Parameters) {
		return codec.Value{}, core.Errorf(CodeUndefinedParameter, "there is no parameter $%d", v.Parameter)
	}
	return a.Parameters[v.Parameter-1], nil
}

// Text returns the value for a column. It fails for NULL.
func (a Arguments) Text(column string, v query.Value) (string, error) {
	c, err := a.value(v)
	if err != nil {
		return "", err
	}
	if c.Null {
		return "", core.Errorf(core.CodeNotNullViolation, "null value in column %q violates not-null constraint", column)
	}
	return c.Text, nil
}

// matchID returns the id that a WHERE clause matches, or nil for all rows. NULL matches no row; for it the
// result is an id that no row can have.
func (a Arguments) matchID(v *query.Value) (*string, error) {
	if v == nil {
		return nil, nil
	}
	c, err := a.value(*v)
	if err != nil {
		return nil, err
	}
	if c.Null {
		c.Text = "\x00"
	}
	return &c.Text, nil
}

// Integer returns the value as an integer. It fails for NULL.
func (a Arguments) Integer(v query.Value) (int64, error) {
	c, err := a.value(v)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(c.Text, 10, 64)
	if err != nil || c.Null {
		return 0, core.Errorf(CodeInvalidText, "invalid input syntax for type bigint: %q", c.Text)
	}
	return n, nil
}

func (a Arguments) float(v query.Value) (float64, error) {
	c, err := a.value(v)
	if err != nil {
		return 0, err
	}
	f, err := strconv.ParseFloat(c.Text, 64)
	if err != nil || c.Null {
		return 0, core.Errorf(CodeInvalidText, "invalid input syntax for type double precision: %q", c.Text)
	}
	return f, nil
}

// PositionAndTimeout returns the arguments of a function that waits for a position: term, offset and
// timeout in milliseconds.
func (a Arguments) PositionAndTimeout(n *query.Call) (egret.Position, time.Duration, error) {
	term, err := a.Unsigned(n.Arguments[0])
	if err != nil {
		return egret.Position{}, 0, err
	}
	offset, err := a.Unsigned(n.Arguments[1])
	if err != nil {
		return egret.Position{}, 0, err
	}
	millis, err := a.Unsigned(n.Arguments[2])
	if err != nil {
		return egret.Position{}, 0, err
	}
	timeout := time.Duration(min(millis, uint64(MaxDuration.Milliseconds()))) * time.Millisecond
	return egret.Position{
		Term:   term,
		Offset: offset,
	}, timeout, nil
}

// Unsigned returns the value as an integer. It fails for NULL and below zero.
func (a Arguments) Unsigned(v query.Value) (uint64, error) {
	n, err := a.Integer(v)
	if err != nil {
		return 0, err
	}
	if n < 0 {
		return 0, core.Errorf(CodeInvalidValue, "%d is below zero", n)
	}
	return uint64(n), nil
}
