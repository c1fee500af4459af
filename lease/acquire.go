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

	// stored is the revision of the key for which the cause holds.
	stored egret.Revision
}

// tryAcquire acquires the lease if there is a cause to. It returns true if there is none and the holder
// responds. Only Run calls it.
func (l *Lease) tryAcquire(ctx context.Context) bool {
	why := l.acquisitionCause()
	if why.name == "" {
		l.mu.Lock()
		r := l.latest.Record
		l.mu.Unlock()
		return l.Peers.UnresponsiveFor(r) == 0
	}
	age := clock.Since(why.since)
	if age < why.delay || why.holderUnresponsive && clock.Now() < l.contestAgainAt {
		return false
	}
	// Each process of a higher rank has a head start of rankDelay.
	passed := int((age - why.delay) / rankDelay)
	mayAcquire := l.Peers.MayAcquire
	if why.holderUnresponsive {
		mayAcquire = l.Peers.MayReplace
	}
	if !why.preferred && !mayAcquire(l.Service, passed) {
		return false
	}
	l.acquire(ctx, why)
	return false
}

// acquisitionCause returns the cause to acquire the lease now, or one without a name.
func (l *Lease) acquisitionCause() cause {
	l.mu.Lock()
	latest, known, changedAt := l.latest, l.latestKnown, l.latestChangedAt
	promised := clock.Now() < l.voter.promisedUntil
	disabled := l.acquisitionDisabled
	restored := l.mayHaveLostRecords()
	l.mu.Unlock()
	if !known || disabled {
		return cause{}
	}
	why := l.causeOf(latest, changedAt, promised)
	why.stored = latest.Stored
	if !restored {
		return why
	}
	// A holder that this process doesn't know may use the service. It has time to write its record again, and its lease
	// is waited for.
	if promised {
		return cause{}
	}
	why.holderStopped = false
	why.delay = max(why.delay, missingRecordDelay)
	if why.since < changedAt {
		why.since = changedAt
	}
	return why
}

// causeOf returns the cause to acquire the lease if the record is the newest, or one without a name.
func (l *Lease) causeOf(latest VersionedRecord, changedAt clock.Time, promised bool) cause {
	r, gaveUpAt := latest.Record, l.Peers.GaveUpAt(latest.Revision)
	switch {
	case latest.Stored.Exists() && r.Released:
		released := cause{
			name:          "released",
			holderStopped: true,
			preferred:     r.Successor == l.Self.Node,
			since:         changedAt,
		}
		if r.Successor != "" && !released.preferred {
			released.delay = successorHeadStart
		}
		return released
	case latest.Stored.Exists() && r.Address == l.Self.Address:
		// No two processes listen at one address, so the holder in the record is an earlier run of this process
		// that has terminated, or it is this run, whose lease has ended.
		return cause{
			name:          "holder at own address",
			holderStopped: true,
			preferred:     true,
		}
	case latest.Stored.Exists() && gaveUpAt != 0:
		return cause{
			name:          "holder gave up",
			holderStopped: true,
			since:         gaveUpAt,
		}
	case promised:
		return cause{}
	case !latest.Stored.Exists():
		return cause{
			name:  "no holder",
			delay: missingRecordDelay,
			since: changedAt,
		}
	}
	// The holder was running when it wrote the record, so that earlier silence doesn't count.
	unresponsive := min(l.Peers.UnresponsiveFor(r), clock.Since(changedAt))
	if unresponsive <= holderTimeout {
		return cause{}
	}
	return cause{
		name:               "holder silent",
		holderUnresponsive: true,
		delay:              holderTimeout + l.Peers.ReplacementDelay(r),
		since:              clock.Now().Add(-unresponsive),
	}
}

