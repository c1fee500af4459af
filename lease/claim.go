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

	// idleCheckInterval is the interval of these checks while the holder responds. With many services most
	// holders do, and a holder is replaced only after it has been unresponsive for longer than this.
	idleCheckInterval = 250 * time.Millisecond

	// holderTimeout is how long a holder must be unresponsive before it is replaced.
	holderTimeout = 600 * time.Millisecond

	// missingRecordDelay is how long a record must be missing from the store before a process other than its
	// holder writes it. The holder itself restores it at once.
	missingRecordDelay = 700 * time.Millisecond

	// successorHeadStart is how long other processes leave a released service to the named successor.
	successorHeadStart = 300 * time.Millisecond

	// rankDelay is the head start of each process over the next one in the order of Peers.Rank.
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

// Peers answers questions about the other processes, and sends them requests.
type Peers interface {
	// Rank returns how many live processes take precedence over this one as the service's next holder. It
	// stops counting at limit.
	Rank(service string, limit int) int

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

// Lease is one process's side of the lease on one service: it acquires, renews and releases the lease, and
// votes for the leases of other processes. It implements egret.Holding.
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
	OnValid func(c *Lease) (lost func())

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

	// onLost is the function that Held returned. It is nil while the lease isn't valid yet.
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

	// uncertainWrite is one more than the revision that a write of unknown outcome depends on, or zero. The
	// store may still execute that write.
	uncertainWrite uint64

	// givenUpRevision is the revision of a lease that was valid and ended without a successor, or zero.
	givenUpRevision uint64

	// acquisitionDisabled says that the process acquires no lease any more.
	acquisitionDisabled bool
}

// Init prepares the claim. It is called once, before any other method.
func (c *Lease) Init() {
	c.wakeups = make(chan struct{}, 1)
	c.voter.startedAt = clock.Now()
}

// Run acquires and renews the lease until the context ends.
func (c *Lease) Run(ctx context.Context) error {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	lastAttempt, failing := clock.Time(0), false
	for {
		select {
		case <-ctx.Done():
			c.endIfHeld("the process stops")
			return nil
		case <-timer.C:
		case <-c.wakeups:
		}
		c.mu.Lock()
		held := c.heldRevision != 0
		c.mu.Unlock()
		timer.Reset(checkInterval)
		switch {
		case !held:
			if idle := c.tryAcquire(ctx); idle {
				timer.Reset(idleCheckInterval)
			}
		case c.formerMayBeValid(ctx):
		case clock.Since(lastAttempt) >= renewInterval || !c.Valid():
			lastAttempt = clock.Now()
			if failing {
				c.extend(ctx)
			}
			if failing = !c.renew(ctx); failing {
				c.extend(ctx)
			}
			c.endExpired()
		}
	}
}

// LatestRecord returns the newest record that is known, and whether a record or its absence has been read.
func (c *Lease) LatestRecord() (VersionedRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest, c.latestKnown
}

// Observe processes a version of the service's key that was read or received from a watch.
func (c *Lease) Observe(item egret.Item) {
	v, err := decodeRecord(item)
	if err != nil {
		c.EventLog.Event("record-unreadable").Str("service", c.Service).Uint64("revision", item.Revision).Err(err).Msg("the lease record can't be decoded")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	absent := item.Removed || item.Revision == 0
	if c.latestKnown && !absent && item.Revision <= c.latest.Revision {
		return
	}
	if item.Removed && item.Revision < c.latest.Revision {
		return
	}
	c.observe(v)
}

// observe replaces the latest record by a newer one. The caller holds mu.
func (c *Lease) observe(v VersionedRecord) {
	if c.latestKnown && v.Revision == c.latest.Revision {
		return
	}
	c.EventLog.Event("holder-seen").Str("service", c.Service).Str("holder", v.Record.Node).Uint64("revision", v.Revision).
		Uint64("before", c.latest.Revision).Bool("released", v.Record.Released).Str("primary", v.Record.Primary).Msg("the service's record changed")
	previous := c.latest
	c.latest = v
	c.latestKnown = true
	c.latestChangedAt = clock.Now()
	c.proposedVoters = nil
	if c.uncertainWrite != 0 && v.Revision+1 != c.uncertainWrite {
		c.uncertainWrite = 0
	}
	if v.Revision == 0 {
		// The store lost the key. The content of the last record stays valid, as any change of it would have
		// been observed before the removal.
		c.latest.Record = previous.Record
	}
	if c.heldRevision == 0 {
		c.wake()
		return
	}
	switch {
	case v.Revision == 0:
	case c.isOwn(v.Record) && !v.Record.Released && clock.Now() < c.validUntil:
		c.heldRevision = v.Revision
	case c.isOwn(v.Record) && !v.Record.Released:
		c.endLease("a delayed write of the record was executed after the lease had expired")
	default:
		c.endLease("another process acquired the lease")
	}
	c.wake()
}

// isOwn reports whether the record names this run of the process as the holder.
func (c *Lease) isOwn(r Record) bool {
	return r.Node == c.Self.Node && r.Incarnation == c.Self.Incarnation
}

// endLease ends the lease of this process. The caller holds mu.
func (c *Lease) endLease(cause string) {
	c.EventLog.Event("service-lost").Str("service", c.Service).Str("cause", cause).Uint64("revision", c.heldRevision).Msg("this process no longer holds the lease on the service")
	if c.validUntil != 0 {
		c.givenUpRevision = c.heldRevision
	}
	c.heldRevision = 0
	c.validUntil = 0
	c.unwrittenIntent = Intent{}
	c.proposedVoters = nil
	if c.onLost != nil {
		go c.onLost()
		c.onLost = nil
	}
}

// GivenUpRevision returns the revision of a lease that was valid and has ended without a successor, or zero.
func (c *Lease) GivenUpRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUpRevision
}

// endExpired ends a lease that expired longer than expiryGrace ago, so that others may acquire it. It can't
// be renewed afterwards, as the function that Held returned has stopped the use of the service.
func (c *Lease) endExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision != 0 && c.validUntil != 0 && clock.Since(c.validUntil) > expiryGrace {
		c.endLease("the lease expired")
	}
}

func (c *Lease) endIfHeld(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision != 0 {
		c.endLease(cause)
	}
}

// Wake makes Run check at once whether there is a cause to acquire the lease.
func (c *Lease) Wake() {
	c.wake()
}

func (c *Lease) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

// DisableAcquisition keeps this process from acquiring the lease from now on. It doesn't release a lease that it holds.
func (c *Lease) DisableAcquisition() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acquisitionDisabled = true
}

func (c *Lease) recordKey() string {
	return Prefix + c.Service
}

func (c *Lease) writeRecord(ctx context.Context, revision uint64, r Record) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return c.Keys.CompareAndSwap(ctx, c.recordKey(), revision, data, 0)
}

// jitter returns a random duration of d/2 to 3d/2, to spread the calls of processes that react to the same event.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
