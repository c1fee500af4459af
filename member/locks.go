package member

import (
	"context"
	"fmt"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// The advisory locks of egretlane. The upper 24 bits of a key are its own.
const (
	// slotKeys is added to a slot's number, which starts at one.
	slotKeys = int64(0x656772) << 40

	// markKeys is added to a process. A lane's connection holds the lock so that a lane which
	// takes over finds it.
	markKeys = slotKeys | 1<<32
)

// Lock is an advisory lock that some connection of egretlane holds.
type Lock struct {
	// Slot is the slot's number, or zero for a connection's mark.
	Slot int

	// Process is the member's process of the connection.
	Process uint32

	// NodeID is the proxy that holds the lock.
	NodeID string
}

// Slots is a connection that holds slot locks. They end with it.
//
// It is not safe for concurrent use.
type Slots struct {
	conn *pgconn.PgConn
}

// OpenSlots opens a connection for slot locks.
func (d *Dialer) OpenSlots(ctx context.Context, m egret.Member) (*Slots, error) {
	conn, err := d.Connect(ctx, m, PurposeSlots)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Slots{
		conn: conn,
	}, nil
}

// TryLock takes the lock of a slot. It returns false if another connection holds it.
func (s *Slots) TryLock(ctx context.Context, slot int) (bool, error) {
	return askBool(ctx, s.conn, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", slotKeys+int64(slot)))
}

// Unlock gives back the lock of a slot.
func (s *Slots) Unlock(ctx context.Context, slot int) error {
	_, err := askBool(ctx, s.conn, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", slotKeys+int64(slot)))
	return err
}

// Terminate ends another connection of the member. A connection that is already gone is no error.
func (s *Slots) Terminate(ctx context.Context, process uint32) error {
	_, err := askBool(ctx, s.conn, fmt.Sprintf("SELECT pg_terminate_backend(%d)", process))
	return err
}

// Locks lists the locks that egretlane holds on the member, this connection's included.
func (s *Slots) Locks(ctx context.Context) ([]Lock, error) {
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

// Process returns the member's process of this connection.
func (s *Slots) Process() uint32 {
	return s.conn.PID()
}

// Close ends the connection and with it the locks.
func (s *Slots) Close() {
	_ = s.conn.Conn().Close()
}

// mark takes the lock that names the connection to lanes that take over.
func mark(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := askBool(ctx, conn, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", markKeys+int64(conn.PID())))
	return err
}

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
	if !ours || key < slotKeys || key > markKeys|0xffffffff {
		return Lock{}, false, nil
	}
	slot := 0
	if key < markKeys {
		slot = int(key - slotKeys)
	}
	return Lock{
		Slot:    slot,
		Process: uint32(process),
		NodeID:  node,
	}, true, nil
}

func askBool(ctx context.Context, conn *pgconn.PgConn, query string) (bool, error) {
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
