package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret/claim"
	"egretlane.example/egret/clock"
)

const (
	// listenInterval is how often holders are pinged by the processes that would replace them.
	listenInterval = 200 * time.Millisecond

	// listeners is how many of the best placed processes ping a holder. More would only delay a
	// takeover when all of them are lost as well.
	listeners = 4

	// doubtAfter is how long a holder doesn't answer before other proxies are asked about it.
	doubtAfter = 250 * time.Millisecond

	// pruneInterval is how often proxies that are gone are looked for, and how long one that is asked
	// answers nothing until then. It is far above any cut that a holder survives.
	pruneInterval = time.Minute

	// askPause is the time between two rounds of questions about a proxy.
	askPause = 250 * time.Millisecond

	// witnesses is how many proxies are asked about another one at once.
	witnesses = 2

	// detourAge is how long a proxy's word counts that it hears another one.
	detourAge = 700 * time.Millisecond
)

// Rank returns how many live processes are better placed to hold the service. It stops to count at
// most.
func (f *Fleet) Rank(service string, most int) int {
	p := f.placement(service)
	own := p.score(&f.Self)
	f.mu.Lock()
	defer f.mu.Unlock()
	better := 0
	for _, n := range f.nodes {
		if better >= most {
			break
		}
		if n.ID != p.holder && n.ID != f.Self.ID && p.score(&n) < own {
			better++
		}
	}
	return better
}

// recount makes the next placement count anew.
func (f *Fleet) recount() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts = nil
}

// Successor returns the process that is placed best to hold a service that this one leaves, or "".
func (f *Fleet) Successor(service string) string {
	p := f.placement(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	best, least := "", uint64(0)
	for _, n := range f.nodes {
		if n.ID == p.holder || n.ID == f.Self.ID {
			continue
		}
		if score := p.score(&n); best == "" || score < least {
			best, least = n.ID, score
		}
	}
	return best
}

// placement orders the processes that may succeed the holder of a service: those that hold fewer services
// come first, then those near its primary, then by a hash that differs for each service.
type placement struct {
	service, domain, region string

	// holder holds the service now, and doesn't succeed itself.
	holder string

	// held counts the services that a process holds. It is shared and must not be changed. The service
	// itself counts only for its holder, which has no part in the order.
	held map[string]int
}

func (f *Fleet) placement(service string) *placement {
	p := &placement{
		service: service,
		held:    f.holdings(),
	}
	p.domain, p.region = f.Home(service)
	if c := f.Claim(service); c != nil {
		if s, known := c.Seen(); known && s.Revision != 0 && !s.Record.Released {
			p.holder = s.Record.Node
		}
	}
	return p
}

// countInterval is for how long a count of the services that processes hold is used again. With many
// services each is placed several times a second, and only the order of candidates depends on it.
const countInterval = 50 * time.Millisecond

// holdings returns how many services each process holds. The map must not be changed.
func (f *Fleet) holdings() map[string]int {
	f.mu.Lock()
	held, at := f.counts, f.countedAt
	f.mu.Unlock()
	if held != nil && clock.Since(at) < countInterval {
		return held
	}
	held = map[string]int{}
	for _, c := range f.allClaims() {
		s, known := c.Seen()
		if known && s.Revision != 0 && !s.Record.Released {
			held[s.Record.Node]++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts, f.countedAt = held, clock.Now()
	return held
}

// mostHeld is the highest count of services that a score tells apart: it has four bits for them.
const mostHeld = 15

// score is lower for a process that is placed better. It is asked for each process of a fleet, many times
// a second, so it must not allocate.
func (p *placement) score(n *Node) uint64 {
	s := uint64(min(p.held[n.ID], mostHeld)) << 60
	if n.Region != p.region {
		s += 1 << 59
	}
	if n.Domain != p.domain {
		s += 1 << 58
	}
	d := xxhash.Digest{}
	d.Reset()
	// Writing to a digest never fails.
	_, _ = d.WriteString(p.service)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(n.ID)
	return s + d.Sum64()>>8
}

// Silent returns for how long the process has not answered, or zero if another proxy hears it.
func (f *Fleet) Silent(r claim.Record) time.Duration {
	_, asked := f.Pool.Heard(r.Address)
	if asked == 0 {
		return 0
	}
	silent := clock.Since(asked)
	if silent > doubtAfter {
		f.doubt(r.Address, r.Incarnation)
	}
	if _, heard := f.detour(r.Address); heard {
		return 0
	}
	return silent
}

// Answers reports whether the process answers now, here or to another proxy.
func (f *Fleet) Answers(ctx context.Context, r claim.Record) bool {
	reply, err := f.Pool.Probe(ctx, r.Address, listenInterval)
	if err == nil && reply.GetIncarnation() == r.Incarnation {
		return true
	}
	_, heard := f.detour(r.Address)
	return heard
}

// Stopped reports whether another process answers at the address of the one in the record.
func (f *Fleet) Stopped(ctx context.Context, r claim.Record) bool {
	if !r.Address.IsValid() {
		return false
	}
	reply, err := f.Pool.Ping(ctx, r.Address)
	return err == nil && reply.GetIncarnation() != r.Incarnation
}

// detour returns a proxy that hears the one at the address.
func (f *Fleet) detour(a netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, found := f.via[a]
	return d.by, found && d.same && clock.Since(d.at) < detourAge
}

// doubt asks other proxies, in the background, whether they hear the one at the address.
func (f *Fleet) doubt(a netip.AddrPort, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asking[a] || f.run == nil {
		return
	}
	f.asking[a] = true
	others := []netip.AddrPort{}
	for _, n := range f.nodes {
		if n.ID != f.Self.ID && n.Address != a {
			others = append(others, n.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), witnesses)]
	for _, by := range others {
		go f.question(f.run, by, a, incarnation)
	}
	time.AfterFunc(askPause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.asking, a)
	})
}

// question asks one proxy about another.
func (f *Fleet) question(ctx context.Context, by, a netip.AddrPort, incarnation string) {
	heard, answered, err := f.Pool.Hear(ctx, by, a)
	f.Trail.Event("peer-doubted").Str("about", a.String()).Str("asked", by.String()).Bool("heard", heard).
		Bool("same", answered == incarnation).Err(err).Msg("asked another proxy about one that doesn't answer")
	if err != nil || !heard {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.via[a] = detour{
		by:   by,
		at:   clock.Now(),
		same: answered == incarnation,
	}
}

// Hear asks the proxy at the address for its incarnation.
func (f *Fleet) Hear(ctx context.Context, a netip.AddrPort) (string, error) {
	reply, err := f.Pool.Ping(ctx, a)
	return reply.GetIncarnation(), err
}

// listen pings the holders of the services that this process would take over.
func (f *Fleet) listen(ctx context.Context) error {
	tick := time.NewTicker(listenInterval)
	defer tick.Stop()
	pruned := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f.pingHolders(ctx)
			if clock.Since(pruned) > pruneInterval {
				pruned = clock.Now()
				f.Pool.Prune(pruneInterval)
			}
		}
	}
}

