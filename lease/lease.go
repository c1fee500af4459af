package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
)

const (
	// leaseTTL is how long a lease stays valid after the last renewal. It is short, as an unresponsive holder
	// can't be replaced any sooner, but several times the response time of a slow store.
	leaseTTL = 1500 * time.Millisecond

	// clockDriftMargin is added to the wait for a former holder's lease to expire, as the processes' clocks may
	// run at different speeds.
	clockDriftMargin = 100 * time.Millisecond

	// renewInterval is the time between two renewals. It leaves time for two more attempts before the lease
	// expires.
	renewInterval = 400 * time.Millisecond

	// operationTimeout bounds a renewal or another change of the record, so that after a call on an unresponsive
	// connection there is time for another attempt.
	operationTimeout = 600 * time.Millisecond

	// checkInterval is how often a process checks whether it should acquire the lease, while there is a cause to
	// or the holder doesn't respond, and how often a holder checks whether a renewal is due.
	checkInterval = 50 * time.Millisecond

	// idleCheckInterval is how often a process checks whether it should acquire the lease while there is no cause
	// to and the holder responds. With many services most holders do, and a holder is replaced only after it has
	// been unresponsive for longer than this.
	idleCheckInterval = 250 * time.Millisecond

	// holderTimeout is how long a holder must be unresponsive before it is replaced by a process in its region.
	holderTimeout = 600 * time.Millisecond

	// missingRecordDelay is how long a record must be missing from the store before a process other than its
	// holder writes it. The holder itself restores it at once.
	missingRecordDelay = 700 * time.Millisecond

	// successorHeadStart is how long other processes leave a released service to the named successor.
	successorHeadStart = 300 * time.Millisecond

	// rankDelay is the head start of each process over the next one in the order of Peers.MayAcquire.
	rankDelay = 150 * time.Millisecond

	// expiryGrace is how long after its expiry a lease may still be renewed, so that a short pause of the
	// process or of the store doesn't end it.
	expiryGrace = 300 * time.Millisecond

	// firstEra is the era of a store that was never restored. In a later one, a record that is missing may be lost.
	firstEra = 1

	// releaseTimeout bounds all attempts to write that a service is released.
	releaseTimeout = time.Second
)

// Identity identifies the process that acquires leases.
type Identity struct {
	// Node is the process's name. Incarnation is unique for each run of it.
	Node, Incarnation string

	// Address is where the process listens for requests of its peers. No other process listens there.
	Address netip.AddrPort
}

// Peers answers questions about the other processes, and sends requests to them.
type Peers interface {
	// MayAcquire reports whether at most the given number of live processes take precedence over this one as the
	// service's next holder. If so, the service counts as held by this process from now on, until its record shows the
	// outcome.
	MayAcquire(service string, above int) bool

	// MayReplace is like MayAcquire for a service whose holder doesn't respond, but only processes in this one's region
	// take precedence over it.
	MayReplace(service string, above int) bool

	// ReplacementDelay returns how much longer than holderTimeout a holder must be unresponsive before this process
	// replaces it, as other processes can tell better whether it is lost.
	ReplacementDelay(r Record) time.Duration

	// UnresponsiveFor returns for how long the process has been unresponsive. It is zero if it responds, or if
	// another live process gets responses from it.
	UnresponsiveFor(r Record) time.Duration

	// EraKnownSince returns when this process learned of the current era of the store, or zero if it has read nothing.
	EraKnownSince() clock.Time

	// GaveUpAt returns when this process learned that the lease of the holder at the revision has ended, or zero.
	GaveUpAt(revision egret.Revision) clock.Time

	// Responds reports whether the process responds now.
	Responds(ctx context.Context, r Record) bool

	// Stopped reports whether the process is known to have terminated.
	Stopped(ctx context.Context, r Record) bool

	// Voters returns the processes that a holder should ask for promises, sorted by node.
	Voters() []Voter

	// Everyone returns all processes that may be voters.
	Everyone() []Voter

	// RequestPromise asks a process for a promise.
	RequestPromise(ctx context.Context, v Voter, service string, q Promise) (bool, error)

	// RequestFence passes a fence to a process, which refuses promises to the fenced holders from now on.
	RequestFence(ctx context.Context, v Voter, service string, q Fence) (FenceReply, error)
}

