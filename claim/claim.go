package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/trail"
)

// Times of holdings.
const (
	// TTL is how long a holding lasts without a renewal. A silent holder is replaced no sooner, so it
	// is short; it is several times what a slow store takes to answer.
	TTL = 1500 * time.Millisecond

	// margin is added to the wait for a former holder, for clocks that run at different speeds.
	margin = 100 * time.Millisecond

	// renewInterval leaves time for two more tries before a holding lapses.
	renewInterval = 400 * time.Millisecond

	// readTimeout bounds a renewal, so that a silent connection leaves time for another.
	readTimeout = 600 * time.Millisecond

	// tickInterval is how often a process looks whether it should take over, while there is a cause or
	// one may be near, and how often a holder looks after its right.
	tickInterval = 50 * time.Millisecond

	// calmInterval is the same while the holder answers. With many services most are calm, and a
	// holder has to be silent for longer than that to be replaced.
	calmInterval = 250 * time.Millisecond

	// silence is how long a holder doesn't answer before it is replaced.
	silence = 600 * time.Millisecond

	// absence is how long a key stays away before others than its holder write it. The holder itself
	// writes it at once.
	absence = 700 * time.Millisecond

	// succession is how long the named successor of a released service goes before all others.
	succession = 300 * time.Millisecond

	// rankStep is the head start that a better placed process has before the next.
	rankStep = 150 * time.Millisecond

	// lapseSlack is how long a holding may have lapsed and still be renewed, after a short pause of
	// the process or of the store.
	lapseSlack = 300 * time.Millisecond

	// releaseTimeout bounds the release of a service.
	releaseTimeout = time.Second
)

// Self is the process that claims services.
type Self struct {
	// Node is the process's name. Incarnation is unique for each run of it.
	Node, Incarnation string

	// Address is where the process serves its peers. No other process listens there.
	Address netip.AddrPort
}

// Peers is what is known of the other processes.
type Peers interface {
	// Rank returns how many live processes are better placed to hold the service. It stops to count at
	// most.
	Rank(service string, most int) int

	// Silent returns for how long the process has not answered. It is zero if it answers, or if a
	// live process hears it.
	Silent(r Record) time.Duration

	// GaveUp reports whether the holder at the revision has said that it holds the service no longer.
	GaveUp(revision uint64) bool

	// Answers reports whether the process answers now.
	Answers(ctx context.Context, r Record) bool

	// Stopped reports whether the process is known to have ended.
	Stopped(ctx context.Context, r Record) bool

	// Voters returns the processes that a holder should ask for promises, ordered by node.
	Voters() []Voter

	// Promise asks a process for its promise.
	Promise(ctx context.Context, v Voter, service string, q Promise) (bool, error)

	// Clear asks a process to give the holders before the revision no promises any more. It returns
	// how long one is still in force, and the primary that was told with it.
	Clear(ctx context.Context, v Voter, service string, revision uint64) (time.Duration, Intent, error)
}

// Claim is one process's part in the holding of one service. It implements egret.Holding.
type Claim struct {
	// Service names the service.
	Service string

	// Keys is the store.
	Keys egret.Keyspace

	// Self is this process.
	Self Self

	// Peers is what is known of others.
	Peers Peers

	// Fresh says that the whole fleet starts for the first time, so that a service without a record
	// has never had a holder.
	Fresh bool

	// Held is called when this process holds the service, and the returned function when it no
	// longer does.
	Held func(c *Claim) (lost func())

	// Trail writes decisions. It may be nil.
	Trail *trail.Trail

	kick chan struct{}

	// mu guards all below. It is never held during I/O.
	mu sync.Mutex

	// seen is the newest record. known says that one was read, or that its absence was.
	seen      Seen
	known     bool
	changedAt clock.Time

	// mine is the key's revision while this process is its holder, else zero. token was mine when
	// the service was taken.
	mine, token uint64

	// former is the record that this process replaced, until it may use the service.
	former Seen

	// usableFrom is when the former holder's right has lapsed. validUntil is when this process's
	// right does; it is zero until a read after usableFrom has shown the key unchanged.
	usableFrom, validUntil clock.Time

	// takenAt is when the answer to the write came that made this process the holder.
	takenAt clock.Time

	// lost ends what Held began. It is nil before.
	lost func()

	// voter is this process's part in the holdings of others.
	voter voter

	// unwritten is the primary that this holder has told to the voters only.
	unwritten Intent

	// renewedAt is when the last read was sent that showed the key unchanged. Promises keep the right
	// in force for extendLimit from then on.
	renewedAt clock.Time

	// proposed are voters that this holder is writing into its record. Until that is settled, it
	// needs promises of both lists.
	proposed []Voter

	// awaits are those of the record that have not barred promises to former holders yet. The last is
	// that of the former record if formerListed is set.
	awaits       [][]Voter
	formerListed bool

	// unsettled is the revision on which a write without an answer depends, plus one, or zero. It
	// may still be carried out.
	unsettled uint64

	// givenUp is the revision of a holding that was in force and has ended without a successor.
	givenUp uint64

	// leaving says that the process takes no services.
	leaving bool
}