// acquire replaces the record for which the cause holds by one that names this process, unless the key has changed since.
func (l *Lease) acquire(ctx context.Context, why cause) {
	ctx, cancel := context.WithTimeout(ctx, 2*operationTimeout)
	defer cancel()
	reached := true
	if why.holderUnresponsive {
		probe := l.probeFormerVoters(ctx)
		if !l.confirmUnresponsive(ctx) {
			return
		}
		reached = <-probe
	}
	former, record, awaitFormer := l.claimRecord(why, reached)
	if former.Stored != why.stored {
		return
	}
	if l.reclaimedLately(former, record) {
		l.contestAgainAt = clock.Now().Add(jitter(contestInterval))
		return
	}
	first := l.neverRecorded(former) && !record.AwaitsUnknown
	revision, err := l.writeRecord(ctx, former.Stored, record)
	l.EventLog.Event("service-claimed").Str("service", l.Service).Str("cause", why.name).Str("former", former.Record.Node).
		Str("before", former.Stored.String()).Str("revision", revision.String()).Bool("stopped", why.holderStopped).
		Bool("unknown", record.AwaitsUnknown).Bool("contested", record.Contested != nil).Err(err).Msg("tried to acquire the lease on the service")
	switch {
	case err == nil:
	case errors.Is(err, egret.ErrRefused):
		l.sleep(ctx, jitter(renewInterval))
		return
	default:
		stored := l.readBack(ctx)
		if !stored.Revision.Exists() {
			l.sleep(ctx, jitter(renewInterval))
			return
		}
		revision, record, awaitFormer = stored.Revision, stored.Record, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.givenUpRevision = egret.Revision{}
	l.setHeld(revision, record)
	l.latestChangedAt = clock.Now()
	l.token = revision.Token()
	l.first.Store(first)
	l.unusedSince.Store(int64(l.stoppedAt(why, former.Record, record)))
	l.replaced = former
	l.validUntil = 0
	l.awaitedVoters, l.replacedAwaited = slices.Clone(record.Awaits), awaitFormer
	l.awaitsUnknown = record.AwaitsUnknown
	l.unaskedVoters = slices.Clone(record.Unasked)
	l.intentsLost = false
	l.votersUnreachable = false
	l.votersReachedAt = 0
	l.acquiredAt = clock.Now()
	l.usableFrom = clock.Now()
	if !why.holderStopped || len(l.awaitedVoters) > 0 || l.awaitsUnknown {
		l.usableFrom = l.usableFrom.Add(leaseTTL + clockDriftMargin)
	}
	l.wake()
}

// claimRecord returns the latest record, the one by which this process replaces it, and whether the lease of the former holder
// may be valid. reached says that a majority of the former holder's voters answers, or need not be asked.
func (l *Lease) claimRecord(why cause, reached bool) (former VersionedRecord, record Record, awaitFormer bool) {
	l.mu.Lock()
	former, newest, restored := l.latest, l.newest, l.mayHaveLostRecords()
	record = l.ownRecord()
	l.mu.Unlock()
	record.Voters = l.Peers.Voters()
	record.AwaitsUnknown = former.Record.AwaitsUnknown || restored
	record.PrimaryUncertain = former.Record.PrimaryUncertain || restored
	awaitFormer = !why.holderStopped && !l.neverHeld(former)
	record.addFormer(former.Record, newest, awaitFormer, why.holderStopped)
	if contested := !reached || former.Record.Contested != nil; contested && !record.AwaitsUnknown && len(record.Awaits) > 0 {
		record.Contested = former.contestedHolder()
	}
	if record.Contested != nil && record.Contested.Node == l.Self.Node {
		// A process acquires a service only after its own lease, or that of its earlier run, has ended.
		record.Contested = nil
	}
	return former, record, awaitFormer
}

// neverHeld reports whether no process holds the service, as the store has no record of it. If the store was restored, or may
// have been before this process started, a holder whose record is lost writes it again, or can't extend its lease by promises
// for longer than maxExtension.
func (l *Lease) neverHeld(former VersionedRecord) bool {
	if former.Stored.Exists() || former.Record.Node != "" {
		return false
	}
	if l.neverRecorded(former) {
		return true
	}
	known := l.Peers.EraKnownSince()
	return known != 0 && clock.Since(known) > maxExtension+clockDriftMargin
}

// stoppedAt returns the time since which no former holder can have used the service that this process has acquired, or zero if
// it isn't known. A holder in an earlier run of this process had ended before this one started.
func (l *Lease) stoppedAt(why cause, former, record Record) clock.Time {
	switch {
	case !why.holderStopped || len(record.Awaits) > 0 || record.AwaitsUnknown:
		return 0
	case former.Released || former.Address != l.Self.Address:
		return why.since
	case former.Incarnation != l.Self.Incarnation:
		return l.StartedAt
	default:
		return 0
	}
}

// neverRecorded reports whether no process has ever held the service: the whole fleet starts for the first time, and neither
// this process nor the store, which was never restored, has had a record.
func (l *Lease) neverRecorded(former VersionedRecord) bool {
	return l.Bootstrap && !former.Stored.Exists() && former.Record.Node == "" && former.Stored.Era <= firstEra
}

// confirmUnresponsive reports whether the store responds with an unchanged record and the holder still doesn't
// respond. Without this check, a process that was partitioned from both would acquire every lease as soon as
// the partition has healed.
func (l *Lease) confirmUnresponsive(ctx context.Context) bool {
	item, err := l.Keys.Read(ctx, l.recordKey())
	if err != nil {
		l.sleep(ctx, jitter(renewInterval))
		return false
	}
	l.mu.Lock()
	latest := l.latest
	l.mu.Unlock()
	if item.Revision != latest.Stored {
		l.Observe(item)
		return false
	}
	return !l.Peers.Responds(ctx, latest.Record)
}

// readBack reads the key after a write of unknown outcome, and returns its record if it names this process, else
// the zero value. The record may come from an earlier write whose response was lost.
func (l *Lease) readBack(ctx context.Context) VersionedRecord {
	item, err := l.Keys.Read(ctx, l.recordKey())
	if err != nil {
		return VersionedRecord{}
	}
	v, err := decodeRecord(item)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outdated(item) {
		return VersionedRecord{}
	}
	if err == nil && v.Stored.Exists() && !v.restored() && l.isOwn(v.Record) && !v.Record.Released {
		return v
	}
	l.observe(v)
	return VersionedRecord{}
}

// mustAwaitFormer reports whether this process can't use the service yet, as the lease of a former holder may be valid, or
// as voters may have a newer primary than the record. It advances the wait: it checks whether the former holder has
// stopped, and asks voters to refuse promises to it and to return its intents.
func (l *Lease) mustAwaitFormer(ctx context.Context) bool {
	if l.awaitsNoFormer() {
		return false
	}
	l.mu.Lock()
	remaining, replaced, awaited := clock.Until(l.usableFrom), l.replaced, l.replacedAwaited
	l.mu.Unlock()
	if awaited && l.formerStopped(ctx, replaced.Record, remaining) {
		l.EventLog.Event("former-stopped").Str("service", l.Service).Str("former", replaced.Record.Node).Dur("spared", remaining).Msg("the former holder has stopped; no need to wait until its lease expires")
		l.dropReplaced()
	}
	if l.hasVotersToAsk() {
		if l.leavesToContested(ctx) {
			l.stopFencing()
		} else {
			l.fenceFormerHolders(ctx)
		}
	}
	return !l.awaitsNoFormer()
}

// formerStopped reports whether the former holder is known to have stopped. It waits for an answer no longer than for the
// lease of the former holder to expire.
func (l *Lease) formerStopped(ctx context.Context, former Record, remaining time.Duration) bool {
	if remaining > 0 {
		limited, cancel := context.WithTimeout(ctx, remaining)
		defer cancel()
		ctx = limited
	}
	return l.Peers.Stopped(ctx, former)
}

// awaitsNoFormer reports whether this process may use the service as soon as a read shows that it is the holder.
func (l *Lease) awaitsNoFormer() bool {
	return !l.hasVotersToAsk() && l.usableAt() <= clock.Now()
}

// usableAt returns when the lease of the former holder has expired.
func (l *Lease) usableAt() clock.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usableFrom
}

