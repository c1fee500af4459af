package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// load is a group of callers that send requests until they are stopped.
type load struct {
	cluster  *cluster
	recorder *recorder
	stopping atomic.Bool
	done     sync.WaitGroup
}

// loadSettings configure the callers of a load.
type loadSettings struct {
	// Callers is the number of sessions.
	Callers int

	// Seed seeds the random choices of all callers.
	Seed uint64

	// Prefix is the prefix of the IDs of all orders.
	Prefix string

	// Reads makes each caller read its own order after placing it.
	Reads bool

	// Changes makes half of the writes update an order instead of placing a new one.
	Changes bool

	// Retry makes a caller send an order again while its outcome is unknown or it did not run.
	Retry bool

	// IdempotencyKey adds an idempotency key to orders.
	IdempotencyKey bool

	// Pin makes each caller use one proxy. Otherwise, callers choose a random proxy for each request.
	Pin bool

	// Failover makes a pinned caller switch to the next proxy after a request that was not acknowledged.
	Failover bool

	// ThinkTime is the delay of a caller between two steps.
	ThinkTime time.Duration
}

// startLoad starts callers that place orders. Together they use all proxies.
func (c *cluster) startLoad(s loadSettings) *load {
	l := &load{
		cluster:  c,
		recorder: newRecorder(),
	}
	for i := range s.Callers {
		l.done.Go(func() {
			l.runCaller(s, i)
		})
	}
	return l
}

// runCaller runs the caller with the index until the load is stopped.
func (l *load) runCaller(s loadSettings, caller int) {
	w := &worker{
		load:     l,
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, uint64(caller))),
		session:  l.cluster.newSession(fmt.Sprintf("%s-%d", s.Prefix, caller)),
		proxy:    caller % len(l.cluster.proxies),
	}
	w.session.recorder = l.recorder
	w.session.sendsIdempotencyKey = s.IdempotencyKey
	defer w.session.close()
	for i := 0; !l.stopping.Load(); i++ {
		w.step(fmt.Sprintf("%s-%d-%d", s.Prefix, caller, i))
		time.Sleep(s.ThinkTime)
	}
}

// worker is one caller of a load.
type worker struct {
	load     *load
	settings loadSettings
	random   *rand.Rand
	session  *session

	// proxy is the index of the proxy for the next request.
	proxy int

	// ownOrder is the ID of the caller's latest acknowledged order, which it changes and reads, or "".
	ownOrder string
}

// step places a new order or changes the latest one, and reads it if the settings say so.
func (w *worker) step(id string) {
	if w.settings.Changes && w.ownOrder != "" && w.random.IntN(2) == 0 {
		w.failOver(w.session.changeItem(w.nextProxy(), w.ownOrder, id))
	} else if w.placeOrder(id) {
		w.ownOrder = id
	}
	if w.settings.Reads && w.ownOrder != "" {
		w.failOver(w.session.readItem(w.nextProxy(), w.ownOrder))
	}
}

// placeOrder places an order, retries it if the settings say so, and reports whether it was acknowledged.
func (w *worker) placeOrder(id string) bool {
	e := w.failOver(w.session.placeOrder(w.nextProxy(), id, "item-"+id))
	for w.settings.Retry && (e.outcome == unknown || e.outcome == notRun) && !w.load.stopping.Load() {
		e = w.failOver(w.session.placeOrder(w.nextProxy(), id, "item-"+id))
	}
	return e.outcome == acknowledged
}

// nextProxy returns the index of the proxy for the next request.
func (w *worker) nextProxy() int {
	if !w.settings.Pin {
		w.proxy = w.random.IntN(len(w.load.cluster.proxies))
	}
	return w.proxy
}

// failOver switches to the next proxy if the settings say so and the request was not acknowledged. It returns the
// record.
func (w *worker) failOver(e record) record {
	if w.settings.Failover && e.outcome != acknowledged {
		w.proxy = (w.proxy + 1) % len(w.load.cluster.proxies)
	}
	return e
}

// acknowledgedWrites returns the number of writes acknowledged so far.
func (l *load) acknowledgedWrites() int {
	n := 0
	for _, e := range l.recorder.snapshot() {
		if e.outcome == acknowledged && e.action != read {
			n++
		}
	}
	return n
}

// waitAcknowledged waits until n more writes are acknowledged, and returns how long that took.
func (l *load) waitAcknowledged(t testing.TB, n int) time.Duration {
	t.Helper()
	goal := l.acknowledgedWrites() + n
	return waitUntil(t, 30*time.Second, fmt.Sprintf("%d acknowledged writes", goal), func() error {
		if now := l.acknowledgedWrites(); now < goal {
			return fmt.Errorf("%d so far", now)
		}
		return nil
	})
}

// stop stops the callers and returns their records.
func (l *load) stop() []record {
	l.stopping.Store(true)
	l.done.Wait()
	return l.recorder.snapshot()
}
