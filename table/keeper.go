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

// The keeper's times.
const (
	// keeperBackoffBase is the first wait after the store has failed.
	keeperBackoffBase = 200 * time.Millisecond

	// keeperBackoffCap is the longest wait after the store has failed. It bounds how much later
	// than the store's return a change is seen.
	keeperBackoffCap = 2 * time.Second

	// roleInterval is how often a proxy asks whether it watches the store.
	roleInterval = time.Second

	// watchSpan is the longest watch before a proxy asks again whether it watches the store.
	watchSpan = 30 * time.Second

	// pollInterval is how often, about, a proxy that neither watches nor hears of peers asks the
	// store.
	pollInterval = 10 * time.Second
)

// Keeper holds the tables in force in a proxy. Its exported fields are set before Run. It is safe
// for concurrent use, and a prometheus.Collector.
//
// It never needs the store: tables that are in force stay so while the store is down, slow, or holds
// a value with faults.
type Keeper struct {
	// Store holds the tables.
	Store egret.Store

	// Key is the tables' key in the store.
	Key string

	// Watches reports whether this proxy keeps a watch on the store. Nil means that it does.
	Watches func() bool

	// PeerHeard reports whether a peer has been heard lately. Nil means that none is. A proxy that
	// doesn't watch asks the store only if no peer is heard.
	PeerHeard func() bool

	// Backoff is the wait after the store has failed. Zero means 200 ms, doubled up to 2 s.
	Backoff retry.Backoff

	// Logger takes the changes of state. Nil drops them.
	Logger *log.Logger

	// mu guards the fields below.
	mu sync.Mutex

	// now is nil until the first tables. Its revision only rises.
	now *egret.Tables

	// data is what now was decoded from. It is handed on as it is, so that proxies of an earlier
	// version pass on what they don't know. It is nil for tables that were offered without it.
	data []byte

	// seen is the highest revision that the store has shown, with faults or without.
	seen uint64

	// changed is closed at the next change of now.
	changed chan struct{}

	// failures counts the store's failed calls in a row.
	failures int

	counts counts
}

// Now returns the tables in force, or nil if there are none yet.
func (k *Keeper) Now() *egret.Tables {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// Changed returns a channel that is closed at the next change of the tables in force. To miss none,
// call it ahead of Now.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}

// Bytes returns the tables in force as they go to other proxies, or a revision of zero if there are
// none yet.
func (k *Keeper) Bytes() (uint64, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now == nil {
		return 0, nil
	}
	if k.data == nil {
		data, err := Encode(k.now)
		if err != nil {
			return 0, nil
		}
		k.data = data
	}
	return k.now.Revision, k.data
}

// OfferBytes decodes what another proxy's Bytes returned and puts it in force if its revision is
// higher than that of the tables now. An error says that it has faults.
func (k *Keeper) OfferBytes(revision uint64, data []byte) error {
	if !k.isNewer(revision) {
		return nil
	}
	t, err := Decode(revision, data)
	if err != nil {
		k.countFaulty()
		return errors.Trace(err)
	}
	k.offer(t, data)
	return nil
}

// Offer puts the tables in force if their revision is higher than that of the tables now, and
// reports whether it did. The tables come from Decode and aren't changed afterwards.
func (k *Keeper) Offer(t *egret.Tables) bool {
	return k.offer(t, nil)
}

func (k *Keeper) offer(t *egret.Tables, data []byte) bool {
	if !k.take(t, data) {
		return false
	}
	k.logger().Info().Uint64("revision", t.Revision).Int("routes", len(t.Routes)).Int("pools", len(t.Pools)).Msg("tables in force")
	return true
}

// isNewer reports whether the revision is higher than that of the tables now, and counts it if it is
// lower.
func (k *Keeper) isNewer(revision uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.compare(revision)
}

// compare is isNewer for a caller that holds mu.
func (k *Keeper) compare(revision uint64) bool {
	if k.now == nil {
		return true
	}
	if revision < k.now.Revision {
		k.counts.older++
	}
	return revision > k.now.Revision
}

func (k *Keeper) take(t *egret.Tables, data []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.compare(t.Revision) {
		return false
	}
	k.now = t
	k.data = data
	k.seen = max(k.seen, t.Revision)
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
	return true
}

// Run follows the store until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.start(ctx)
	for ctx.Err() == nil {
		if k.watches() {
			k.watch(ctx)
			continue
		}
		k.idle(ctx)
	}
	return nil
}

