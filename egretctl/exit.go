package main

import (
	"fmt"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/table"
	"egretlane.example/egret/table/codec"
)

// exitStatus is the exit status of the process.
type exitStatus int

// The exit statuses. The help text of the command describes them.
const (
	exitOK       exitStatus = 0
	exitFailed   exitStatus = 1
	exitUsage    exitStatus = 2
	exitFaults   exitStatus = 3
	exitConflict exitStatus = 4
	exitUnknown  exitStatus = 5
	exitPartial  exitStatus = 6
)

// exitError is an error with the exit status of the process.
type exitError struct {
	// status is not exitOK.
	status exitStatus

	// err is the error that is printed.
	err error
}

// Error returns the message that is printed.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the error without its status.
func (e *exitError) Unwrap() error {
	return e.err
}

func usageError(format string, a ...any) error {
	return &exitError{
		status: exitUsage,
		err:    fmt.Errorf(format, a...),
	}
}

// commandError adds the exit status to an error of a command, if it has none.
func commandError(err error) error {
	if err == nil || errors.HasType[*exitError](err) {
		return err
	}
	status := exitFailed
	switch {
	case errors.HasType[*codec.Error](err):
		status = exitFaults
	case errors.Is(err, egret.ErrConflict):
		status = exitConflict
	case errors.HasType[*table.OutcomeError](err):
		status = exitUnknown
	}
	return &exitError{
		status: status,
		err:    err,
	}
}

// exitStatusOf returns the exit status for the error of a run. Commands add a status to each of their errors, so an
// error without one comes from parsing the command line.
func exitStatusOf(err error) exitStatus {
	if err == nil {
		return exitOK
	}
	e, ok := errors.AsType[*exitError](err)
	if !ok {
		return exitUsage
	}
	return e.status
}
