package lease

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// Valid reports whether this process holds the lease and it hasn't expired.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldRevision != 0 && clock.Now() < l.validUntil
}

// Acquired reports whether the record names this process as the holder. Its lease becomes valid once those of former
// holders have expired.
func (l *Lease) Acquired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldRevision != 0
}

// Remaining returns how long the lease stays valid without a renewal.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision == 0 {
		return 0
	}
	return clock.Until(l.validUntil)
}

// AwaitsUnreachable returns how long this process waits until it may use the service because the voters of a former
// holder can't be reached. It is zero if this process waits for no such voters. Meanwhile the former holder may use the
// service, with the promises of these voters.
func (l *Lease) AwaitsUnreachable() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision == 0 || l.validUntil != 0 || !l.votersUnreachable {
		return 0
	}
	return max(0, clock.Until(l.acquiredAt.Add(maxExtension+clockDriftMargin)))
}

// FencingToken returns the fencing token: the revision at which this process acquired the lease.
func (l *Lease) FencingToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// HolderName returns the name of this process's node.
func (l *Lease) HolderName() string {
	return l.Self.Node
}

// Primary returns the member that was made primary last, or "" if none ever was.
func (l *Lease) Primary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unwrittenIntent.Primary != "" {
		return l.unwrittenIntent.Primary
	}
	return l.latest.Record.Primary
}

// Release ends the lease and writes to the record that other processes may acquire it, the successor first. The
// caller must have stopped using the service.
func (l *Lease) Release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	l.mu.Lock()
	revision, record := l.heldRevision, l.latest.Record
	l.mu.Unlock()
	if revision == 0 {
		return
	}
	record.Released = true
	record.Awaits = nil
	record.Successor = successor
	for ctx.Err() == nil {
		_, err := l.writeRecord(ctx, revision, record)
		l.EventLog.Event("service-released").Str("service", l.Service).Uint64("revision", revision).Str("successor", successor).Err(err).Msg("asked the store to record the release of the lease")
		if err == nil {
			l.endReleased()
			return
		}
		if errors.Is(err, egret.ErrConflict) {
			break
		}
	}
	l.endIfHeld("the release was not confirmed")
}

// endReleased ends a lease whose record says that it is released. It resets givenUpRevision, so that others learn
// of the release from the record only: otherwise they would try to acquire the lease at the revision before the
// release, ahead of the successor, and fail.
func (l *Lease) endReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision != 0 {
		l.endLease("released")
	}
	l.givenUpRevision = 0
}

// SetPrimary records that the member is about to be made primary. If the store doesn't respond, a majority of the
// voters records it.
func (l *Lease) SetPrimary(ctx context.Context, member string) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	l.mu.Lock()
	revision, record := l.heldRevision, l.ownRecord()
	l.mu.Unlock()
	if revision == 0 {
		return errors.Annotatef(egret.ErrLeaseExpired, "service %s", l.Service)
	}
	record.Primary = member
	written, err := l.writeRecord(ctx, revision, record)
	if err != nil {
		// The store may have executed the write nevertheless; a read shows whether it has.
		if item, readErr := l.Keys.Read(ctx, l.recordKey()); readErr == nil {
			l.Observe(item)
		}
		if l.Primary() == member && l.Valid() {
			return nil
		}
		if errors.Is(err, egret.ErrConflict) || !l.sendIntent(member) {
			return errors.Annotatef(err, "primary of %s", l.Service)
		}
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwrittenIntent = Intent{}
	if l.heldRevision == revision {
		l.heldRevision = written
		l.latest = VersionedRecord{
			Record:   record,
			Revision: written,
		}
	}
	return nil
}

// ownRecord returns a record that names this process as the holder. The caller holds mu.
func (l *Lease) ownRecord() Record {
	r := Record{
		Node:        l.Self.Node,
		Incarnation: l.Self.Incarnation,
		Address:     l.Self.Address,
		Primary:     l.latest.Record.Primary,
		Voters:      l.latest.Record.Voters,
	}
	if l.heldRevision != 0 && l.validUntil == 0 {
		r.Awaits = l.latest.Record.Awaits
	}
	if l.unwrittenIntent.Primary != "" {
		r.Primary = l.unwrittenIntent.Primary
	}
	return r
}
