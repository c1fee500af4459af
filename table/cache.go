package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/retry"
)

const (
	// storeBackoffBase is the delay after the first failed call of the store.
	storeBackoffBase = 200 * time.Millisecond

	// storeBackoffCap is the longest delay after a failed call of the store. It limits how long after the
	// store's recovery a change is noticed.
	storeBackoffCap = 2 * time.Second

	// watchCheckInterval is the average interval at which a proxy that doesn't watch the store checks whether
	// it should.
	watchCheckInterval = time.Second

	// watchTimeout is the average time after which a proxy ends a watch to check whether it should still watch.
	watchTimeout = 30 * time.Second

	// pollInterval is the average interval at which a proxy that doesn't watch the store and has no live peer
	// reads it.
	pollInterval = 10 * time.Second
)

// Cache holds a proxy's current tables and updates them from the store or from peers. Its exported fields must
// be set before Run. It is safe for concurrent use and implements prometheus.Collector.
//
// The current tables stay in use while the store is down, slow, or holds a value with faults.
type Cache struct {
	// Store holds the tables.
	Store egret.Store

	// Key is the key of the tables in the store.
	Key string

	// WatchesStore reports whether this proxy watches the store. Nil means that it does.
	WatchesStore func() bool

	// HasLivePeer reports whether at least one peer is live. Nil means that none is. A proxy that doesn't watch
	// the store reads it only if it has no live peer, since peers send each other the tables.
	HasLivePeer func() bool

	// Backoff is the delay after a failed call of the store. Zero means 200 ms, doubled up to 2 s.
	Backoff retry.Backoff

	// Log receives messages on new tables and on the store's failures. Nil discards them.
	Log *log.Logger

	// mu guards the fields below.
	mu sync.Mutex

	// current is nil until the first tables arrive. Its revision only increases.
	current *egret.Tables

	// encoded is the encoding that current was decoded from. It is sent to peers unchanged, so that proxies of
	// an earlier version preserve keys that they don't know. For tables from Offer it is nil until Encoded is
	// called, which encodes them.
	encoded []byte

	// highestSeen is the highest revision of a value in the store, with or without faults, or of current.
	highestSeen uint64

	// changed is closed at the next change of current.
	changed chan struct{}

	// consecutiveFailures is the number of failed calls since the store last answered.
	consecutiveFailures int

	counts cacheCounts
}

// Current returns the current tables, or nil if there are none yet.
func (c *Cache) Current() *egret.Tables {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Changed returns a channel that is closed at the next change of the current tables. Call it before Current so as
// not to miss a change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Encoded returns the current tables as they are sent to other proxies, with their revision. The revision is zero
// if there are none yet or they can't be encoded.
func (c *Cache) Encoded() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return 0, nil
	}
	if c.encoded == nil {
		data, err := Encode(c.current)
		if err != nil {
			return 0, nil
		}
		c.encoded = data
	}
	return c.current.Revision, c.encoded
}

// OfferEncoded decodes the tables that another proxy's Encoded returned and makes them current if their revision is
// higher than the current one. It returns an error if they can't be decoded or have faults.
func (c *Cache) OfferEncoded(revision uint64, data []byte) error {
	if !c.isNewer(revision) {
		return nil
	}
	t, err := Decode(revision, data)
	if err != nil {
		c.countFaulty()
		return errors.Trace(err)
	}
	c.offer(t, data)
	return nil
}

// Offer makes the tables current if their revision is higher than the current one, and reports whether it did.
// The tables must come from Decode and must not change afterwards.
func (c *Cache) Offer(t *egret.Tables) bool {
	return c.offer(t, nil)
}

func (c *Cache) offer(t *egret.Tables, data []byte) bool {
	if !c.setIfNewer(t, data) {
		return false
	}
	c.logger().Info().Uint64("revision", t.Revision).Int("routes", len(t.Routes)).Int("pools", len(t.Pools)).Msg("tables in force")
	return true
}

// isNewer reports whether the revision is higher than the current one. It counts lower revisions as stale offers.
func (c *Cache) isNewer(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isNewerLocked(revision)
}

// isNewerLocked is isNewer for callers that hold mu.
func (c *Cache) isNewerLocked(revision uint64) bool {
	if c.current == nil {
		return true
	}
	if revision < c.current.Revision {
		c.counts.staleOffers++
	}
	return revision > c.current.Revision
}

// setIfNewer makes the tables current if their revision is higher than the current one, and reports whether it did.
func (c *Cache) setIfNewer(t *egret.Tables, data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isNewerLocked(t.Revision) {
		return false
	}
	c.current = t
	c.encoded = data
	c.highestSeen = max(c.highestSeen, t.Revision)
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
	return true
}

