package proof

import (
	"math/rand/v2"
	"sync"
	"time"
)

// chaos breaks links between proxies and members at random until it is stopped.
type chaos struct {
	c        *cluster
	random   *rand.Rand
	stopping chan struct{}
	done     sync.WaitGroup

	// counts holds how often each fault was caused.
	counts map[string]int
}

// startChaos causes faults chosen by the seed.
func (c *cluster) startChaos(seed uint64) *chaos {
	h := &chaos{
		c:        c,
		random:   rand.New(rand.NewPCG(seed, 1)),
		stopping: make(chan struct{}),
		counts:   map[string]int{},
	}
	h.done.Go(h.run)
	return h
}

func (h *chaos) run() {
	for {
		l := h.pick()
		switch h.random.IntN(5) {
		case 0:
			h.counts["severed"]++
			l.sever()
		case 1:
			h.counts["answers lost"]++
			l.cutAnswers()
		case 2:
			h.counts["broken in an answer"]++
			l.breakAfter(h.random.IntN(300))
		case 3:
			h.counts["cut"]++
			l.cut()
		case 4:
			h.counts["silent"]++
			l.hush()
		}
		stop := h.wait(time.Duration(50+h.random.IntN(150)) * time.Millisecond)
		l.heal()
		if stop || h.wait(time.Duration(50+h.random.IntN(100))*time.Millisecond) {
			return
		}
	}
}

// pick chooses a link from a proxy.
func (h *chaos) pick() *link {
	from := h.c.proxies[h.random.IntN(len(h.c.proxies))]
	to := h.c.members[h.random.IntN(len(h.c.members))]
	if h.random.IntN(3) > 0 {
		return h.c.link(from.name, to.name)
	}
	other := h.c.proxies[h.random.IntN(len(h.c.proxies))]
	if other == from {
		return h.c.link(from.name, to.name)
	}
	return h.c.link(from.name, other.name)
}

// wait reports whether the chaos was stopped meanwhile.
func (h *chaos) wait(d time.Duration) bool {
	select {
	case <-h.stopping:
		return true
	case <-time.After(d):
		return false
	}
}

// stop ends the faults and heals all links.
func (h *chaos) stop() {
	close(h.stopping)
	h.done.Wait()
	for _, l := range h.c.links {
		l.heal()
	}
}