// Lease is one process's side of the lease on one service: it acquires, renews and releases the lease, and as a voter
// it gives promises to other holders and fences former ones. It implements egret.ServiceLease.
type Lease struct {
	// Service is the service's name.
	Service string

	// Keys accesses the store that has the service's record.
	Keys egret.Keyspace

	// Self identifies this process.
	Self Identity

	// Peers gives access to the other processes.
	Peers Peers

	// StartedAt is a time at or after the start of this process, or zero if it isn't known.
	StartedAt clock.Time

	// Bootstrap says that the whole fleet starts for the first time, so that a service without a record
	// has never had a holder.
	Bootstrap bool

	// OnValid is called when the lease becomes valid, and the function that it returns when the lease has ended. OnValid
	// must not call methods of the lease other than First.
	OnValid func(l *Lease) (lost func())

	// EventLog logs decisions. It may be nil.
	EventLog *evlog.Log

	// wakeups makes Run check at once.
	wakeups chan struct{}

	// first says that no process had ever held the service when this one acquired the lease. unusedSince is the clock.Time
	// since which no other process can have used the service, or zero if it isn't known.
	first       atomic.Bool
	unusedSince atomic.Int64

	// mu guards all fields below. It is never held during I/O.
	mu sync.Mutex

	// latest is the newest record that is known, with the newest known state of the key, and latestChangedAt is when
	// this process saw it first. latestKnown says that a record or its absence has been read. After a restore of the
	// store, the record in the store may be older than latest.
	latest          VersionedRecord
	latestKnown     bool
	latestChangedAt clock.Time

	// newest is the highest revision of a record that was known. latest has it, unless the key doesn't exist.
	newest egret.Revision

	// eraChanged says that the store was restored since this process read the key first.
	eraChanged bool

	// heldRevision is the record's revision while this process is the holder, else zero. token is the fencing token.
	heldRevision egret.Revision
	token        uint64

	// replaced is the record that this process replaced when it acquired the lease.
	replaced VersionedRecord

	// usableFrom is when the former holder's lease has expired. validUntil is when the lease of this process
	// expires; it is zero until a read sent after usableFrom has shown the key unchanged.
	usableFrom, validUntil clock.Time

	// acquiredAt is when the response arrived to the write that made this process the holder.
	acquiredAt clock.Time

	// onLost is the function that OnValid returned. It is nil while the lease isn't valid yet.
	onLost func()

	// voter has the promises that this process has given to other holders.
	voter voter

	// unwrittenIntent is the primary that this holder has sent to the voters but not yet written to the store.
	unwrittenIntent Intent

	// renewedAt is when the last read was sent that showed the key unchanged. Promises can extend the lease
	// until maxExtension after it.
	renewedAt clock.Time

	// proposedVoters are the voters that this holder is writing to its record. Until the outcome of the write is
	// known, an extension needs a majority of them and one of the record's voters.
	proposedVoters []Voter

	// awaitedVoters are the record's Awaits, until a majority of each list refuses promises to former holders. The
	// last list is that of the replaced record if replacedAwaited is set.
	awaitedVoters   [][]Voter
	replacedAwaited bool

	// fencing is the requests to the voters of former holders that are in progress, or nil.
	fencing *fencing

	// unaskedVoters are the record's Unasked, until a majority of each list has returned its intents.
	unaskedVoters [][]Voter

	// intentsLost says that too few voters of a former holder have returned all intents that they received from it. Unlike
	// the record's PrimaryUncertain, it may not be written to the store yet.
	intentsLost bool

	// votersUnreachable says that the last attempt to fence the former holders reached too few voters.
	votersUnreachable bool

	// awaitsUnknown says that a restored store may have lost the record of a former holder, until so many processes refuse
	// promises to former holders that no such holder can get a majority.
	awaitsUnknown bool

	// renewalDue says that Run renews the lease without waiting for renewInterval.
	renewalDue bool

	// claim is the latest state of the key if it is a claim that contests the valid lease of this process, which takes the
	// service back, else nil. The latest record stays that of this process meanwhile.
	claim *VersionedRecord

	// contestAgainAt is when this process may check again whether it can claim a service that was taken back from a claim. Only
	// Run uses it.
	contestAgainAt clock.Time

	// votersReachedAt is when a majority of the voters of the contested holder began to answer this claimant, or zero.
	votersReachedAt clock.Time

	// releasing is set while Release writes to the record. Another process may use the service as soon as the store has
	// executed that write, so that the lease isn't valid any more, and isn't renewed.
	releasing bool

	// givenUpRevision is the revision of a lease that was valid and ended without a successor, or of one that had ended when
	// a claim contested it, or zero.
	givenUpRevision egret.Revision

	// acquisitionDisabled says that the process acquires no lease any more.
	acquisitionDisabled bool
}

