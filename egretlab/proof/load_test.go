package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// load is a number of callers that place orders until they are told to stop.
type load struct {
	c        *cluster
	recorder *recorder
	stopping atomic.Bool
	done     sync.WaitGroup
}

// loadSettings say what the callers do.
type loadSettings struct {
	// Callers is the number of sessions.
	Callers int

	// Seed makes the choices of all callers.
	Seed uint64

	// Prefix starts the names of all orders.
	Prefix string

	// Reads makes each caller read its own order after placing it.
	Reads bool

	// Changes makes half of the requests changes of an order instead of new ones.
	Changes bool

	// Again makes a caller send an order again until its outcome is known.
	Again bool

	// Key makes orders carry an idempotency key.
	Key bool

	// Pin keeps a caller at its proxy. Without it the callers move at random.
	Pin bool

	// Move makes a pinned caller take the next proxy after a connection that failed.
	Move bool

	// Pause is how long a caller thinks between two orders.
	Pause time.Duration
}

// startLoad starts the callers. They place orders through all proxies.
func (c *cluster) startLoad(s loadSettings) *load {
	l := &load{
		c:        c,
		recorder: newRecorder(),
	}
	for i := range s.Callers {
		l.done.Go(func() {
			l.work(s, i)
		})
	}
	return l
}

func (l *load) work(s loadSettings, caller int) {
	w := &worker{
		load:     l,
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, uint64(caller))),
		session:  l.c.session(fmt.Sprintf("%s-%d", s.Prefix, caller)),
		proxy:    caller % len(l.c.proxies),
	}
	w.session.recorder = l.recorder
	w.session.key = s.Key
	defer w.session.close()
	for i := 0; !l.stopping.Load(); i++ {
		w.step(fmt.Sprintf("%s-%d-%d", s.Prefix, caller, i))
		time.Sleep(s.Pause)
	}
}

// worker is one caller of a load.
type worker struct {
	load     *load
	settings loadSettings
	random   *rand.Rand
	session  *session

	// proxy is the index of the next request's proxy.
	proxy int

	// base is an order of the caller's own that it changes and reads, or "".
	base string
}

// step places an order or changes one, and reads it if the settings ask for it.
func (w *worker) step(id string) {
	if w.settings.Changes && w.base != "" && w.random.IntN(2) == 0 {
		w.note(w.session.change(w.next(), w.base, id))
	} else if w.order(id) {
		w.base = id
	}
	if w.settings.Reads && w.base != "" {
		w.note(w.session.stock(w.next(), w.base))
	}
}

// order places an order and reports whether it was acknowledged.
func (w *worker) order(id string) bool {
	e := w.note(w.session.order(w.next(), id, "item-"+id))
	for w.settings.Again && (e.outcome == unknown || e.outcome == notRun) && !w.load.stopping.Load() {
		e = w.note(w.session.order(w.next(), id, "item-"+id))
	}
	return e.outcome == acknowledged
}

// next chooses the proxy of the next request.
func (w *worker) next() int {
	if !w.settings.Pin {
		w.proxy = w.random.IntN(len(w.load.c.proxies))
	}
	return w.proxy
}

// note moves the caller on after a failure.
func (w *worker) note(e record) record {
	if w.settings.Move && e.outcome != acknowledged {
		w.proxy = (w.proxy + 1) % len(w.load.c.proxies)
	}
	return e
}

// count returns how many requests were acknowledged so far.
func (l *load) count() int {
	n := 0
	for _, e := range l.recorder.all() {
		if e.outcome == acknowledged && e.action != read {
			n++
		}
	}
	return n
}

// waitCount waits until n more writes are acknowledged.
func (l *load) waitCount(t testing.TB, n int) time.Duration {
	t.Helper()
	goal := l.count() + n
	return until(t, 30*time.Second, fmt.Sprintf("%d acknowledged writes", goal), func() error {
		if now := l.count(); now < goal {
			return fmt.Errorf("%d so far", now)
		}
		return nil
	})
}

// stop ends the callers and returns their records.
func (l *load) stop() []record {
	l.stopping.Store(true)
	l.done.Wait()
	return l.recorder.all()
}
