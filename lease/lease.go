package lease

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// Valid reports whether this process holds the lease and it hasn't expired.
func (c *Lease) Valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldRevision != 0 && clock.Now() < c.validUntil
}

// Acquired reports whether the record names this process as the holder. Its lease becomes valid once those of former
// holders have expired.
func (c *Lease) Acquired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldRevision != 0
}

// Remaining returns how long the lease stays valid without a renewal.
func (c *Lease) Remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision == 0 {
		return 0
	}
	return clock.Until(c.validUntil)
}

// FencingToken returns the fencing token: the revision at which this process acquired the lease.
func (c *Lease) FencingToken() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// HolderName returns the name of this process's node.
func (c *Lease) HolderName() string {
	return c.Self.Node
}

// Primary returns the member that was made primary last, or "" if none ever was.
func (c *Lease) Primary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unwrittenIntent.Primary != "" {
		return c.unwrittenIntent.Primary
	}
	return c.latest.Record.Primary
}

// Release ends the lease and writes to the record that other processes may acquire it, the successor first. The
// caller must have stopped using the service.
func (c *Lease) Release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	c.mu.Lock()
	revision, record := c.heldRevision, c.latest.Record
	c.mu.Unlock()
	if revision == 0 {
		return
	}
	record.Released = true
	record.Awaits = nil
	record.Successor = successor
	for ctx.Err() == nil {
		_, err := c.writeRecord(ctx, revision, record)
		c.EventLog.Event("service-released").Str("service", c.Service).Uint64("revision", revision).Str("successor", successor).Err(err).Msg("asked the store to record the release of the lease")
		if err == nil {
			c.endReleased()
			return
		}
		if errors.Is(err, egret.ErrConflict) {
			break
		}
	}
	c.endIfHeld("the release was not confirmed")
}

// endReleased ends a lease whose record says that it is released. It resets givenUpRevision, so that others learn
// of the release from the record only: otherwise they would try to acquire the lease at the revision before the
// release, ahead of the successor, and fail.
func (c *Lease) endReleased() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision != 0 {
		c.endLease("released")
	}
	c.givenUpRevision = 0
}

// SetPrimary records that the member is about to be made primary. If the store doesn't respond, a majority of the
// voters records it.
func (c *Lease) SetPrimary(ctx context.Context, member string) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	c.mu.Lock()
	revision, record := c.heldRevision, c.ownRecord()
	c.mu.Unlock()
	if revision == 0 {
		return errors.Annotatef(egret.ErrLeaseLapsed, "service %s", c.Service)
	}
	record.Primary = member
	written, err := c.writeRecord(ctx, revision, record)
	if err != nil {
		// The store may have executed the write nevertheless; a read shows whether it has.
		if item, readErr := c.Keys.Read(ctx, c.recordKey()); readErr == nil {
			c.Observe(item)
		}
		if c.Primary() == member && c.Valid() {
			return nil
		}
		if errors.Is(err, egret.ErrConflict) || !c.sendIntent(member) {
			return errors.Annotatef(err, "primary of %s", c.Service)
		}
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwrittenIntent = Intent{}
	if c.heldRevision == revision {
		c.heldRevision = written
		c.latest = VersionedRecord{
			Record:   record,
			Revision: written,
		}
	}
	return nil
}

// ownRecord returns a record that names this process as the holder. The caller holds mu.
func (c *Lease) ownRecord() Record {
	r := Record{
		Node:        c.Self.Node,
		Incarnation: c.Self.Incarnation,
		Address:     c.Self.Address,
		Primary:     c.latest.Record.Primary,
		Voters:      c.latest.Record.Voters,
	}
	if c.heldRevision != 0 && c.validUntil == 0 {
		r.Awaits = c.latest.Record.Awaits
	}
	if c.unwrittenIntent.Primary != "" {
		r.Primary = c.unwrittenIntent.Primary
	}
	return r
}