// Init prepares the Lease for use. It is called once, before any other method.
func (l *Lease) Init() {
	l.wakeups = make(chan struct{}, 1)
	l.voter.startedAt = clock.Now()
}

// Run acquires and renews the lease until the context ends.
func (l *Lease) Run(ctx context.Context) error {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	lastAttempt, failing := clock.Time(0), false
	for {
		select {
		case <-ctx.Done():
			l.endIfHeld("the process stops")
			return nil
		case <-timer.C:
		case <-l.wakeups:
		}
		l.mu.Lock()
		held, due, releasing := l.heldRevision.Exists(), l.renewalDue, l.releasing
		l.renewalDue = false
		l.mu.Unlock()
		timer.Reset(checkInterval)
		switch {
		case releasing:
		case !held:
			if idle := l.tryAcquire(ctx); idle {
				timer.Reset(idleCheckInterval)
			}
		case l.mustAwaitFormer(ctx):
			if left := clock.Until(l.usableAt()); left > 0 {
				timer.Reset(min(checkInterval, left))
			}
		case due || clock.Since(lastAttempt) >= renewInterval || !l.Valid():
			lastAttempt = clock.Now()
			if failing {
				l.extend(ctx)
			}
			if failing = !l.renew(ctx); failing {
				l.extend(ctx)
			}
			l.endExpired()
		}
	}
}

// LatestRecord returns the newest record that is known, and whether a record or its absence has been read.
func (l *Lease) LatestRecord() (VersionedRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest, l.latestKnown
}

// Observe processes a version of the service's key that was read or received from a watch.
func (l *Lease) Observe(item egret.Item) {
	v, err := decodeRecord(item)
	if err != nil {
		l.EventLog.Event("record-unreadable").Str("service", l.Service).Str("revision", item.Revision.String()).Err(err).Msg("the lease record can't be decoded")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latestKnown && l.outdated(item) {
		return
	}
	l.observe(v)
}

// outdated reports whether a newer state of the key than the item's is known. The caller holds mu.
func (l *Lease) outdated(item egret.Item) bool {
	known := l.latest.Stored
	switch {
	case item.Revision.Era != known.Era:
		return item.Revision.Era < known.Era
	case !item.Revision.Exists():
		return false
	case item.Removed:
		return item.Revision.Before(known)
	}
	return item.Revision.Compare(known) <= 0
}

// observe replaces the latest state of the key by a newer one, and the latest record unless the one in the store is
// older. The caller holds mu.
func (l *Lease) observe(v VersionedRecord) {
	if l.latestKnown && v.Stored == l.latest.Stored {
		return
	}
	l.EventLog.Event("holder-seen").Str("service", l.Service).Str("holder", v.Record.Node).Str("revision", v.Stored.String()).
		Str("written", v.Revision.String()).Str("before", l.latest.Stored.String()).Bool("restored", v.restored()).
		Bool("released", v.Record.Released).Str("primary", v.Record.Primary).Msg("the service's record changed")
	contested := l.contestedBy(v)
	if l.claim != nil && !contested && !l.isOwn(v.Record) {
		l.endLease("another process acquired the lease after a claim had contested it")
	}
	previous := l.latest
	l.eraChanged = l.eraChanged || l.latestKnown && v.Stored.Era > previous.Stored.Era
	if !l.latestKnown {
		l.voter.knownSince = v.Stored
	}
	l.latest = v
	l.latestKnown = true
	l.latestChangedAt = clock.Now()
	l.proposedVoters = nil
	if !v.Stored.Exists() {
		// The store lost the key. The content of the last record stays valid, as any change of it would have
		// been observed before the removal.
		l.latest.Record = previous.Record
	}
	kept := v.Stored.Exists() && v.Revision.Before(l.newest)
	if kept {
		// A restored store has an older record than this process.
		l.latest.Record, l.latest.Revision = previous.Record, l.newest
	}
	l.claim = nil
	if contested {
		l.claim = &v
		l.latest.Record, l.latest.Revision = previous.Record, previous.Revision
	}
	l.newest = later(l.newest, v.Revision)
	if !l.heldRevision.Exists() {
		l.wake()
		return
	}
	switch {
	case !v.Stored.Exists() || kept || contested || v.Revision == l.heldRevision:
		// The record has to be written again, which renew does.
		l.renewalDue = true
	case l.isOwn(v.Record) && !v.Record.Released && clock.Now() < l.validUntil:
		l.heldRevision = v.Revision
	case l.isOwn(v.Record) && !v.Record.Released:
		l.endLease("a delayed write of the record was executed after the lease had expired")
	case v.Record.Reclaimed:
		l.endLease("the former holder took the service back")
	default:
		if v.contests(l.heldRevision) {
			// The lease has never been valid, or has expired. The claimant waits until it knows.
			l.givenUpRevision = l.heldRevision
		}
		l.endLease("another process acquired the lease")
	}
	l.wake()
}

// contestedBy reports whether the record is a claim that contests the valid lease of this process. The caller holds mu.
func (l *Lease) contestedBy(v VersionedRecord) bool {
	return l.heldRevision.Exists() && v.contests(l.heldRevision) && clock.Now() < l.validUntil
}

// later returns the later of two revisions.
func later(a, b egret.Revision) egret.Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// mayHaveLostRecords reports whether the latest record was written before the store was restored: newer ones may have been
// lost, and with them a holder that this process doesn't know. The caller holds mu.
func (l *Lease) mayHaveLostRecords() bool {
	return l.newest.Era < l.latest.Stored.Era && (l.newest.Exists() || l.eraChanged)
}

// isOwn reports whether the record names this run of the process as the holder.
func (l *Lease) isOwn(r Record) bool {
	return r.Node == l.Self.Node && r.Incarnation == l.Self.Incarnation
}

// endLease ends the lease of this process. The caller holds mu.
func (l *Lease) endLease(cause string) {
	l.EventLog.Event("service-lost").Str("service", l.Service).Str("cause", cause).Str("revision", l.heldRevision.String()).Msg("this process no longer holds the lease on the service")
	if l.validUntil != 0 {
		l.givenUpRevision = l.heldRevision
	}
	l.heldRevision = egret.Revision{}
	l.releasing = false
	l.endFencing()
	if l.claim != nil {
		l.latest, l.claim = *l.claim, nil
	}
	l.validUntil = 0
	l.unwrittenIntent = Intent{}
	l.proposedVoters = nil
	if l.onLost != nil {
		go l.onLost()
		l.onLost = nil
	}
}

// GivenUpRevision returns the revision of a lease of this process that has ended, for those that may wait for its end, or zero.
func (l *Lease) GivenUpRevision() egret.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.givenUpRevision
}

