package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

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

	// holderTimeout is how long a holder must be unresponsive before it is replaced.
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

	// UnresponsiveFor returns for how long the process has been unresponsive. It is zero if it responds, or if
	// another live process gets responses from it.
	UnresponsiveFor(r Record) time.Duration

	// GaveUp reports whether the holder at the revision has announced that its lease has ended.
	GaveUp(revision uint64) bool

	// Responds reports whether the process responds now.
	Responds(ctx context.Context, r Record) bool

	// Stopped reports whether the process is known to have terminated.
	Stopped(ctx context.Context, r Record) bool

	// Voters returns the processes that a holder should ask for promises, sorted by node.
	Voters() []Voter

	// RequestPromise asks a process for a promise.
	RequestPromise(ctx context.Context, v Voter, service string, q Promise) (bool, error)

	// RequestFence asks a process to refuse promises to holders with a lower revision from now on. It returns
	// how much longer its last promise is in force, and the newest intent that it received.
	RequestFence(ctx context.Context, v Voter, service string, revision uint64) (time.Duration, Intent, error)
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

	// Bootstrap says that the whole fleet starts for the first time, so that a service without a record
	// has never had a holder.
	Bootstrap bool

	// OnValid is called when the lease becomes valid, and the function that it returns when the lease has ended.
	OnValid func(l *Lease) (lost func())

	// EventLog logs decisions. It may be nil.
	EventLog *evlog.Log

	// wakeups makes Run check at once.
	wakeups chan struct{}

	// mu guards all fields below. It is never held during I/O.
	mu sync.Mutex

	// latest is the newest record that is known, and latestChangedAt is when this process saw it first.
	// latestKnown says that a record or its absence has been read.
	latest          VersionedRecord
	latestKnown     bool
	latestChangedAt clock.Time

	// heldRevision is the key's revision while this process is the holder, else zero. token is the
	// heldRevision at which the lease was acquired.
	heldRevision, token uint64

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

	// votersUnreachable says that the last attempt to fence the former holders reached too few voters.
	votersUnreachable bool

	// uncertainWrite is one more than the revision that a write of unknown outcome depends on, or zero. The
	// store may still execute that write.
	uncertainWrite uint64

	// givenUpRevision is the revision of a lease that was valid and ended without a successor, or zero.
	givenUpRevision uint64

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
		held := l.heldRevision != 0
		l.mu.Unlock()
		timer.Reset(checkInterval)
		switch {
		case !held:
			if idle := l.tryAcquire(ctx); idle {
				timer.Reset(idleCheckInterval)
			}
		case l.formerMayBeValid(ctx):
		case clock.Since(lastAttempt) >= renewInterval || !l.Valid():
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
		l.EventLog.Event("record-unreadable").Str("service", l.Service).Uint64("revision", item.Revision).Err(err).Msg("the lease record can't be decoded")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	absent := item.Removed || item.Revision == 0
	if l.latestKnown && !absent && item.Revision <= l.latest.Revision {
		return
	}
	if item.Removed && item.Revision < l.latest.Revision {
		return
	}
	l.observe(v)
}

// observe replaces the latest record by a newer one. The caller holds mu.
func (l *Lease) observe(v VersionedRecord) {
	if l.latestKnown && v.Revision == l.latest.Revision {
		return
	}
	l.EventLog.Event("holder-seen").Str("service", l.Service).Str("holder", v.Record.Node).Uint64("revision", v.Revision).
		Uint64("before", l.latest.Revision).Bool("released", v.Record.Released).Str("primary", v.Record.Primary).Msg("the service's record changed")
	previous := l.latest
	l.latest = v
	l.latestKnown = true
	l.latestChangedAt = clock.Now()
	l.proposedVoters = nil
	if l.uncertainWrite != 0 && v.Revision+1 != l.uncertainWrite {
		l.uncertainWrite = 0
	}
	if v.Revision == 0 {
		// The store lost the key. The content of the last record stays valid, as any change of it would have
		// been observed before the removal.
		l.latest.Record = previous.Record
	}
	if l.heldRevision == 0 {
		l.wake()
		return
	}
	switch {
	case v.Revision == 0:
	case l.isOwn(v.Record) && !v.Record.Released && clock.Now() < l.validUntil:
		l.heldRevision = v.Revision
	case l.isOwn(v.Record) && !v.Record.Released:
		l.endLease("a delayed write of the record was executed after the lease had expired")
	default:
		l.endLease("another process acquired the lease")
	}
	l.wake()
}

// isOwn reports whether the record names this run of the process as the holder.
func (l *Lease) isOwn(r Record) bool {
	return r.Node == l.Self.Node && r.Incarnation == l.Self.Incarnation
}

// endLease ends the lease of this process. The caller holds mu.
func (l *Lease) endLease(cause string) {
	l.EventLog.Event("service-lost").Str("service", l.Service).Str("cause", cause).Uint64("revision", l.heldRevision).Msg("this process no longer holds the lease on the service")
	if l.validUntil != 0 {
		l.givenUpRevision = l.heldRevision
	}
	l.heldRevision = 0
	l.validUntil = 0
	l.unwrittenIntent = Intent{}
	l.proposedVoters = nil
	if l.onLost != nil {
		go l.onLost()
		l.onLost = nil
	}
}

// GivenUpRevision returns the revision of a lease that was valid and has ended without a successor, or zero.
func (l *Lease) GivenUpRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.givenUpRevision
}

// endExpired ends a lease that expired longer than expiryGrace ago, so that others may acquire it. It can't
// be renewed afterwards, as the function that OnValid returned has stopped the use of the service.
func (l *Lease) endExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision != 0 && l.validUntil != 0 && clock.Since(l.validUntil) > expiryGrace {
		l.endLease("the lease expired")
	}
}

func (l *Lease) endIfHeld(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision != 0 {
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

func (l *Lease) writeRecord(ctx context.Context, revision uint64, r Record) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return l.Keys.CompareAndSwap(ctx, l.recordKey(), revision, data, 0)
}

// jitter returns a random duration of d/2 to 3d/2, to spread the calls of processes that react to the same event.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
