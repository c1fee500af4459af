package lease

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// cause is the reason for which a process acquires the lease.
type cause struct {
	// name is the name in the log. It is empty if there is no cause.
	name string

	// holderStopped says that the former holder is known to have stopped using the service.
	holderStopped bool

	// holderUnresponsive says that the holder doesn't respond to this process, but may still be running.
	holderUnresponsive bool

	// delay is how long the cause must last before the process of the highest rank acquires the lease.
	delay time.Duration

	// preferred says that this process doesn't wait for processes of a higher rank.
	preferred bool

	// since is when the cause began.
	since clock.Time
}

// tryAcquire acquires the lease if there is a cause to. It returns true if there is none and the holder
// responds. Only Run calls it.
func (c *Lease) tryAcquire(ctx context.Context) bool {
	why := c.acquisitionCause()
	if why.name == "" {
		c.mu.Lock()
		r := c.latest.Record
		c.mu.Unlock()
		return c.Peers.UnresponsiveFor(r) == 0
	}
	age := clock.Since(why.since)
	if age < why.delay {
		return false
	}
	// Each process of a higher rank has a head start of rankDelay. Rank doesn't need to count more of them than
	// delays have passed.
	passed := int((age - why.delay) / rankDelay)
	if !why.preferred && c.Peers.Rank(c.Service, passed+1) > passed {
		return false
	}
	c.acquire(ctx, why)
	return false
}

// acquisitionCause returns the cause to acquire the lease now, or one without a name.
func (c *Lease) acquisitionCause() cause {
	c.mu.Lock()
	latest, known, changedAt := c.latest, c.latestKnown, c.latestChangedAt
	promised := clock.Now() < c.voter.promisedUntil
	disabled := c.acquisitionDisabled
	c.mu.Unlock()
	r := latest.Record
	switch {
	case !known || disabled:
		return cause{}
	case latest.Revision != 0 && r.Released:
		released := cause{
			name:          "released",
			holderStopped: true,
			preferred:     r.Successor == c.Self.Node,
			since:         changedAt,
		}
		if r.Successor != "" && !released.preferred {
			released.delay = successorHeadStart
		}
		return released
	case latest.Revision != 0 && r.Address == c.Self.Address:
		// No two processes listen at one address, so the holder in the record is an earlier run of this process
		// that has terminated, or it is this run, whose lease has ended.
		return cause{
			name:          "holder at own address",
			holderStopped: true,
			preferred:     true,
		}
	case latest.Revision != 0 && c.Peers.GaveUp(latest.Revision):
		return cause{
			name:          "holder gave up",
			holderStopped: true,
			since:         changedAt,
		}
	case promised:
		return cause{}
	case latest.Revision == 0:
		return cause{
			name:  "no holder",
			delay: missingRecordDelay,
			since: changedAt,
		}
	}
	if unresponsive := c.Peers.UnresponsiveFor(r); unresponsive > holderTimeout {
		return cause{
			name:               "holder silent",
			holderUnresponsive: true,
			delay:              holderTimeout,
			since:              clock.Now().Add(-unresponsive),
		}
	}
	return cause{}
}

// acquire replaces the latest known record by one that names this process, unless the key has changed since.
func (c *Lease) acquire(ctx context.Context, why cause) {
	ctx, cancel := context.WithTimeout(ctx, 2*operationTimeout)
	defer cancel()
	if why.holderUnresponsive && !c.confirmUnresponsive(ctx) {
		return
	}
	c.mu.Lock()
	former := c.latest
	record := c.ownRecord()
	c.uncertainWrite = former.Revision + 1
	c.mu.Unlock()
	record.Voters = c.Peers.Voters()
	record.Awaits = slices.Clone(former.Record.Awaits)
	first := c.Bootstrap && former.Revision == 0 && former.Record.Node == ""
	awaitFormer := !why.holderStopped && !first
	if awaitFormer {
		record.Awaits = append(record.Awaits, former.Record.Voters)
	}
	revision, err := c.writeRecord(ctx, former.Revision, record)
	c.EventLog.Event("service-claimed").Str("service", c.Service).Str("cause", why.name).Str("former", former.Record.Node).
		Uint64("before", former.Revision).Uint64("revision", revision).Bool("stopped", why.holderStopped).Err(err).Msg("tried to acquire the lease on the service")
	switch {
	case err == nil:
	case errors.Is(err, egret.ErrRefused):
		c.clearUncertainWrite()
		c.sleep(ctx, jitter(renewInterval))
		return
	default:
		if errors.Is(err, egret.ErrConflict) {
			c.clearUncertainWrite()
		}
		stored := c.readBack(ctx)
		if stored.Revision == 0 {
			c.sleep(ctx, jitter(renewInterval))
			return
		}
		revision, record, awaitFormer = stored.Revision, stored.Record, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncertainWrite = 0
	c.givenUpRevision = 0
	c.latest = VersionedRecord{
		Record:   record,
		Revision: revision,
	}
	c.latestKnown = true
	c.latestChangedAt = clock.Now()
	c.heldRevision, c.token = revision, revision
	c.replaced = former
	c.validUntil = 0
	c.awaitedVoters, c.replacedAwaited = slices.Clone(record.Awaits), awaitFormer
	c.acquiredAt = clock.Now()
	c.usableFrom = clock.Now()
	if !why.holderStopped || len(c.awaitedVoters) > 0 {
		c.usableFrom = c.usableFrom.Add(leaseTTL + clockDriftMargin)
	}
}

// confirmUnresponsive reports whether the store responds with an unchanged record and the holder still doesn't
// respond. Without this check, a process that was partitioned from both would acquire every lease as soon as
// the partition has healed.
func (c *Lease) confirmUnresponsive(ctx context.Context) bool {
	item, err := c.Keys.Read(ctx, c.recordKey())
	if err != nil {
		c.sleep(ctx, jitter(renewInterval))
		return false
	}
	c.mu.Lock()
	latest := c.latest
	c.mu.Unlock()
	if item.Revision != latest.Revision {
		c.Observe(item)
		return false
	}
	return !c.Peers.Responds(ctx, latest.Record)
}

func (c *Lease) clearUncertainWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncertainWrite = 0
}

