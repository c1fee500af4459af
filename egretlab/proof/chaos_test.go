package proof

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxBrokenLinks is the number of links that may have a fault at the same time.
const maxBrokenLinks = 2

// chaos injects faults into random links, from proxies to members or to other proxies, until it is stopped.
type chaos struct {
	cluster  *cluster
	seed     uint64
	stopping chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex

	// counts holds how often each kind of fault was injected.
	counts map[string]int
}

// startChaos starts injecting faults. The seed determines the links, the kinds and the durations.
func (c *cluster) startChaos(seed uint64) *chaos {
	h := &chaos{
		cluster:  c,
		seed:     seed,
		stopping: make(chan struct{}),
		counts:   map[string]int{},
	}
	for i := range maxBrokenLinks {
		h.done.Go(func() {
			h.injectFaults(rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	return h
}

// injectFaults breaks and heals one link after another until the chaos is stopped.
func (h *chaos) injectFaults(random *rand.Rand) {
	for {
		l := h.pickLink(random)
		h.breakLink(l, random)
		stop := h.stoppedWithin(time.Duration(20+random.IntN(150)) * time.Millisecond)
		l.heal()
		if stop || h.stoppedWithin(time.Duration(20+random.IntN(80))*time.Millisecond) {
			return
		}
	}
}

// breakLink injects a random kind of fault into the link.
func (h *chaos) breakLink(l *link, random *rand.Rand) {
	name := ""
	switch random.IntN(5) {
	case 0:
		name = "connections-closed"
		l.closeConnections()
	case 1:
		name = "replies-dropped"
		l.dropReplies()
	case 2:
		name = "closed-within-reply"
		l.closeAfter(random.IntN(300))
	case 3:
		name = "all-dropped"
		l.dropAll()
	case 4:
		name = "connections-silenced"
		l.silence()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]++
}

// pickLink chooses a link from a random proxy. Half of the time, it leads to the member that is primary at the start.
func (h *chaos) pickLink(random *rand.Rand) *link {
	from := h.cluster.proxies[random.IntN(len(h.cluster.proxies))]
	to := h.cluster.members[random.IntN(len(h.cluster.members))]
	other := h.cluster.proxies[random.IntN(len(h.cluster.proxies))]
	switch n := random.IntN(4); {
	case n < 2:
		return h.cluster.link(from.name, h.cluster.members[0].name)
	case n == 2 && other != from:
		return h.cluster.link(from.name, other.name)
	default:
		return h.cluster.link(from.name, to.name)
	}
}

// stoppedWithin waits for d and reports whether the chaos was stopped meanwhile.
func (h *chaos) stoppedWithin(d time.Duration) bool {
	select {
	case <-h.stopping:
		return true
	case <-time.After(d):
		return false
	}
}

// stop ends the fault injection and heals all links.
func (h *chaos) stop() {
	close(h.stopping)
	h.done.Wait()
	for _, l := range h.cluster.links {
		l.heal()
	}
}
