package lease

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// Valid reports whether this process holds the lease, and it has neither expired nor is it being released.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldRevision.Exists() && !l.releasing && clock.Now() < l.validUntil
}

// Acquired reports whether the record names this process as the holder. Its lease becomes valid once those of former
// holders have expired.
func (l *Lease) Acquired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldRevision.Exists()
}

// First reports whether no process had ever held the service when this one acquired the lease.
func (l *Lease) First() bool {
	return l.first.Load()
}

// UnusedSince returns a time since which no other process has used the service, or zero if none is known.
func (l *Lease) UnusedSince() clock.Time {
	return clock.Time(l.unusedSince.Load())
}

// Remaining returns how long the lease stays valid without a renewal.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldRevision.Exists() {
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
	if !l.heldRevision.Exists() || l.validUntil != 0 || !l.votersUnreachable {
		return 0
	}
	return max(0, clock.Until(l.acquiredAt.Add(l.maxFencing())))
}

// FencingToken returns the fencing token: that of the revision at which this process acquired the lease.
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

// PrimaryUncertain reports that another member may have been promoted since Primary was: the store was restored, or the
// intents of a former holder are lost.
func (l *Lease) PrimaryUncertain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwrittenIntent.Primary == "" && l.primaryUncertain()
}

// primaryUncertain reports whether the primary in the record is uncertain. The caller holds mu.
func (l *Lease) primaryUncertain() bool {
	return l.latest.Record.PrimaryUncertain || l.intentsLost
}

// Release ends the lease and writes to the record that other processes may acquire it, the successor first. The
// caller must have stopped using the service.
func (l *Lease) Release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	l.mu.Lock()
	revision := l.heldRevision
	l.releasing = revision.Exists()
	l.mu.Unlock()
	if !revision.Exists() {
		return
	}
	for ctx.Err() == nil {
		l.mu.Lock()
		record := l.ownRecord()
		l.mu.Unlock()
		record.Released = true
		record.Successor = successor
		_, err := l.writeRecord(ctx, revision, record)
		l.EventLog.Event("service-released").Str("service", l.Service).Str("revision", revision.String()).Str("successor", successor).Err(err).Msg("asked the store to record the release of the lease")
		if err == nil {
			l.endReleased()
			return
		}
		if errors.Is(err, egret.ErrConflict) {
			stored, held := l.readHeld(ctx, revision)
			if !held {
				break
			}
			revision = stored
			continue
		}
		l.sleep(ctx, jitter(2*checkInterval))
	}
	l.endIfHeld("the release was not confirmed")
}

// endReleased ends a lease whose record says that it is released. It resets givenUpRevision, so that others learn
// of the release from the record only: otherwise they would try to acquire the lease at the revision before the
// release, ahead of the successor, and fail.
func (l *Lease) endReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision.Exists() {
		l.endLease("released")
	}
	l.givenUpRevision = egret.Revision{}
}

// maxPrimaryWrites bounds the writes of SetPrimary that follow other writes of this process to its record.
const maxPrimaryWrites = 4

// SetPrimary records that the member is about to be made primary. If the store doesn't respond, a majority of the
// voters records it.
func (l *Lease) SetPrimary(ctx context.Context, member string) error {
	return l.setPrimary(ctx, member, maxPrimaryWrites)
}

// setPrimary is SetPrimary with a bound for the number of writes.
func (l *Lease) setPrimary(ctx context.Context, member string, maxWrites int) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	l.mu.Lock()
	token := l.token
	l.mu.Unlock()
	for writes, first := 1, true; ; first = false {
		l.mu.Lock()
		revision := l.heldRevision
		l.mu.Unlock()
		err := l.writePrimary(ctx, member)
		if err == nil {
			return nil
		}
		// The store may have executed the write nevertheless; a read shows whether it has.
		if stored, displaced := l.readDisplaced(ctx); first && displaced && l.restoreRecord(ctx, stored) {
			continue
		}
		if l.Primary() == member && l.Valid() {
			return nil
		}
		if errors.Is(err, egret.ErrConflict) && writes < maxWrites && l.rewrittenSince(revision, token) {
			writes++
			continue
		}
		if errors.Is(err, egret.ErrConflict) || errors.Is(err, egret.ErrLeaseExpired) || !l.sendIntent(member) {
			return errors.Annotatef(err, "primary of %s", l.Service)
		}
		return nil
	}
}

// rewrittenSince reports whether this process, which still holds the lease with the token, has itself changed its record
// since the revision.
func (l *Lease) rewrittenSince(revision egret.Revision, token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldRevision.Exists() && l.token == token && l.heldRevision == l.latest.Stored && revision.Before(l.heldRevision)
}

// writePrimary writes the primary to the record.
func (l *Lease) writePrimary(ctx context.Context, member string) error {
	l.mu.Lock()
	revision, record, order := l.heldRevision, l.ownRecord(), l.nextOrder()
	l.mu.Unlock()
	if !revision.Exists() {
		return egret.ErrLeaseExpired
	}
	record.Primary, record.PrimaryOrder, record.PrimaryUncertain = member, order, false
	written, err := l.writeRecord(ctx, revision, record)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwrittenIntent = Intent{}
	l.intentsLost = false
	if l.heldRevision == revision {
		l.setHeld(written, record)
	}
	return nil
}

// Members returns the members in the record that may have acknowledged commits.
func (l *Lease) Members() []egret.KnownMember {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest.Record.Members
}

// SetMembers writes the members that may have acknowledged commits to the record.
func (l *Lease) SetMembers(ctx context.Context, members []egret.KnownMember) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	l.mu.Lock()
	revision, record := l.heldRevision, l.ownRecord()
	l.mu.Unlock()
	if !revision.Exists() {
		return egret.ErrLeaseExpired
	}
	record.Members = members
	written, err := l.writeRecord(ctx, revision, record)
	if err != nil {
		// The next read shows whether the store has executed the write.
		return errors.Annotatef(err, "members of %s", l.Service)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision == revision {
		l.setHeld(written, record)
	}
	return nil
}

// ownRecord returns a record that names this process as the holder. The caller holds mu.
func (l *Lease) ownRecord() Record {
	r := Record{
		Node:         l.Self.Node,
		Incarnation:  l.Self.Incarnation,
		Address:      l.Self.Address,
		Primary:      l.latest.Record.Primary,
		PrimaryOrder: l.latest.Record.PrimaryOrder,
		Members:      l.latest.Record.Members,
		Voters:       l.latest.Record.Voters,
	}
	r.PrimaryUncertain = l.primaryUncertain()
	r.Reclaimed = l.claim != nil
	if l.heldRevision.Exists() && l.validUntil == 0 {
		r.Awaits = l.latest.Record.Awaits
		r.AwaitsUnknown = l.latest.Record.AwaitsUnknown
		r.Unasked = l.latest.Record.Unasked
		r.Contested = l.latest.Record.Contested
		r.AskedSince = l.latest.Record.AskedSince
	}
	if l.unwrittenIntent.Primary != "" {
		r.Primary, r.PrimaryOrder, r.PrimaryUncertain = l.unwrittenIntent.Primary, l.unwrittenIntent.Order, false
	}
	return r
}