// hasVotersToAsk reports whether voters of former holders have not answered yet.
func (l *Lease) hasVotersToAsk() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.awaitedVoters) > 0 || len(l.unaskedVoters) > 0 || l.awaitsUnknown
}

// dropReplaced ends the wait for the lease of the replaced holder, which has stopped. Its voters are still asked for its
// intents. If this process waits for no other former holder, it may use the service once they have answered.
func (l *Lease) dropReplaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.awaitedVoters); l.replacedAwaited && n > 0 {
		l.unaskedVoters = append(l.unaskedVoters, l.awaitedVoters[n-1])
		l.awaitedVoters = l.awaitedVoters[:n-1]
	}
	l.replacedAwaited, l.votersUnreachable = false, false
	if len(l.awaitedVoters) == 0 && !l.awaitsUnknown {
		l.usableFrom = clock.Now()
	}
}

// renew reads the key and extends the lease if the key is unchanged. It returns false if the read failed.
func (l *Lease) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	sent := clock.Now()
	item, err := l.Keys.Read(ctx, l.recordKey())
	if err != nil {
		l.EventLog.Event("renewal-failed").Str("service", l.Service).Dur("left", l.Remaining()).Err(err).Msg("failed to read the record to renew the lease")
		return false
	}
	v, err := decodeRecord(item)
	if err != nil || !v.Stored.Exists() {
		l.restoreRecord(ctx, egret.Revision{Era: item.Revision.Era})
		return true
	}
	if l.confirmRecord(v, sent) && !l.restoreRecord(ctx, v.Stored) && l.isContested() {
		return false
	}
	l.writeIntent(ctx)
	l.writeVoters(ctx)
	return true
}

