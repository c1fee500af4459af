package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/rank"
)

const (
	// holderPingInterval is the interval at which holders are pinged by the processes that would replace
	// them.
	holderPingInterval = 200 * time.Millisecond

	// pingersPerHolder is how many of the best ranked processes in its region ping a holder. If all of them are
	// lost together with the holder, a takeover is only delayed.
	pingersPerHolder = 4

	// interRegionDelay is how much longer a holder must be silent before a process in another region replaces it. The
	// processes in its region have replaced it by then if it is lost. Silence across regions may only mean that the
	// link between them is busy.
	interRegionDelay = 1200 * time.Millisecond

	// suspectAfter is how long a holder may leave a ping unanswered before other proxies are asked to
	// probe it.
	suspectAfter = 250 * time.Millisecond

	// silenceMaxAge is how long after the last call to a process its silence counts.
	silenceMaxAge = time.Second

	// pruneInterval is the interval at which proxies that have ended are forgotten, and how long a proxy
	// must have left requests unanswered to count as ended. It is far longer than any network partition
	// that a holder survives.
	pruneInterval = time.Minute

	// indirectProbeInterval is the least time between two rounds of indirect probes of a proxy.
	indirectProbeInterval = 250 * time.Millisecond

	// indirectProbers is how many other proxies are asked to probe an unresponsive one in each round.
	indirectProbers = 2

	// indirectRouteMaxAge is how long the confirmation of a proxy that it reaches another one is valid.
	indirectRouteMaxAge = 700 * time.Millisecond
)

// Rank returns how many registered processes are better placed than this one to hold the service. It
// stops counting at the limit. Processes that are silent don't count.
func (f *Fleet) Rank(service string, limit int) int {
	return f.rank(service, limit, false)
}

// rank is Rank, among all processes or only those in the region of this one.
func (f *Fleet) rank(service string, limit int, inRegion bool) int {
	o := f.order(service)
	own := o.Score(f.Self.candidate(), f.ownClaims(service))
	f.mu.Lock()
	defer f.mu.Unlock()
	better := 0
	for _, n := range f.nodes {
		if better >= limit {
			break
		}
		if inRegion && n.Region != f.Self.Region {
			continue
		}
		if n.ID != o.Holder && n.ID != f.Self.ID && o.Score(n.candidate(), 0) < own && !f.silent(n.Address) {
			better++
		}
	}
	return better
}

// silent reports whether the process at the address answers no requests of this one. Holders are called often, others may
// answer again without a call that would show it.
func (f *Fleet) silent(a netip.AddrPort) bool {
	return f.Pool.Silent(a, suspectAfter, silenceMaxAge)
}

// answers reports whether the process at the address has answered the last request of this one.
func (f *Fleet) answers(a netip.AddrPort) bool {
	lastAnswer, unansweredSince := f.Pool.Liveness(a)
	return lastAnswer != 0 && unansweredSince == 0
}

// claimTime is for how long a service that this process may acquire counts as held by it, beside those whose records
// show it. By then, the record shows whether it is.
const claimTime = time.Second

// MayAcquire reports whether at most the given number of processes are better placed to hold the service than this one.
// If so, the service counts as held by this process for claimTime, so that a process doesn't acquire many services at
// once on the ground that it holds none.
func (f *Fleet) MayAcquire(service string, above int) bool {
	return f.mayAcquire(service, above, false)
}

// MayReplace is like MayAcquire for a service whose holder doesn't respond, but only processes in this one's region count.
func (f *Fleet) MayReplace(service string, above int) bool {
	return f.mayAcquire(service, above, true)
}

func (f *Fleet) mayAcquire(service string, above int, inRegion bool) bool {
	f.claiming.Lock()
	defer f.claiming.Unlock()
	if f.rank(service, above+1, inRegion) > above {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[service] = clock.Now()
	return true
}

// ReplacementDelay returns interRegionDelay if the process is in another region than this one, and others are in its region.
func (f *Fleet) ReplacementDelay(r lease.Record) time.Duration {
	if f.inHolderRegion(r) {
		return 0
	}
	return interRegionDelay
}

// inHolderRegion reports whether this process is in the region of the holder, or there are no others there.
func (f *Fleet) inHolderRegion(r lease.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	holder, known := f.nodes[r.Node]
	if !known || holder.Region == f.Self.Region {
		return true
	}
	for _, n := range f.nodes {
		if n.Region == holder.Region && n.ID != holder.ID {
			return false
		}
	}
	return true
}

// ownClaims returns how many services other than the given one this process may have acquired within claimTime.
func (f *Fleet) ownClaims(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, at := range f.claims {
		switch {
		case clock.Since(at) > claimTime:
			delete(f.claims, name)
		case name != service:
			n++
		}
	}
	return n
}

// invalidateCounts discards the cached counts, so that the next placement counts again.
func (f *Fleet) invalidateCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cachedCounts = nil
}

