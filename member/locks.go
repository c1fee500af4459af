package member

import (
	"context"
	"fmt"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Keys of the advisory locks of egretlane. Their upper 24 bits tell them from the keys of other programs.
const (
	// slotKeyBase plus the slot's number, which starts at one, is the key of a slot lock.
	slotKeyBase = int64(0x656772) << 40

	// markKeyBase plus the process ID of a lane's connection is the key of its mark lock. The connection holds the lock
	// so that a proxy that takes over the lane finds it.
	markKeyBase = slotKeyBase | 1<<32
)

// Lock is an advisory lock that a connection of egretlane holds on a member.
type Lock struct {
	// Slot is the slot's number, or zero for a mark lock.
	Slot int

	// ProcessID is the ID of the member's process that serves the connection.
	ProcessID uint32

	// NodeID is the ID of the proxy that holds the lock.
	NodeID string
}

// SlotConn is a connection that holds slot locks. The member releases them when it ends.
//
// It is not safe for concurrent use.
type SlotConn struct {
	conn *pgconn.PgConn
}

// OpenSlotConn opens a connection for slot locks.
func (d *Dialer) OpenSlotConn(ctx context.Context, m egret.Member) (*SlotConn, error) {
	conn, err := d.Connect(ctx, m, PurposeSlots)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &SlotConn{
		conn: conn,
	}, nil
}

// TryLock takes the lock of a slot. It returns false if another connection holds it.
func (s *SlotConn) TryLock(ctx context.Context, slot int) (bool, error) {
	return queryBool(ctx, s.conn, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", slotKeyBase+int64(slot)))
}

// Unlock releases the lock of a slot.
func (s *SlotConn) Unlock(ctx context.Context, slot int) error {
	_, err := queryBool(ctx, s.conn, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", slotKeyBase+int64(slot)))
	return err
}

// Terminate ends the member's connection with the process ID. It is no error if the connection has already ended.
func (s *SlotConn) Terminate(ctx context.Context, process uint32) error {
	_, err := queryBool(ctx, s.conn, fmt.Sprintf("SELECT pg_terminate_backend(%d)", process))
	return err
}

// Locks returns the locks that connections of egretlane hold on the member, those of this connection included.
func (s *SlotConn) Locks(ctx context.Context) ([]Lock, error) {
	results, err := s.conn.Exec(ctx, "SELECT * FROM platform.locks()").ReadAll()
	if err != nil {
		return nil, errors.Annotate(err, "locks")
	}
	if len(results) != 1 {
		return nil, errors.NotValidf("answer of %d results", len(results))
	}
	locks := []Lock{}
	for _, r := range results[0].Rows {
		l, ours, err := parseLock(r)
		if err != nil {
			return nil, errors.Annotate(err, "locks")
		}
		if ours {
			locks = append(locks, l)
		}
	}
	return locks, nil
}

// ProcessID returns the ID of the member's process that serves the connection.
func (s *SlotConn) ProcessID() uint32 {
	return s.conn.PID()
}

// Close closes the connection, which releases the locks.
func (s *SlotConn) Close() {
	_ = s.conn.Conn().Close()
}

// takeMarkLock takes the mark lock of the connection.
func takeMarkLock(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := queryBool(ctx, conn, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", markKeyBase+int64(conn.PID())))
	return err
}

// parseLock parses a row of platform.locks. It returns false if the lock isn't one of egretlane.
func parseLock(row [][]byte) (Lock, bool, error) {
	if len(row) < 3 {
		return Lock{}, false, errors.NotValidf("row of %d columns", len(row))
	}
	key, err := strconv.ParseInt(string(row[0]), 10, 64)
	if err != nil {
		return Lock{}, false, errors.Trace(err)
	}
	process, err := strconv.ParseUint(string(row[1]), 10, 32)
	if err != nil {
		return Lock{}, false, errors.Trace(err)
	}
	node, _, ours := ParseApplicationName(string(row[2]))
	if !ours || key < slotKeyBase || key > markKeyBase|0xffffffff {
		return Lock{}, false, nil
	}
	slot := 0
	if key < markKeyBase {
		slot = int(key - slotKeyBase)
	}
	return Lock{
		Slot:      slot,
		ProcessID: uint32(process),
		NodeID:    node,
	}, true, nil
}

func queryBool(ctx context.Context, conn *pgconn.PgConn, query string) (bool, error) {
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return false, errors.Annotate(err, query)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return false, errors.NotValidf("answer to %q", query)
	}
	answer, err := strconv.ParseBool(string(results[0].Rows[0][0]))
	return answer, errors.Annotate(err, query)
}