// start asks the store for the tables, until it answers or the tables come from a peer.
func (k *Keeper) start(ctx context.Context) {
	for ctx.Err() == nil {
		changed := k.Changed()
		wait, ok := k.fetch(ctx)
		if ok {
			return
		}
		if pause(ctx, wait, changed) {
			return
		}
	}
}

// fetch asks the store once. If it fails, it returns how long to wait before the next try.
func (k *Keeper) fetch(ctx context.Context) (time.Duration, bool) {
	v, err := k.Store.Get(ctx, k.Key)
	if err != nil {
		return k.failed(ctx, err), false
	}
	k.answered()
	k.accept(v)
	return 0, true
}

// watch waits for the store's next value, for a bounded time.
func (k *Keeper) watch(ctx context.Context) {
	bound, cancel := context.WithTimeout(ctx, jitter(watchSpan))
	defer cancel()
	v, err := k.Store.Watch(bound, k.Key, k.lastSeen())
	if err != nil && bound.Err() != nil {
		return
	}
	if err != nil {
		wait := k.failed(ctx, err)
		pause(ctx, wait, nil)
		return
	}
	k.answered()
	k.accept(v)
}

// idle waits until this proxy watches the store, or asks the store if no peer is heard meanwhile.
func (k *Keeper) idle(ctx context.Context) {
	end := time.Now().Add(jitter(pollInterval))
	for time.Now().Before(end) {
		pause(ctx, jitter(roleInterval), nil)
		if ctx.Err() != nil || k.watches() {
			return
		}
		if k.peerHeard() && k.Now() != nil {
			return
		}
	}
	k.fetch(ctx)
}

// accept takes a value of the store. One with faults leaves the tables in force as they are.
func (k *Keeper) accept(v egret.Value) {
	if v.Revision <= k.lastSeen() {
		return
	}
	err := k.OfferBytes(v.Revision, v.Data)
	k.see(v.Revision)
	if err != nil {
		k.logger().Error().Err(err).Uint64("revision", v.Revision).Msg("the store's tables have faults and are refused")
	}
}

// see notes a revision of the store.
func (k *Keeper) see(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen = max(k.seen, revision)
}

func (k *Keeper) countFaulty() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.faulty++
}

func (k *Keeper) lastSeen() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen
}

// answered notes that the store is well.
func (k *Keeper) answered() {
	k.mu.Lock()
	back := k.failures > 0
	k.failures = 0
	k.mu.Unlock()
	if back {
		k.logger().Info().Msg("the store answers again")
	}
}

// failed notes that the store is not well, and returns how long to wait.
func (k *Keeper) failed(ctx context.Context, err error) time.Duration {
	k.mu.Lock()
	k.failures++
	n := k.failures
	if ctx.Err() == nil {
		k.counts.failures++
	}
	k.mu.Unlock()
	if n == 1 && ctx.Err() == nil {
		k.logger().Warn().Err(err).Msg("the store doesn't answer: the tables in force stay")
	}
	b := k.Backoff
	if b.Base <= 0 {
		b = retry.Backoff{
			Base: keeperBackoffBase,
			Cap:  keeperBackoffCap,
		}
	}
	return b.Wait(n, rand.Float64())
}

func (k *Keeper) watches() bool {
	return k.Watches == nil || k.Watches()
}

func (k *Keeper) peerHeard() bool {
	return k.PeerHeard != nil && k.PeerHeard()
}

func (k *Keeper) logger() *log.Logger {
	if k.Logger != nil {
		return k.Logger
	}
	return &log.Logger{
		Level: log.PanicLevel,
	}
}

// jitter spreads an interval from half of it to one and a half.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// pause waits for d. It reports whether the channel was closed first.
func pause(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