// order returns the order of the candidates for a service.
func (f *Fleet) order(service string) *rank.Order {
	o := &rank.Order{
		Service: service,
		Counts:  f.serviceCounts(),
	}
	o.Domain, o.Region = f.PrimaryLocation(service)
	f.mu.Lock()
	o.Largest = f.largest
	f.mu.Unlock()
	if l := f.Lease(service); l != nil {
		if s, known := l.LatestRecord(); known && s.Stored.Exists() && !s.Record.Released {
			o.Holder = s.Record.Node
		}
	}
	return o
}

// countsMaxAge is how long the cached counts of services are used. With many services, each is placed
// several times a second, and only the order of candidates depends on the counts.
const countsMaxAge = 50 * time.Millisecond

// serviceCounts returns how many services each process holds, by the ID of its node. The map must not be
// changed.
func (f *Fleet) serviceCounts() map[string]int {
	f.mu.Lock()
	counts, at := f.cachedCounts, f.cachedCountsAt
	f.mu.Unlock()
	if counts != nil && clock.Since(at) < countsMaxAge {
		return counts
	}
	counts = map[string]int{}
	for _, l := range f.allLeases() {
		s, known := l.LatestRecord()
		if known && s.Stored.Exists() && !s.Record.Released {
			counts[s.Record.Node]++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cachedCounts, f.cachedCountsAt = counts, clock.Now()
	return counts
}

// UnresponsiveFor returns how long the process has left requests unanswered. It is zero if the process answers, or
// if another proxy has confirmed lately that it does.
func (f *Fleet) UnresponsiveFor(r lease.Record) time.Duration {
	_, unansweredSince := f.Pool.Liveness(r.Address)
	if unansweredSince == 0 {
		return 0
	}
	unanswered := clock.Since(unansweredSince)
	if unanswered > suspectAfter {
		f.probeIndirectly(r.Address, r.Incarnation)
	}
	if _, reachable := f.indirectRoute(r.Address); reachable {
		return 0
	}
	return unanswered
}

// Responds reports whether the process answers a ping now, or has answered another proxy lately.
func (f *Fleet) Responds(ctx context.Context, r lease.Record) bool {
	reply, err := f.Pool.PingFreshConn(ctx, r.Address, holderPingInterval)
	f.recordGivenUp(reply.GivenUp)
	if err == nil && reply.Incarnation == r.Incarnation {
		return true
	}
	_, reachable := f.indirectRoute(r.Address)
	return reachable
}

// Stopped reports whether a process other than the one in the record answers at its address. No two
// processes listen at one address, so the one in the record has ended.
func (f *Fleet) Stopped(ctx context.Context, r lease.Record) bool {
	if !r.Address.IsValid() {
		return false
	}
	reply, err := f.Pool.Ping(ctx, r.Address)
	return err == nil && reply.Incarnation != r.Incarnation
}

// indirectRoute returns a proxy that reaches the one at the address, if there is a valid confirmation.
func (f *Fleet) indirectRoute(a netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, found := f.indirectRoutes[a]
	return r.via, found && r.sameIncarnation && clock.Since(r.confirmedAt) < indirectRouteMaxAge
}

// probeIndirectly asks other proxies, in the background, to probe the one at the address.
func (f *Fleet) probeIndirectly(a netip.AddrPort, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.indirectProbes[a] || f.runCtx == nil {
		return
	}
	f.indirectProbes[a] = true
	others := []netip.AddrPort{}
	for _, n := range f.nodes {
		if n.ID != f.Self.ID && n.Address != a {
			others = append(others, n.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), indirectProbers)]
	for _, via := range others {
		go f.probeVia(f.runCtx, via, a, incarnation)
	}
	time.AfterFunc(indirectProbeInterval, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.indirectProbes, a)
	})
}

// probeVia asks the proxy at via to probe the one at the address, and records the route if that answers.
func (f *Fleet) probeVia(ctx context.Context, via, a netip.AddrPort, incarnation string) {
	reachable, answered, err := f.Pool.PingVia(ctx, via, a)
	f.EventLog.Event("peer-doubted").Str("about", a.String()).Str("asked", via.String()).Bool("heard", reachable).
		Bool("same", answered == incarnation).Err(err).Msg("asked another proxy to probe one that doesn't answer")
	if err != nil || !reachable {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.indirectRoutes[a] = indirectRoute{
		via:             via,
		confirmedAt:     clock.Now(),
		sameIncarnation: answered == incarnation,
	}
}

// PingPeer pings the proxy at the address and returns its incarnation.
func (f *Fleet) PingPeer(ctx context.Context, a netip.AddrPort) (string, error) {
	reply, err := f.Pool.Ping(ctx, a)
	return reply.Incarnation, err
}

// runHolderPings pings the holders of the services that this process would take over, and forgets proxies
// that have ended, until the context is canceled.
func (f *Fleet) runHolderPings(ctx context.Context) error {
	tick := time.NewTicker(holderPingInterval)
	defer tick.Stop()
	prunedAt := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f.pingHolders(ctx)
			if clock.Since(prunedAt) > pruneInterval {
				prunedAt = clock.Now()
				f.Pool.Prune(pruneInterval)
			}
		}
	}
}