func (f *Fleet) pingHolders(ctx context.Context) {
	for _, c := range f.allClaims() {
		s, known := c.Seen()
		if !known || s.Revision == 0 || s.Record.Node == f.Self.ID {
			continue
		}
		heard, asked := f.Pool.Heard(s.Record.Address)
		due := asked != 0 || clock.Since(heard) > listenInterval && f.Rank(c.Service, listeners) < listeners
		if due {
			go f.pingHolder(ctx, s.Record.Address)
		}
	}
}

// moved asks a process that no longer runs a service's statements whether it has given the service up.
func (f *Fleet) moved(a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !a.IsValid() || f.run == nil || clock.Since(f.movedAt[a]) < listenInterval {
		return
	}
	f.movedAt[a] = clock.Now()
	go f.pingHolder(f.run, a)
}

// pingHolder asks a holder what it has given up. Whether it answers is noted in the pool.
func (f *Fleet) pingHolder(ctx context.Context, a netip.AddrPort) {
	reply, err := f.Pool.Ping(ctx, a)
	if err != nil || len(reply.GetGivenUp()) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, revision := range reply.GetGivenUp() {
		f.givenUp[revision] = true
	}
	for _, c := range f.claims {
		c.Wake()
	}
}

// GaveUp reports whether the holder at the revision has said that it holds the service no longer.
func (f *Fleet) GaveUp(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.givenUp[revision]
}

// GivenUp returns the revisions of the holdings that this process had and has ended.
func (f *Fleet) GivenUp() []uint64 {
	revisions := []uint64{}
	for _, c := range f.allClaims() {
		if r := c.GivenUp(); r != 0 {
			revisions = append(revisions, r)
		}
	}
	return revisions
}

// maxVoters bounds the processes whose promises keep a holder in force without the store. Four of
// them may be lost.
const maxVoters = 9

// Voters returns the processes that a new holder names in its record: this one, and others so that
// failure domains take turns.
func (f *Fleet) Voters() []claim.Voter {
	f.mu.Lock()
	nodes := []Node{}
	for _, n := range f.nodes {
		if n.ID != f.Self.ID {
			nodes = append(nodes, n)
		}
	}
	f.mu.Unlock()
	turn := map[string]int{}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	rank := map[string]int{}
	for _, n := range nodes {
		rank[n.ID] = turn[n.Domain]
		turn[n.Domain]++
	}
	slices.SortStableFunc(nodes, func(a, b Node) int { return rank[a.ID] - rank[b.ID] })
	voters := []claim.Voter{{
		Node:    f.Self.ID,
		Address: f.Self.Address,
	}}
	for _, n := range nodes[:min(len(nodes), maxVoters-1)] {
		voters = append(voters, claim.Voter{
			Node:    n.ID,
			Address: n.Address,
		})
	}
	slices.SortFunc(voters, func(a, b claim.Voter) int { return strings.Compare(a.Node, b.Node) })
	return voters
}

// Promise asks a process for its promise.
func (f *Fleet) Promise(ctx context.Context, v claim.Voter, service string, q claim.Promise) (bool, error) {
	return f.Pool.Promise(ctx, v.Address, service, q)
}

// Clear asks a process to give former holders no promises any more.
func (f *Fleet) Clear(ctx context.Context, v claim.Voter, service string, revision uint64) (time.Duration, claim.Intent, error) {
	return f.Pool.Clear(ctx, v.Address, service, revision)
}