// Run keeps the tables up to date with the store until the context ends.
func (c *Cache) Run(ctx context.Context) error {
	c.loadInitial(ctx)
	for ctx.Err() == nil {
		if c.watchesStore() {
			c.watch(ctx)
			continue
		}
		c.poll(ctx)
	}
	return nil
}

// loadInitial reads the tables from the store, with retries until it answers or a peer sends tables.
func (c *Cache) loadInitial(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.Changed()
		delay, ok := c.fetch(ctx)
		if ok {
			return
		}
		if sleepInterruptible(ctx, delay, changed) {
			return
		}
	}
}

// fetch reads the store once and reports whether it answered. If not, it returns the delay before the next attempt.
func (c *Cache) fetch(ctx context.Context) (time.Duration, bool) {
	v, err := c.Store.Get(ctx, c.Key)
	if err != nil {
		return c.recordFailure(ctx, err), false
	}
	c.recordSuccess()
	c.accept(v)
	return 0, true
}

// watch waits for the next value in the store, up to about watchTimeout.
func (c *Cache) watch(ctx context.Context) {
	watchCtx, cancel := context.WithTimeout(ctx, jitter(watchTimeout))
	defer cancel()
	v, err := c.Store.Watch(watchCtx, c.Key, c.lastSeenRevision())
	if err != nil && watchCtx.Err() != nil {
		return
	}
	if err != nil {
		delay := c.recordFailure(ctx, err)
		sleepInterruptible(ctx, delay, nil)
		return
	}
	c.recordSuccess()
	c.accept(v)
}

// poll reads the store once after about pollInterval. It returns early, without a read, if this proxy is to watch
// the store, or if it has tables and a live peer that sends newer ones.
func (c *Cache) poll(ctx context.Context) {
	end := time.Now().Add(jitter(pollInterval))
	for time.Now().Before(end) {
		sleepInterruptible(ctx, jitter(watchCheckInterval), nil)
		if ctx.Err() != nil || c.watchesStore() {
			return
		}
		if c.hasLivePeer() && c.Current() != nil {
			return
		}
	}
	c.fetch(ctx)
}

// accept makes a value of the store current if it is newer. A value with faults leaves the current tables in use.
func (c *Cache) accept(v egret.Value) {
	if v.Revision <= c.lastSeenRevision() {
		return
	}
	err := c.OfferEncoded(v.Revision, v.Data)
	c.recordSeen(v.Revision)
	if err != nil {
		c.logger().Error().Err(err).Uint64("revision", v.Revision).Msg("the store's tables have faults and are refused")
	}
}

// recordSeen records that the store has the revision.
func (c *Cache) recordSeen(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestSeen = max(c.highestSeen, revision)
}

func (c *Cache) countFaulty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.faultyValues++
}

func (c *Cache) lastSeenRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestSeen
}

// recordSuccess records a successful call of the store.
func (c *Cache) recordSuccess() {
	c.mu.Lock()
	recovered := c.consecutiveFailures > 0
	c.consecutiveFailures = 0
	c.mu.Unlock()
	if recovered {
		c.logger().Info().Msg("the store answers again")
	}
}

// recordFailure records a failed call of the store and returns the delay before the next one. A failure after the
// end of the context is left out of the metrics and the log.
func (c *Cache) recordFailure(ctx context.Context, err error) time.Duration {
	c.mu.Lock()
	c.consecutiveFailures++
	n := c.consecutiveFailures
	if ctx.Err() == nil {
		c.counts.storeFailures++
	}
	c.mu.Unlock()
	if n == 1 && ctx.Err() == nil {
		c.logger().Warn().Err(err).Msg("the store doesn't answer: the tables in force stay")
	}
	b := c.Backoff
	if b.Base <= 0 {
		b = retry.Backoff{
			Base: storeBackoffBase,
			Cap:  storeBackoffCap,
		}
	}
	return b.Delay(n, rand.Float64())
}

func (c *Cache) watchesStore() bool {
	return c.WatchesStore == nil || c.WatchesStore()
}

func (c *Cache) hasLivePeer() bool {
	return c.HasLivePeer != nil && c.HasLivePeer()
}

func (c *Cache) logger() *log.Logger {
	if c.Log != nil {
		return c.Log
	}
	return &log.Logger{
		Level: log.PanicLevel,
	}
}

// jitter returns a random duration from half of d to one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleepInterruptible waits until d has passed, interrupt is closed or the context ends. It reports whether
// interrupt was closed first.
func sleepInterruptible(ctx context.Context, d time.Duration, interrupt <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-interrupt:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
