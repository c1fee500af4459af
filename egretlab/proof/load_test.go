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

	// Pin keeps a caller at its proxy. Without it the callers move at random.
	Pin bool

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
	random := rand.New(rand.NewPCG(s.Seed, uint64(caller)))
	x := l.c.session(fmt.Sprintf("%s-%d", s.Prefix, caller))
	x.recorder = l.recorder
	defer x.close()
	base := ""
	for i := 0; !l.stopping.Load(); i++ {
		id := fmt.Sprintf("%s-%d-%d", s.Prefix, caller, i)
		proxy := l.pick(s, random, caller)
		if s.Changes && base != "" && random.IntN(2) == 0 {
			x.change(proxy, base, id)
		} else if x.order(proxy, id, "item-"+id).outcome == acknowledged {
			base = id
		}
		if s.Reads && base != "" {
			x.stock(l.pick(s, random, caller), base)
		}
		time.Sleep(s.Pause)
	}
}

func (l *load) pick(s loadSettings, random *rand.Rand, caller int) int {
	if s.Pin {
		return caller % len(l.c.proxies)
	}
	return random.IntN(len(l.c.proxies))
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