// readBack reads the key after a write of unknown outcome, and returns its record if it names this process, else
// the zero value. The record may come from an earlier write whose response was lost.
func (c *Lease) readBack(ctx context.Context) VersionedRecord {
	item, err := c.Keys.Read(ctx, c.recordKey())
	if err != nil {
		return VersionedRecord{}
	}
	v, err := decodeRecord(item)
	if err == nil && v.Revision != 0 && c.isOwn(v.Record) && !v.Record.Released && v.Revision > c.latestRevision() {
		return v
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Revision == 0 || v.Revision > c.latest.Revision {
		c.observe(v)
	}
	return VersionedRecord{}
}

func (c *Lease) latestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest.Revision
}

// formerMayBeValid reports whether the lease of a former holder may still be valid. It advances the wait for
// that: it checks whether the former holder has stopped, and else asks voters to refuse promises to it.
func (c *Lease) formerMayBeValid(ctx context.Context) bool {
	c.mu.Lock()
	remaining, replaced, awaited, lists := clock.Until(c.usableFrom), c.replaced, c.replacedAwaited, len(c.awaitedVoters)
	c.mu.Unlock()
	if remaining <= 0 && lists == 0 {
		return false
	}
	if awaited && c.Peers.Stopped(ctx, replaced.Record) {
		c.EventLog.Event("former-stopped").Str("service", c.Service).Str("former", replaced.Record.Node).Dur("spared", remaining).Msg("the former holder has stopped; no need to wait until its lease expires")
		c.dropReplaced()
		return true
	}
	if lists > 0 {
		c.fenceFormerHolders(ctx)
	}
	return true
}

// dropReplaced ends the wait for the replaced holder, which has stopped. If this process waits for no other
// former holder, it may use the service at once.
func (c *Lease) dropReplaced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.awaitedVoters); c.replacedAwaited && n > 0 {
		c.awaitedVoters = c.awaitedVoters[:n-1]
	}
	c.replacedAwaited = false
	if len(c.awaitedVoters) == 0 {
		c.usableFrom = clock.Now()
	}
}

// renew reads the key and extends the lease if the key is unchanged. It returns false if the read failed.
func (c *Lease) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	sent := clock.Now()
	item, err := c.Keys.Read(ctx, c.recordKey())
	if err != nil {
		c.EventLog.Event("renewal-failed").Str("service", c.Service).Dur("left", c.Remaining()).Err(err).Msg("failed to read the record to renew the lease")
		return false
	}
	v, err := decodeRecord(item)
	if err != nil || v.Revision == 0 {
		c.restoreRecord(ctx)
		return true
	}
	c.confirmRecord(v, sent)
	c.writeIntent(ctx)
	c.writeVoters(ctx)
	return true
}

// confirmRecord extends the lease to leaseTTL after the given time, at which the read of the record was sent, if
// the record is still the one that this process holds.
func (c *Lease) confirmRecord(v VersionedRecord, sent clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Revision > c.latest.Revision {
		c.observe(v)
	}
	if c.heldRevision == 0 || v.Revision != c.heldRevision {
		return
	}
	first := c.validUntil == 0
	c.validUntil = max(c.validUntil, sent.Add(leaseTTL))
	c.renewedAt = sent
	if first && c.OnValid != nil {
		c.EventLog.Event("service-held").Str("service", c.Service).Uint64("token", c.token).Str("primary", c.latest.Record.Primary).Msg("this process holds a valid lease on the service")
		c.onLost = c.OnValid(c)
	}
}

// restoreRecord writes the record again after the store has lost the key. It is safe while the lease is valid: a
// successor doesn't use the service before the lease has expired and it has then read the key unchanged, but
// that names this process again.
func (c *Lease) restoreRecord(ctx context.Context) {
	c.mu.Lock()
	record := c.ownRecord()
	valid := clock.Now() < c.validUntil
	c.mu.Unlock()
	revision, err := c.writeRecord(ctx, 0, record)
	c.EventLog.Event("record-restored").Str("service", c.Service).Uint64("revision", revision).Bool("valid", valid).Err(err).Msg("the store had lost the record; tried to write it again")
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if errors.Is(err, egret.ErrConflict) {
			c.endLease("another process wrote the lost record")
		}
		return
	}
	if c.heldRevision == 0 {
		return
	}
	c.heldRevision = revision
	c.latest = VersionedRecord{
		Record:   record,
		Revision: revision,
	}
	if clock.Now() >= c.validUntil {
		c.endLease("the lease expired before the record was restored")
	}
}

func (c *Lease) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
