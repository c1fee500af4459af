package claim

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// Valid reports whether this process may use the service now.
func (c *Claim) Valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mine != 0 && clock.Now() < c.validUntil
}

// Asked reports whether this process holds the service, or will once the former holder's right has ended.
func (c *Claim) Asked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mine != 0
}

// Left returns how long the right lasts without a renewal.
func (c *Claim) Left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine == 0 {
		return 0
	}
	return clock.Until(c.validUntil)
}

// Token returns the revision at which the service was taken.
func (c *Claim) Token() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// Holder returns the name of the node.
func (c *Claim) Holder() string {
	return c.Self.Node
}

// Primary returns the member that was made primary last.
func (c *Claim) Primary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unwritten.Primary != "" {
		return c.unwritten.Primary
	}
	return c.seen.Record.Primary
}

// Release gives the service to others. The caller has stopped to use it.
func (c *Claim) Release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	c.mu.Lock()
	revision, record := c.mine, c.seen.Record
	c.mu.Unlock()
	if revision == 0 {
		return
	}
	record.Released = true
	record.Awaits = nil
	record.Successor = successor
	for ctx.Err() == nil {
		_, err := c.write(ctx, revision, record)
		c.Trail.Event("service-released").Str("service", c.Service).Uint64("revision", revision).Str("successor", successor).Err(err).Msg("this process has left the service")
		if err == nil {
			c.endReleased()
			return
		}
		if errors.Is(err, egret.ErrConflict) {
			break
		}
	}
	c.stop("the release was not confirmed")
}

// endReleased ends a holding whose record says that it is released. The process doesn't tell others of it:
// they would ask for the service at the revision before the release, in vain and ahead of the successor.
func (c *Claim) endReleased() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine != 0 {
		c.end("released")
	}
	c.givenUp = 0
}

// SetPrimary records the member that is about to be made primary.
func (c *Claim) SetPrimary(ctx context.Context, member string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c.mu.Lock()
	revision, record := c.mine, c.record()
	c.mu.Unlock()
	if revision == 0 {
		return errors.Annotatef(egret.ErrLeaseLapsed, "service %s", c.Service)
	}
	record.Primary = member
	written, err := c.write(ctx, revision, record)
	if err != nil {
		// The write may have been carried out. The next read tells.
		if item, readErr := c.Keys.Read(ctx, c.key()); readErr == nil {
			c.Observe(item)
		}
		if c.Primary() == member && c.Valid() {
			return nil
		}
		if errors.Is(err, egret.ErrConflict) || !c.tell(member) {
			return errors.Annotatef(err, "primary of %s", c.Service)
		}
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten = Intent{}
	if c.mine == revision {
		c.mine = written
		c.seen = Seen{
			Record:   record,
			Revision: written,
		}
	}
	return nil
}

// record returns the record that names this process. The caller holds mu.
func (c *Claim) record() Record {
	r := Record{
		Node:        c.Self.Node,
		Incarnation: c.Self.Incarnation,
		Address:     c.Self.Address,
		Primary:     c.seen.Record.Primary,
		Voters:      c.seen.Record.Voters,
	}
	if c.mine != 0 && c.validUntil == 0 {
		r.Awaits = c.seen.Record.Awaits
	}
	if c.unwritten.Primary != "" {
		r.Primary = c.unwritten.Primary
	}
	return r
}
