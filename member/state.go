package member

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// SQLSTATE codes of the platform functions.
const (
	// CodeFloorTimeout is the error of platform.require if the member's reads don't see the floor in time.
	CodeFloorTimeout = "EL001"

	// CodeTermRefused is the refusal of a term because the member has granted a higher one.
	CodeTermRefused = "EL002"
)

// StatusQuery asks a member for its state. It uses no slot.
const StatusQuery = "SELECT * FROM platform.status()"

// The columns of a state row.
const (
	columnMember = iota
	columnRole
	columnGranted
	columnReceivedTerm
	columnReceivedOffset
	columnAppliedTerm
	columnAppliedOffset
	columnUpstream
	columnLeaving
	columnConnections
	columnRunning
	columnCount
)

// grantedTermPattern matches the term at the end of the message of a CodeTermRefused refusal.
var grantedTermPattern = regexp.MustCompile(`has granted term (\d+)$`)

// ParseState parses a state row in text format. The time sampled is when the row arrived.
func ParseState(row [][]byte, sampled time.Time) (egret.MemberState, error) {
	if len(row) < columnCount {
		return egret.MemberState{}, errors.NotValidf("state row of %d columns", len(row))
	}
	r := rowReader{
		row: row,
	}
	state := egret.MemberState{
		Member:      string(row[columnMember]),
		Role:        egret.Role(row[columnRole]),
		GrantedTerm: r.uint(columnGranted),
		Received: egret.Position{
			Term:   r.uint(columnReceivedTerm),
			Offset: r.uint(columnReceivedOffset),
		},
		Applied: egret.Position{
			Term:   r.uint(columnAppliedTerm),
			Offset: r.uint(columnAppliedOffset),
		},
		Upstream:          r.address(columnUpstream),
		Leaving:           r.bool(columnLeaving),
		RunningStatements: int(r.uint(columnRunning)),
		SampledAt:         sampled,
	}
	return state, errors.Annotate(r.err, "state row")
}

// rowReader parses the columns of a row and keeps the first error.
type rowReader struct {
	row [][]byte
	err error
}

func (r *rowReader) uint(column int) uint64 {
	v, err := strconv.ParseUint(string(r.row[column]), 10, 64)
	r.recordError(err)
	return v
}

func (r *rowReader) bool(column int) bool {
	v, err := strconv.ParseBool(string(r.row[column]))
	r.recordError(err)
	return v
}

// address returns the invalid zero address for an empty column.
func (r *rowReader) address(column int) netip.AddrPort {
	if len(r.row[column]) == 0 {
		return netip.AddrPort{}
	}
	v, err := netip.ParseAddrPort(string(r.row[column]))
	r.recordError(err)
	return v
}

func (r *rowReader) recordError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// IsFloorTimeout reports whether the error is a member's refusal with CodeFloorTimeout.
func IsFloorTimeout(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && refusal.Code == CodeFloorTimeout
}

// termError returns a *egret.TermError if err is a refusal with CodeTermRefused, or else err itself.
func termError(m egret.Member, err error) error {
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) || refusal.Code != CodeTermRefused {
		return err
	}
	found := grantedTermPattern.FindStringSubmatch(refusal.Message)
	if found == nil {
		return err
	}
	granted, parseErr := strconv.ParseUint(found[1], 10, 64)
	if parseErr != nil {
		return err
	}
	return &egret.TermError{
		Member:  m.Name,
		Granted: granted,
	}
}
