package sched

import (
	"maps"
	"slices"
)

const (
	// guaranteedShare is the share of starts that each route and each failure domain with waiting or refused statements
	// gets at least, and maxGuaranteedShare that of all together, so that many of them don't replace the order by priority.
	guaranteedShare    = 1.0 / 32
	maxGuaranteedShare = 0.5

	// maxOwed bounds the starts that a route or domain is owed, so that one that can't use them doesn't get a burst later.
	maxOwed = 2

	// refusalStarts is for how many starts a refusal counts as work of its route and its failure domain: twice as many as it
	// takes to be owed one.
	refusalStarts = 64

	// maxGuarantees is how many routes and failure domains are kept before those that are owed nothing are dropped. Each
	// start goes through all of them, and routes come and go with the configuration.
	maxGuarantees = 64

	// maxFlows is how many workspaces are kept before those without waiting items are dropped.
	maxFlows = 1024
)

// flowKey identifies the items of a workspace with a priority.
type flowKey struct {
	workspace string
	priority  int
}

// flow is the state of a workspace within a priority.
type flow struct {
	// next is the virtual time at which the workspace's next item starts, if its others are served at its share.
	next float64

	// weight is the workspace's share, and queued how many of its items wait.
	weight, queued int

	// streams has what is learned of the items' waits, by their need.
	streams [NeedMember + 1]stream
}

// shares holds what workspaces, routes and failure domains have had. The zero shares is empty and ready to use.
type shares struct {
	// tagged is set once an item had a workspace.
	tagged bool

	flows map[flowKey]*flow

	// virtual is the virtual time of each priority: the tag of its last item that started.
	virtual map[int]float64

	// weight is the sum of the weights of all flows with waiting items.
	weight int

	// guarantees has those of all routes and failure domains. byRoute and byDomain find them by name.
	guarantees        []*guarantee
	byRoute, byDomain map[string]*guarantee
}

// guarantee is the claim of a route or a failure domain to a share of the starts.
type guarantee struct {
	// owed is how many starts are due to it.
	owed float64

	// queued is how many of its items wait, and wanted for how many starts it still counts that one was refused.
	queued, wanted int
}

// claims reports whether the guarantee's items wait, or one was refused recently.
func (g *guarantee) claims() bool {
	return g.queued > 0 || g.wanted > 0
}

// assign sets the item's flow, tag and guarantees.
func (s *shares) assign(it *Item) {
	if s.flows == nil {
		s.flows = map[flowKey]*flow{}
		s.virtual = map[int]float64{}
		s.byRoute = map[string]*guarantee{}
		s.byDomain = map[string]*guarantee{}
	}
	it.guarantees = [2]*guarantee{s.guarantee(s.byRoute, it.Route), s.guarantee(s.byDomain, it.Domain)}
	s.tagged = s.tagged || it.Workspace != ""
	it.flow = s.flow(it)
	if s.tagged && it.Need != NeedMember {
		it.tag = max(s.virtual[it.Priority], it.flow.next)
	}
}

func (s *shares) guarantee(byName map[string]*guarantee, name string) *guarantee {
	if name == "" {
		return nil
	}
	g := byName[name]
	if g == nil {
		g = &guarantee{}
		byName[name] = g
		s.guarantees = append(s.guarantees, g)
	}
	return g
}

func (s *shares) flow(it *Item) *flow {
	k := flowKey{
		workspace: it.Workspace,
		priority:  it.Priority,
	}
	f := s.flows[k]
	if f == nil {
		s.dropIdleFlows()
		f = &flow{}
		s.flows[k] = f
	}
	if f.queued > 0 {
		s.weight += max(1, it.Weight) - f.weight
	}
	f.weight = max(1, it.Weight)
	return f
}

// dropIdleFlows removes the flows without waiting items if there are many. Their workspaces begin anew.
func (s *shares) dropIdleFlows() {
	if len(s.flows) < maxFlows {
		return
	}
	for k, f := range s.flows {
		if f.queued == 0 {
			delete(s.flows, k)
		}
	}
}

