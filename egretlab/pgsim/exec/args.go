package exec

import (
	"strconv"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// SQLSTATE codes of arguments that don't fit.
const (
	// CodeBadValue is for values out of range.
	CodeBadValue = "22023"

	// CodeBadText is for text that isn't of the type.
	CodeBadText = "22P02"

	// CodeNoParameter is for parameters that have no value.
	CodeNoParameter = "42P02"
)

// MaxWait bounds the durations in arguments, so that they fit their type.
const MaxWait = 24 * time.Hour

// Arguments is the parameters of one run.
type Arguments struct {
	// Parameters has the value of $1 first.
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
		return codec.Value{}, core.Errorf(CodeNoParameter, "there is no parameter $%d", v.Parameter)
	}
	return a.Parameters[v.Parameter-1], nil
}

// Text returns the value of a column that can't be NULL.
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

// where returns the id to match, or nil for all rows. NULL matches no row, as an id that nothing
// can have.
func (a Arguments) where(v *query.Value) (*string, error) {
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

// Integer returns the value of a number.
func (a Arguments) Integer(v query.Value) (int64, error) {
	c, err := a.value(v)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(c.Text, 10, 64)
	if err != nil || c.Null {
		return 0, core.Errorf(CodeBadText, "invalid input syntax for type bigint: %q", c.Text)
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
		return 0, core.Errorf(CodeBadText, "invalid input syntax for type double precision: %q", c.Text)
	}
	return f, nil
}

// Position returns the Arguments of a function that waits for a position.
func (a Arguments) Position(n *query.Call) (egret.Position, time.Duration, error) {
	term, err := a.Natural(n.Arguments[0])
	if err != nil {
		return egret.Position{}, 0, err
	}
	offset, err := a.Natural(n.Arguments[1])
	if err != nil {
		return egret.Position{}, 0, err
	}
	millis, err := a.Natural(n.Arguments[2])
	if err != nil {
		return egret.Position{}, 0, err
	}
	wait := time.Duration(min(millis, uint64(MaxWait.Milliseconds()))) * time.Millisecond
	return egret.Position{
		Term:   term,
		Offset: offset,
	}, wait, nil
}

// Natural returns a number that is not below zero.
func (a Arguments) Natural(v query.Value) (uint64, error) {
	n, err := a.Integer(v)
	if err != nil {
		return 0, err
	}
	if n < 0 {
		return 0, core.Errorf(CodeBadValue, "%d is below zero", n)
	}
	return uint64(n), nil
}