// pingHolders pings, in the background, each holder that has left a request unanswered, and those in its region that
// haven't answered lately and for which this process is one of the pingersPerHolder best placed there. A contested holder is
// pinged until it answers, as statements go to it then.
func (f *Fleet) pingHolders(ctx context.Context) {
	for _, l := range f.allLeases() {
		if h := l.ContestedHolder(); h != nil && h.Node != f.Self.ID && !f.answers(h.Address) {
			go f.pingHolder(ctx, h.Address)
		}
		s, known := l.LatestRecord()
		if !known || !s.Stored.Exists() || s.Record.Node == f.Self.ID {
			continue
		}
		lastAnswer, unansweredSince := f.Pool.Liveness(s.Record.Address)
		pingDue := unansweredSince != 0 ||
			clock.Since(lastAnswer) > holderPingInterval && f.inHolderRegion(s.Record) &&
				f.rank(l.Service, pingersPerHolder, true) < pingersPerHolder
		if pingDue {
			go f.pingHolder(ctx, s.Record.Address)
		}
	}
}

// pingAfterMove pings, in the background, a process that answered FaultNotHolder, to learn whether it has given
// up a service.
func (f *Fleet) pingAfterMove(a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !a.IsValid() || f.runCtx == nil || clock.Since(f.movedPingAt[a]) < holderPingInterval {
		return
	}
	f.movedPingAt[a] = clock.Now()
	go f.pingHolder(f.runCtx, a)
}

// pingHolder pings a holder and records the leases that it reports as given up. The pool records
// whether it answers.
func (f *Fleet) pingHolder(ctx context.Context, a netip.AddrPort) {
	reply, err := f.Pool.Ping(ctx, a)
	if err == nil {
		f.recordGivenUp(reply.GivenUp)
		f.recordLeaving(reply)
	}
}

// recordGivenUp records the revisions of leases that their holder has reported as ended.
func (f *Fleet) recordGivenUp(revisions []egret.Revision) {
	if len(revisions) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, revision := range revisions {
		if f.givenUp[revision] == 0 {
			f.givenUp[revision] = clock.Now()
		}
	}
	for _, l := range f.leases {
		l.Wake()
	}
}

// GaveUpAt returns when this process learned that the lease of the holder whose record has the revision has ended, or zero.
func (f *Fleet) GaveUpAt(revision egret.Revision) clock.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.givenUp[revision]
}

// GivenUpRevisions returns the revisions of the leases of this process that have ended.
func (f *Fleet) GivenUpRevisions() []egret.Revision {
	revisions := []egret.Revision{}
	for _, l := range f.allLeases() {
		if r := l.GivenUpRevision(); r.Exists() {
			revisions = append(revisions, r)
		}
	}
	return revisions
}

// maxVoters is the largest number of processes whose promises extend the lease of a holder while the store
// doesn't answer. A majority is needed, so four of them may be lost.
const maxVoters = 9

// Voters returns the voters that a new holder lists in its record, ordered by node: this process, and
// others that are chosen from the failure domains in turn.
func (f *Fleet) Voters() []lease.Voter {
	f.mu.Lock()
	nodes := []Node{}
	for _, n := range f.nodes {
		if n.ID != f.Self.ID {
			nodes = append(nodes, n)
		}
	}
	f.mu.Unlock()
	domainSizes := map[string]int{}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	rankInDomain := map[string]int{}
	for _, n := range nodes {
		rankInDomain[n.ID] = domainSizes[n.Domain]
		domainSizes[n.Domain]++
	}
	slices.SortStableFunc(nodes, func(a, b Node) int { return rankInDomain[a.ID] - rankInDomain[b.ID] })
	voters := []lease.Voter{{
		Node:    f.Self.ID,
		Address: f.Self.Address,
	}}
	for _, n := range nodes[:min(len(nodes), maxVoters-1)] {
		voters = append(voters, lease.Voter{
			Node:    n.ID,
			Address: n.Address,
		})
	}
	slices.SortFunc(voters, func(a, b lease.Voter) int { return strings.Compare(a.Node, b.Node) })
	return voters
}

// Everyone returns this process and all registered ones.
func (f *Fleet) Everyone() []lease.Voter {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []lease.Voter{{
		Node:    f.Self.ID,
		Address: f.Self.Address,
	}}
	for _, n := range f.nodes {
		if n.ID != f.Self.ID {
			all = append(all, lease.Voter{
				Node:    n.ID,
				Address: n.Address,
			})
		}
	}
	return all
}

// RequestPromise asks a voter for a promise, and reports whether it was given.
func (f *Fleet) RequestPromise(ctx context.Context, v lease.Voter, service string, q lease.Promise) (bool, error) {
	return f.Pool.RequestPromise(ctx, v.Address, service, q)
}

// RequestFence passes a fence of a service's former holders to a voter.
func (f *Fleet) RequestFence(ctx context.Context, v lease.Voter, service string, q lease.Fence) (lease.FenceReply, error) {
	return f.Pool.RequestFence(ctx, v.Address, service, q)
}
