package links

import "sync"

// Cut is an order to drop what goes from a place to another.
type Cut struct {
	// From and To are each a name, a failure domain, a region, or "*".
	From string

	// To is where what is dropped would go.
	To string

	// OneWay leaves the way back open.
	OneWay bool
}

// holds reports whether the cut holds for what goes from one place to the other.
func (c Cut) holds(from, to Place) bool {
	if from.is(c.From) && to.is(c.To) {
		return true
	}
	return !c.OneWay && from.is(c.To) && to.is(c.From)
}

// gate is passed by the chunks of one direction of a link. The zero gate is open.
type gate struct {
	mu sync.Mutex

	// closed is nil while the gate is open. It is closed as a channel when the gate opens again.
	closed chan struct{}
}

// set opens or closes the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case open && g.closed != nil:
		close(g.closed)
		g.closed = nil
	case !open && g.closed == nil:
		g.closed = make(chan struct{})
	}
}

// wait returns a channel that ends the wait at the gate, or nil if the gate is open.
func (g *gate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
