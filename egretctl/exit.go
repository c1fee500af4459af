package main

import (
	"fmt"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/table"
	"egretlane.example/egret/table/form"
)

// exitStatus is the exit status of the process.
type exitStatus int

// The exit statuses. They are documented in the command's help.
const (
	exitOK       exitStatus = 0
	exitFailed   exitStatus = 1
	exitUsage    exitStatus = 2
	exitFaults   exitStatus = 3
	exitConflict exitStatus = 4
	exitUnknown  exitStatus = 5
	exitPartial  exitStatus = 6
)

// exitError is an error with its exit status.
type exitError struct {
	// status is not exitOK.
	status exitStatus

	// err is what is printed.
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

// commandError adds the exit status to an error of a command.
func commandError(err error) error {
	if err == nil || errors.HasType[*exitError](err) {
		return err
	}
	status := exitFailed
	switch {
	case errors.HasType[*form.Error](err):
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

// statusOf returns the exit status for what a command line came to. Commands give a status to each of
// their errors, so all others are of the command line.
func statusOf(err error) exitStatus {
	if err == nil {
		return exitOK
	}
	e, ok := errors.AsType[*exitError](err)
	if !ok {
		return exitUsage
	}
	return e.status
}
