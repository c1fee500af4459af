package links

import "sync"

// Cut is a network fault that stops the traffic between endpoints. The data is held back until the cut ends, as TCP
// would retransmit it then, unless the connection is reset.
type Cut struct {
	// From is the source of the traffic: a name, a failure domain, a region, or "*".
	From string

	// To is the destination, in the same form.
	To string

	// OneWay leaves the reverse direction open.
	OneWay bool
}

// appliesTo reports whether the cut applies to traffic from one endpoint to the other.
func (c Cut) appliesTo(from, to Endpoint) bool {
	if from.matches(c.From) && to.matches(c.To) {
		return true
	}
	return !c.OneWay && from.matches(c.To) && to.matches(c.From)
}

// gate blocks or passes the chunks of one direction of a link. It is open while no cut holds it closed. The zero value
// is open.
type gate struct {
	mu sync.Mutex

	// cuts is the number of cuts that hold the gate closed.
	cuts int

	// reopened is nil while the gate is open. The channel is closed when the gate opens again.
	reopened chan struct{}
}

// addCut closes the gate for one more cut.
func (g *gate) addCut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts++
	if g.reopened == nil {
		g.reopened = make(chan struct{})
	}
}

// removeCut ends one cut, if there is any.
func (g *gate) removeCut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cuts > 0 {
		g.cuts--
	}
	g.openIfUncut()
}

// heal ends all cuts.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts = 0
	g.openIfUncut()
}

// openIfUncut opens the gate if no cut holds it closed. The caller holds mu.
func (g *gate) openIfUncut() {
	if g.cuts == 0 && g.reopened != nil {
		close(g.reopened)
		g.reopened = nil
	}
}

// untilOpen returns a channel that is closed when the gate opens, or nil if it is open.
func (g *gate) untilOpen() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened
}