// isContested reports whether a claim contests the lease of this process.
func (l *Lease) isContested() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claim != nil
}

// confirmRecord extends the lease to leaseTTL after the given time, at which the read of the record was sent, if
// the record is still the one that this process holds. It reports whether the record has to be written again, as the
// store was restored.
func (l *Lease) confirmRecord(v VersionedRecord, sent clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Stored.Era < l.latest.Stored.Era {
		return false
	}
	if l.displacedBy(v) {
		l.observe(v)
		return true
	}
	if l.latest.Stored.Before(v.Stored) {
		l.observe(v)
	}
	if !l.heldRevision.Exists() || v.Revision != l.heldRevision || l.releasing {
		return false
	}
	first := l.validUntil == 0
	l.validUntil = max(l.validUntil, sent.Add(leaseTTL))
	l.renewedAt = sent
	if first && l.OnValid != nil {
		l.EventLog.Event("service-held").Str("service", l.Service).Uint64("token", l.token).Str("primary", l.latest.Record.Primary).Msg("this process holds a valid lease on the service")
		l.onLost = l.OnValid(l)
	}
	return false
}

// displacedBy reports whether this process, which holds the lease, may write its record in place of the given one: a
// restored store has its record or an older one, or the record contests its lease. The caller holds mu.
func (l *Lease) displacedBy(v VersionedRecord) bool {
	older := v.restored() && v.Revision.Compare(l.heldRevision) <= 0
	return l.heldRevision.Exists() && (older || v.contests(l.heldRevision))
}

// readDisplaced reads the key. It returns its revision, and whether this process has to write its record again, as it has
// a valid lease and a restored store has an older record.
func (l *Lease) readDisplaced(ctx context.Context) (egret.Revision, bool) {
	item, err := l.Keys.Read(ctx, l.recordKey())
	if err != nil {
		return egret.Revision{}, false
	}
	v, err := decodeRecord(item)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outdated(item) {
		return egret.Revision{}, false
	}
	displaced := err == nil && l.displacedBy(v) && clock.Now() < l.validUntil
	l.observe(v)
	return v.Stored, displaced
}

// readHeld reads the key after a conflict at a revision. It returns the key's revision, and whether this process may write
// its record there: it has changed the record itself since, or a restored store has an older one while the lease is valid.
func (l *Lease) readHeld(ctx context.Context, conflicting egret.Revision) (egret.Revision, bool) {
	stored, displaced := l.readDisplaced(ctx)
	if displaced {
		return stored, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.heldRevision.Exists() && l.heldRevision == l.latest.Stored && conflicting.Before(l.heldRevision)
	return l.heldRevision, changed
}

// restoreRecord writes the record again after the store has lost the key, or has brought back an older record, or after
// another process has contested the lease, and reports whether it did. It does so only while the lease is valid, as no other
// process can hold the service then, and none had replaced what was in the store when the write took effect. Like a read that
// shows the record, the write extends the lease.
func (l *Lease) restoreRecord(ctx context.Context, stored egret.Revision) bool {
	sent := clock.Now()
	l.mu.Lock()
	record := l.ownRecord()
	if l.heldRevision.Exists() && sent >= l.validUntil {
		l.endLease("the store lost the record while the lease was not valid")
	}
	held := l.heldRevision.Exists()
	l.mu.Unlock()
	if !held {
		return false
	}
	revision, err := l.writeRecord(ctx, stored, record)
	event, message := "record-restored", "the store had lost the record; tried to write it again"
	if record.Reclaimed {
		event, message = "service-reclaimed", "another process contested the lease; tried to write the record again"
	}
	l.EventLog.Event(event).Str("service", l.Service).Str("before", stored.String()).Str("revision", revision.String()).Err(err).Msg(message)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if errors.Is(err, egret.ErrConflict) && !stored.Exists() {
			l.endLease("another process wrote the lost record")
		}
		return false
	}
	if !l.heldRevision.Exists() {
		return false
	}
	// The watch may have shown the write already, and another one may have followed.
	if l.newest.Before(revision) {
		l.setHeld(revision, record)
	}
	if clock.Now() >= l.validUntil {
		l.endLease("the lease expired before the record was restored")
		return false
	}
	l.validUntil = max(l.validUntil, sent.Add(leaseTTL))
	l.renewedAt = sent
	return true
}

func (l *Lease) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
