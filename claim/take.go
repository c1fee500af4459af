package claim

import (
	"context"
	"slices"
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

	// silent says that the holder may live and only not be heard.
	silent bool

	// after is how long the cause must hold, before the head start of better placed processes.
	after time.Duration

	// first says that this process goes before all others.
	first bool

	// since is when the cause began.
	since clock.Time
}

// consider takes the service if there is a cause to. It returns true if none is near. Only Run calls it.
func (c *Claim) consider(ctx context.Context) bool {
	w := c.why()
	if w.name == "" {
		c.mu.Lock()
		r := c.seen.Record
		c.mu.Unlock()
		return c.Peers.Silent(r) == 0
	}
	since := clock.Since(w.since)
	if since < w.after {
		return false
	}
	// Each better placed process has a step's head start. Those beyond the steps that have passed don't
	// need to be counted.
	passed := int((since - w.after) / rankStep)
	if !w.first && c.Peers.Rank(c.Service, passed+1) > passed {
		return false
	}
	c.take(ctx, w)
	return false
}

// why returns the cause to take the service, if there is one.
func (c *Claim) why() cause {
	c.mu.Lock()
	seen, known, changed := c.seen, c.known, c.changedAt
	refrains := clock.Now() < c.voter.until
	leaving := c.leaving
	c.mu.Unlock()
	r := seen.Record
	switch {
	case !known || leaving:
		return cause{}
	case seen.Revision != 0 && r.Released:
		w := cause{
			name:    "released",
			stopped: true,
			first:   r.Successor == c.Self.Node,
			since:   changed,
		}
		if r.Successor != "" && !w.first {
			w.after = succession
		}
		return w
	case seen.Revision != 0 && r.Address == c.Self.Address:
		// No two processes listen at one address, so the one in the record has ended, or it is this
		// one, which has ended its holding.
		return cause{
			name:    "own former process",
			stopped: true,
			first:   true,
		}
	case seen.Revision != 0 && c.Peers.GaveUp(seen.Revision):
		return cause{
			name:    "holder gave up",
			stopped: true,
			since:   changed,
		}
	case refrains:
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
			name:   "holder silent",
			silent: true,
			after:  silence,
			since:  clock.Now().Add(-silent),
		}
	}
	return cause{}
}

// take writes the record, if it is still the one that was seen.
func (c *Claim) take(ctx context.Context, w cause) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	if w.silent && !c.confirmSilence(ctx) {
		return
	}
	c.mu.Lock()
	before := c.seen
	record := c.record()
	c.unsettled = before.Revision + 1
	c.mu.Unlock()
	record.Voters = c.Peers.Voters()
	record.Awaits = slices.Clone(before.Record.Awaits)
	first := c.Fresh && before.Revision == 0 && before.Record.Node == ""
	listed := !w.stopped && !first
	if listed {
		record.Awaits = append(record.Awaits, before.Record.Voters)
	}
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
		written := c.readBack(ctx)
		if written.Revision == 0 {
			c.pause(ctx, jitter(renewInterval))
			return
		}
		revision, record, listed = written.Revision, written.Record, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = 0
	c.givenUp = 0
	c.seen = Seen{
		Record:   record,
		Revision: revision,
	}
	c.known = true
	c.changedAt = clock.Now()
	c.mine, c.token = revision, revision
	c.former = before
	c.validUntil = 0
	c.awaits, c.formerListed = slices.Clone(record.Awaits), listed
	c.takenAt = clock.Now()
	c.usableFrom = clock.Now()
	if !w.stopped || len(c.awaits) > 0 {
		c.usableFrom = c.usableFrom.Add(TTL + margin)
	}
}

// confirmSilence reports whether the store answers and the holder still doesn't. Without it, a process
// that was cut off from both would take every service as soon as the cut has healed.
func (c *Claim) confirmSilence(ctx context.Context) bool {
	item, err := c.Keys.Read(ctx, c.key())
	if err != nil {
		c.pause(ctx, jitter(renewInterval))
		return false
	}
	c.mu.Lock()
	seen := c.seen
	c.mu.Unlock()
	if item.Revision != seen.Revision {
		c.Observe(item)
		return false
	}
	return !c.Peers.Answers(ctx, seen.Record)
}

func (c *Claim) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = 0
}

// readBack returns the key's record if it is this process's, else none. It may be that of an earlier
// write without an answer.
func (c *Claim) readBack(ctx context.Context) Seen {
	item, err := c.Keys.Read(ctx, c.key())
	if err != nil {
		return Seen{}
	}
	s, err := decode(item)
	if err == nil && s.Revision != 0 && c.own(s.Record) && !s.Record.Released && s.Revision > c.before() {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision == 0 || s.Revision > c.seen.Revision {
		c.observe(s)
	}
	return Seen{}
}

// before returns the newest revision that was seen.
func (c *Claim) before() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen.Revision
}

// waiting reports whether the former holder's right may still be in force.
func (c *Claim) waiting(ctx context.Context) bool {
	c.mu.Lock()
	left, former, listed, open := clock.Until(c.usableFrom), c.former, c.formerListed, len(c.awaits)
	c.mu.Unlock()
	if left <= 0 && open == 0 {
		return false
	}
	if listed && c.Peers.Stopped(ctx, former.Record) {
		c.Trail.Event("former-stopped").Str("service", c.Service).Str("former", former.Record.Node).Dur("spared", left).Msg("the former holder has stopped")
		c.strike()
		return true
	}
	if open > 0 {
		c.clear(ctx)
	}
	return true
}

// strike takes out the former holder, which has ended. If no other is awaited, the wait is over.
func (c *Claim) strike() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.awaits); c.formerListed && n > 0 {
		c.awaits = c.awaits[:n-1]
	}
	c.formerListed = false
	if len(c.awaits) == 0 {
		c.usableFrom = clock.Now()
	}
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
	c.writeVoters(ctx)
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
	c.renewedAt = sent
	if first && c.Held != nil {
		c.Trail.Event("service-held").Str("service", c.Service).Uint64("token", c.token).Str("primary", c.seen.Record.Primary).Msg("this process holds the service")
		c.lost = c.Held(c)
	}
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
