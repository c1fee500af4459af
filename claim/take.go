package claim

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// cause is why a process takes a service.
type cause struct {
	// name is for the log. It is empty if there is no cause.
	name string

	// stopped says that the former holder is known to have stopped.
	stopped bool

	// after is how long the cause must hold, before the head start of better placed processes.
	after time.Duration

	// first says that this process goes before all others.
	first bool

	// since is when the cause began.
	since clock.Time
}

// consider takes the service if there is a cause to. Only Run calls it.
func (c *Claim) consider(ctx context.Context) {
	w := c.why()
	if w.name == "" {
		return
	}
	wait := w.after
	if !w.first {
		wait += time.Duration(c.Peers.Rank(c.Service)) * rankStep
	}
	if clock.Since(w.since) < wait {
		return
	}
	c.take(ctx, w)
}

// why returns the cause to take the service, if there is one.
func (c *Claim) why() cause {
	c.mu.Lock()
	seen, known, changed := c.seen, c.known, c.changedAt
	refrains := clock.Now() < c.refrain
	leaving := c.leaving
	c.mu.Unlock()
	r := seen.Record
	switch {
	case !known || leaving:
		return cause{}
	case seen.Revision != 0 && r.Released:
		return cause{
			name:    "released",
			stopped: true,
			first:   r.Successor == c.Self.Node,
			since:   changed,
		}
	case seen.Revision != 0 && r.Address == c.Self.Address:
		// No two processes listen at one address, so the one in the record has ended.
		return cause{
			name:    "own former process",
			stopped: r.Incarnation != c.Self.Incarnation,
			first:   true,
		}
	case refrains || !c.Peers.Seasoned():
		return cause{}
	case seen.Revision == 0:
		return cause{
			name:  "no holder",
			after: absence,
			since: changed,
		}
	}
	if silent := c.Peers.Silent(r); silent > silence {
		return cause{
			name:  "holder silent",
			after: silence,
			since: clock.Now().Add(-silent),
		}
	}
	return cause{}
}

// take writes the record, if it is still the one that was seen.
func (c *Claim) take(ctx context.Context, w cause) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	c.mu.Lock()
	before := c.seen
	record := c.record()
	c.unsettled = before.Revision + 1
	c.mu.Unlock()
	revision, err := c.write(ctx, before.Revision, record)
	c.Trail.Event("service-claimed").Str("service", c.Service).Str("cause", w.name).Str("former", before.Record.Node).
		Uint64("before", before.Revision).Uint64("revision", revision).Bool("stopped", w.stopped).Err(err).Msg("this process asked for the service")
	switch {
	case err == nil:
	case errors.Is(err, egret.ErrNotServed):
		c.settle()
		c.pause(ctx, jitter(renewInterval))
		return
	default:
		if errors.Is(err, egret.ErrConflict) {
			c.settle()
		}
		revision = c.readBack(ctx)
		if revision == 0 {
			c.pause(ctx, jitter(renewInterval))
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = 0
	c.seen = Seen{
		Record:   record,
		Revision: revision,
	}
	c.known = true
	c.changedAt = clock.Now()
	c.mine, c.token = revision, revision
	c.former = before
	c.validUntil = 0
	c.usableFrom = clock.Now()
	if !w.stopped {
		c.usableFrom = c.usableFrom.Add(TTL + margin)
	}
}

func (c *Claim) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = 0
}

// readBack returns the key's revision if its record is this process's, else zero.
func (c *Claim) readBack(ctx context.Context) uint64 {
	item, err := c.Keys.Read(ctx, c.key())
	if err != nil {
		return 0
	}
	s, err := decode(item)
	if err == nil && s.Revision != 0 && c.own(s.Record) && !s.Record.Released {
		return s.Revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision == 0 || s.Revision > c.seen.Revision {
		c.observe(s)
	}
	return 0
}

// waiting reports whether the former holder's right may still be in force.
func (c *Claim) waiting(ctx context.Context) bool {
	c.mu.Lock()
	left, former := clock.Until(c.usableFrom), c.former
	c.mu.Unlock()
	if left <= 0 {
		return false
	}
	if !c.Peers.Stopped(ctx, former.Record) {
		return true
	}
	c.Trail.Event("former-stopped").Str("service", c.Service).Str("former", former.Record.Node).Dur("spared", left).Msg("the former holder has stopped")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usableFrom = clock.Now()
	return false
}

// renew reads the key and extends the right if it is unchanged. It returns false if the store gave
// no answer.
func (c *Claim) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := clock.Now()
	item, err := c.Keys.Read(ctx, c.key())
	if err != nil {
		c.Trail.Event("renewal-failed").Str("service", c.Service).Dur("left", c.Left()).Err(err).Msg("the holding was not renewed")
		return false
	}
	s, err := decode(item)
	if err != nil || s.Revision == 0 {
		c.restore(ctx)
		return true
	}
	c.confirm(s, sent)
	c.writePrimary(ctx)
	return true
}

// confirm takes a record that was read in a call sent at the time.
func (c *Claim) confirm(s Seen, sent clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision > c.seen.Revision {
		c.observe(s)
	}
	if c.mine == 0 || s.Revision != c.mine {
		return
	}
	first := c.validUntil == 0
	c.validUntil = max(c.validUntil, sent.Add(TTL))
	if first && c.Held != nil {
		c.Trail.Event("service-held").Str("service", c.Service).Uint64("token", c.token).Str("primary", c.seen.Record.Primary).Msg("this process holds the service")
		c.lost = c.Held(c)
	}
}

// extend keeps the right in force by the promises of all who may take the service over, while the
// store gives no answer. A right that has lapsed is not revived: what the others saw meanwhile isn't
// known.
func (c *Claim) extend(ctx context.Context) {
	c.mu.Lock()
	revision, valid, primary := c.mine, clock.Now() < c.validUntil, c.unwritten
	c.mu.Unlock()
	if revision == 0 || !valid {
		return
	}
	sent := clock.Now()
	promised := c.Peers.Promise(ctx, c.Service, revision, promiseTime, primary)
	c.Trail.Event("promises-asked").Str("service", c.Service).Uint64("revision", revision).Bool("all", promised).Dur("left", c.Left()).Msg("asked the others not to take the service over")
	if !promised {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine == revision {
		c.validUntil = max(c.validUntil, sent.Add(promiseTime))
	}
}

// writePrimary writes the primary that was told to the others only.
func (c *Claim) writePrimary(ctx context.Context) {
	c.mu.Lock()
	member := c.unwritten
	c.mu.Unlock()
	if member == "" {
		return
	}
	err := c.SetPrimary(ctx, member)
	c.Trail.Event("primary-written").Str("service", c.Service).Str("member", member).Err(err).Msg("the store was told of the primary")
}

// restore writes a key that the store has dropped. While the right is in force, no successor has
// begun: it waits out the right, and then reads the key, which names this process again.
func (c *Claim) restore(ctx context.Context) {
	c.mu.Lock()
	record := c.record()
	valid := clock.Now() < c.validUntil
	c.mu.Unlock()
	revision, err := c.write(ctx, 0, record)
	c.Trail.Event("record-restored").Str("service", c.Service).Uint64("revision", revision).Bool("valid", valid).Err(err).Msg("the store had dropped the record")
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if errors.Is(err, egret.ErrConflict) {
			c.end("another process wrote the dropped record")
		}
		return
	}
	if c.mine == 0 {
		return
	}
	c.mine = revision
	c.seen = Seen{
		Record:   record,
		Revision: revision,
	}
	if clock.Now() >= c.validUntil {
		c.end("the right lapsed before the record was restored")
	}
}

func (c *Claim) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
