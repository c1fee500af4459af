package proof

import (
	"math/rand/v2"
	"sync"
	"time"
)

// chaosStreams is how many links may be broken at once.
const chaosStreams = 2

// chaos breaks links between proxies and members at random until it is stopped.
type chaos struct {
	c        *cluster
	seed     uint64
	stopping chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex

	// counts holds how often each fault was caused.
	counts map[string]int
}

// startChaos causes faults chosen by the seed.
func (c *cluster) startChaos(seed uint64) *chaos {
	h := &chaos{
		c:        c,
		seed:     seed,
		stopping: make(chan struct{}),
		counts:   map[string]int{},
	}
	for i := range chaosStreams {
		h.done.Go(func() {
			h.run(rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	return h
}

func (h *chaos) run(random *rand.Rand) {
	for {
		l := h.pick(random)
		h.cause(l, random)
		stop := h.wait(time.Duration(20+random.IntN(150)) * time.Millisecond)
		l.heal()
		if stop || h.wait(time.Duration(20+random.IntN(80))*time.Millisecond) {
			return
		}
	}
}

// cause breaks the link in one of the ways.
func (h *chaos) cause(l *link, random *rand.Rand) {
	name := ""
	switch random.IntN(5) {
	case 0:
		name = "severed"
		l.sever()
	case 1:
		name = "answers-lost"
		l.cutAnswers()
	case 2:
		name = "broken-in-an-answer"
		l.breakAfter(random.IntN(300))
	case 3:
		name = "cut"
		l.cut()
	case 4:
		name = "silent"
		l.hush()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]++
}

// pick chooses a link from a proxy, to the primary of the start half of the time.
func (h *chaos) pick(random *rand.Rand) *link {
	from := h.c.proxies[random.IntN(len(h.c.proxies))]
	to := h.c.members[random.IntN(len(h.c.members))]
	other := h.c.proxies[random.IntN(len(h.c.proxies))]
	switch n := random.IntN(4); {
	case n < 2:
		return h.c.link(from.name, h.c.members[0].name)
	case n == 2 && other != from:
		return h.c.link(from.name, other.name)
	default:
		return h.c.link(from.name, to.name)
	}
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