// Init prepares the claim. It is called once, before any other method.
func (c *Claim) Init() {
	c.kick = make(chan struct{}, 1)
	c.voter.started = clock.Now()
}

// Run claims and renews until the context ends.
func (c *Claim) Run(ctx context.Context) error {
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	renewed, failing := clock.Time(0), false
	for {
		select {
		case <-ctx.Done():
			c.stop("the process stops")
			return nil
		case <-tick.C:
		case <-c.kick:
		}
		c.mu.Lock()
		holding := c.mine != 0
		c.mu.Unlock()
		tick.Reset(tickInterval)
		switch {
		case !holding:
			if calm := c.consider(ctx); calm {
				tick.Reset(calmInterval)
			}
		case c.waiting(ctx):
		case clock.Since(renewed) >= renewInterval || !c.Valid():
			renewed = clock.Now()
			if failing {
				c.extend(ctx)
			}
			if failing = !c.renew(ctx); failing {
				c.extend(ctx)
			}
			c.lapse()
		}
	}
}

// Seen returns the newest record, and whether any was read.
func (c *Claim) Seen() (Seen, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen, c.known
}

// Observe takes an item of the service's key that was read or watched.
func (c *Claim) Observe(item egret.Item) {
	s, err := decode(item)
	if err != nil {
		c.Trail.Event("record-unreadable").Str("service", c.Service).Uint64("revision", item.Revision).Err(err).Msg("the holder's record can't be read")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	absent := item.Removed || item.Revision == 0
	if c.known && !absent && item.Revision <= c.seen.Revision {
		return
	}
	if item.Removed && item.Revision < c.seen.Revision {
		return
	}
	c.observe(s)
}

// observe takes a record that is newer than the one known. The caller holds mu.
func (c *Claim) observe(s Seen) {
	if c.known && s.Revision == c.seen.Revision {
		return
	}
	c.Trail.Event("holder-seen").Str("service", c.Service).Str("holder", s.Record.Node).Uint64("revision", s.Revision).
		Uint64("before", c.seen.Revision).Bool("released", s.Record.Released).Str("primary", s.Record.Primary).Msg("the service's record changed")
	previous := c.seen
	c.seen = s
	c.known = true
	c.changedAt = clock.Now()
	c.proposed = nil
	if c.unsettled != 0 && s.Revision+1 != c.unsettled {
		c.unsettled = 0
	}
	if s.Revision == 0 {
		// The store dropped the key. What the last record told still holds, as any change of it would
		// have been seen before the removal.
		c.seen.Record = previous.Record
	}
	if c.mine == 0 {
		c.wake()
		return
	}
	switch {
	case s.Revision == 0:
	case c.own(s.Record) && !s.Record.Released && clock.Now() < c.validUntil:
		c.mine = s.Revision
	case c.own(s.Record) && !s.Record.Released:
		c.end("a late write of the record came after the right had lapsed")
	default:
		c.end("another process took the service")
	}
	c.wake()
}

// own reports whether the record is this process's.
func (c *Claim) own(r Record) bool {
	return r.Node == c.Self.Node && r.Incarnation == c.Self.Incarnation
}

// end gives up the service. The caller holds mu.
func (c *Claim) end(cause string) {
	c.Trail.Event("service-lost").Str("service", c.Service).Str("cause", cause).Uint64("revision", c.mine).Msg("this process no longer holds the service")
	if c.validUntil != 0 {
		c.givenUp = c.mine
	}
	c.mine = 0
	c.validUntil = 0
	c.unwritten = Intent{}
	c.proposed = nil
	if c.lost != nil {
		go c.lost()
		c.lost = nil
	}
}

// GivenUp returns the revision of a holding that was in force and has ended, or zero.
func (c *Claim) GivenUp() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp
}

// lapse ends a holding whose right is no longer in force, so that others may take the service. What
// it ended can't come back: the lane is closed.
func (c *Claim) lapse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine != 0 && c.validUntil != 0 && clock.Since(c.validUntil) > lapseSlack {
		c.end("the right lapsed")
	}
}

func (c *Claim) stop(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine != 0 {
		c.end(cause)
	}
}

// Wake makes Run look at once whether there is a cause to take the service.
func (c *Claim) Wake() {
	c.wake()
}

func (c *Claim) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Leave keeps this process from taking the service.
func (c *Claim) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

func (c *Claim) key() string {
	return Prefix + c.Service
}

func (c *Claim) write(ctx context.Context, revision uint64, r Record) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return c.Keys.Swap(ctx, c.key(), revision, data, 0)
}

// jitter spreads the calls of processes that wait for the same event.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