// overShare reports whether the workspace of the item has more than its share of a number of places in the queue.
func (s *shares) overShare(it *Item, places int) bool {
	f := it.flow
	total := s.weight
	if f.queued == 0 {
		total += f.weight
	}
	return s.tagged && f.queued*total >= places*f.weight
}

// admitsOwed reports whether the item is admitted although its predicted wait is too long, because its route or failure
// domain is owed a start and has no item that could use it.
func (it *Item) admitsOwed() bool {
	for _, g := range it.guarantees {
		if g != nil && g.queued == 0 && g.owed >= 1 {
			return true
		}
	}
	return false
}

// noteRefused records that the item was refused.
func (it *Item) noteRefused() {
	for _, g := range it.guarantees {
		if g != nil {
			g.wanted = refusalStarts
		}
	}
}

// add counts an item that is queued, and charges its workspace.
func (s *shares) add(it *Item) {
	for _, g := range it.guarantees {
		if g != nil {
			g.queued++
		}
	}
	f := it.flow
	if f.queued == 0 {
		s.weight += f.weight
	}
	f.queued++
	if s.tagged {
		f.next = max(f.next, s.virtual[it.Priority]) + it.Cost.Seconds()/float64(f.weight)
	}
}

// remove counts an item that is no longer queued.
func (s *shares) remove(it *Item) {
	for _, g := range it.guarantees {
		if g != nil {
			g.queued--
		}
	}
	it.flow.queued--
	it.stream().queued--
	if it.flow.queued == 0 {
		s.weight -= it.flow.weight
	}
}

// start records the start of an item that was removed before: it advances the virtual time, and credits the routes and
// failure domains that have other work.
func (s *shares) start(it *Item) {
	if it.Need == NeedMember {
		return
	}
	if s.tagged {
		s.virtual[it.Priority] = max(s.virtual[it.Priority], it.tag)
	}
	s.credit()
	for _, g := range it.guarantees {
		if g != nil {
			g.owed = max(0, g.owed-1)
		}
	}
}

// credit adds a start's part to what is owed to the routes and failure domains with work. It drops those without if there are
// many.
func (s *shares) credit() {
	claiming := 0
	for _, g := range s.guarantees {
		if g.claims() {
			claiming++
		}
	}
	part := min(guaranteedShare, maxGuaranteedShare/float64(max(1, claiming)))
	for _, g := range s.guarantees {
		if g.claims() {
			g.owed = min(maxOwed, g.owed+part)
		} else {
			g.owed = 0
		}
		g.wanted = max(0, g.wanted-1)
	}
	if len(s.guarantees) > maxGuarantees && claiming < len(s.guarantees) {
		s.dropIdleGuarantees()
	}
}

// dropIdleGuarantees removes the guarantees without work, to which nothing is owed. No item between assign and add may refer
// to one.
func (s *shares) dropIdleGuarantees() {
	idle := func(g *guarantee) bool { return !g.claims() }
	s.guarantees = slices.DeleteFunc(s.guarantees, idle)
	for _, byName := range []map[string]*guarantee{s.byRoute, s.byDomain} {
		maps.DeleteFunc(byName, func(_ string, g *guarantee) bool { return idle(g) })
	}
}

// owesStart reports whether a route or a failure domain with waiting items is owed a start.
func (s *shares) owesStart() bool {
	return slices.ContainsFunc(s.guarantees, func(g *guarantee) bool { return g.queued > 0 && g.owed >= 1 })
}

// owed reports whether the item's route or failure domain is owed a start.
func (it *Item) owed() bool {
	for _, g := range it.guarantees {
		if g != nil && g.owed >= 1 {
			return true
		}
	}
	return false
}

// refund undoes the charge of an item that was removed without a start.
func (s *shares) refund(it *Item) {
	if s.tagged {
		it.flow.next -= it.Cost.Seconds() / float64(it.flow.weight)
	}
}