// endExpired ends a lease that expired longer than expiryGrace ago, so that others may acquire it. It can't
// be renewed afterwards, as the function that OnValid returned has stopped the use of the service.
func (l *Lease) endExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision.Exists() && l.validUntil != 0 && clock.Since(l.validUntil) > expiryGrace {
		l.endLease("the lease expired")
	}
}

func (l *Lease) endIfHeld(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision.Exists() {
		l.endLease(cause)
	}
}

// Wake makes Run check at once whether there is a cause to acquire the lease.
func (l *Lease) Wake() {
	l.wake()
}

func (l *Lease) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// DisableAcquisition keeps this process from acquiring the lease from now on. It doesn't release a lease that it holds.
func (l *Lease) DisableAcquisition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquisitionDisabled = true
}

func (l *Lease) recordKey() string {
	return Prefix + l.Service
}

// writeRecord writes the record if the key still has the stored revision, and returns the new revision. ErrConflict, as the
// cause of an error, means that it has another one, or that the store was restored, so that it may have had.
func (l *Lease) writeRecord(ctx context.Context, stored egret.Revision, r Record) (egret.Revision, error) {
	r.Era = &stored.Era
	data, err := json.Marshal(r)
	if err != nil {
		return egret.Revision{}, err
	}
	written, err := l.Keys.CompareAndSwap(ctx, l.recordKey(), stored, data, egret.StoreLease{})
	if err == nil && written.Era != stored.Era {
		return egret.Revision{}, errors.Annotatef(egret.ErrConflict, "written at %s after %s", written, stored)
	}
	return written, err
}

// setHeld records that this process has written its record. The caller holds mu.
func (l *Lease) setHeld(written egret.Revision, r Record) {
	r.Era = &written.Era
	l.claim = nil
	l.heldRevision = written
	l.newest = later(l.newest, written)
	l.latest = VersionedRecord{
		Record:   r,
		Revision: written,
		Stored:   written,
	}
	l.latestKnown = true
}

// jitter returns a random duration of d/2 to 3d/2, to spread the calls of processes that react to the same event.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
