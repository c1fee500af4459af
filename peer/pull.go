package peer

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

// Timeouts and size limits of pulls.
const (
	pullTimeout   = 5 * time.Second
	tablesTimeout = 30 * time.Second

	// entrySize is the approximate compressed size of an entry on the wire, in bytes.
	entrySize = 40

	// largeBacklog is a number of queued updates that exceeds what two messages carry.
	largeBacklog = 24

	// maxRepairSize bounds the nodes of one repair, and separately its facts, in bytes. One bucket of each is
	// always allowed.
	maxRepairSize = 16 << 10
)

// shortDigest returns a digest with one hash for the nodes and one for the facts. The caller holds mu.
func (m *Mesh) shortDigest() *peerpb.Digest {
	nodes := m.table.NodeHashes()
	facts := m.table.FactHashes()
	return &peerpb.Digest{
		Nodes:    []uint64{nodes.Combined()},
		Facts:    []uint64{facts.Combined()},
		Revision: m.tablesRevision(),
	}
}

// longDigest returns a digest with the bucket hashes of the nodes, of the facts or of both, wherever the peer's
// digest differs. The caller holds mu.
func (m *Mesh) longDigest(theirs *peerpb.Digest) *peerpb.Digest {
	d := m.shortDigest()
	nodes := m.table.NodeHashes()
	facts := m.table.FactHashes()
	if differ(theirs.GetNodes(), d.Nodes) {
		d.Nodes = nodes[:]
	}
	if differ(theirs.GetFacts(), d.Facts) {
		d.Facts = facts[:]
	}
	return d
}

// replyDigest returns the digest for a reply. A request without hashes asks for the bucket hashes. Otherwise they
// are sent only if the difference is likely to persist. The caller holds mu.
func (m *Mesh) replyDigest(theirs *peerpb.Digest, now time.Time) *peerpb.Digest {
	if len(theirs.GetNodes()) == 0 || m.differencePersists(now) {
		return m.longDigest(theirs)
	}
	return m.shortDigest()
}

// differ reports whether two hashes from short digests differ. Any other number of hashes counts as different.
func differ(a, b []uint64) bool {
	return len(a) != 1 || len(b) != 1 || a[0] != b[0]
}

// tablesRevision returns the revision of the tables in force, or 0 if there are none.
func (m *Mesh) tablesRevision() uint64 {
	if t := m.TablesInForce(); t != nil {
		return t.Revision
	}
	return 0
}

// differencePersists reports whether gossip alone is unlikely to resolve a difference to a peer soon: no update is
// queued here, or more than two messages carry, or no node has changed here for the propagation time, or for four times
// as long no peer was in sync and no repair was started. The caller holds mu.
func (m *Mesh) differencePersists(now time.Time) bool {
	propagation := m.propagationTime()
	pending := m.table.Pending()
	return pending == 0 || pending > largeBacklog || now.Sub(m.table.Changed()) > propagation || now.Sub(m.lastInSync) > 4*propagation
}

// handleReply merges the updates of a reply and pulls what differs by its digest.
func (m *Mesh) handleReply(ctx context.Context, reply *peerpb.ExchangeReply) {
	from, ok := nodeFromWire(reply.GetFrom())
	if !ok {
		return
	}
	m.mergeUpdates(reply.GetFrom(), reply.GetNews())
	if reply.GetDigest().GetRevision() > m.tablesRevision() {
		go m.pullTables(ctx, from.Address)
	}
	m.pullDifference(ctx, from.Address, reply.GetDigest(), false)
}

// pullDifference pulls the buckets that differ from a proxy's digest. The flag force is set if the two proxies
// have just found each other: gossip won't resolve the difference then.
func (m *Mesh) pullDifference(ctx context.Context, a netip.AddrPort, d *peerpb.Digest, force bool) {
	request := m.repairRequest(d, force, time.Now())
	if request == nil {
		return
	}
	m.metrics.pulls.WithLabelValues("buckets").Inc()
	pulled, err := m.pull(ctx, a, request)
	if err != nil {
		return
	}
	m.mergePulled(pulled.GetNews())
}

// reconcile reconciles all buckets with a proxy that was unknown or dead here, in both directions.
func (m *Mesh) reconcile(ctx context.Context, a netip.AddrPort) {
	m.mu.Lock()
	self := nodeToWire(m.table.Self())
	m.mu.Unlock()
	reply, err := m.send(ctx, a, &peerpb.ExchangeRequest{
		From:   self,
		Digest: &peerpb.Digest{},
	}, contactTimeout)
	if err != nil {
		return
	}
	m.mergeUpdates(reply.GetFrom(), reply.GetNews())
	m.pullDifference(ctx, a, reply.GetDigest(), true)
	m.mu.Lock()
	digest := m.longDigest(&peerpb.Digest{})
	m.mu.Unlock()
	// The other proxy pulls what differs when it receives the bucket hashes.
	_, _ = m.send(ctx, a, &peerpb.ExchangeRequest{
		From:   self,
		Digest: digest,
	}, contactTimeout)
}

// mergeUpdates merges the sender's own node and the updates of a message.
func (m *Mesh) mergeUpdates(from *peerpb.Node, updates *peerpb.News) {
	now := time.Now()
	n := updatesFromWire(updates)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := roster.Change{}
	if node, ok := nodeFromWire(from); ok && node.ID != m.Node.ID {
		c.Add(m.table.Merge(node, now))
	}
	for _, v := range n.Nodes {
		c.Add(m.table.Merge(v, now))
	}
	for _, v := range n.Facts {
		c.Add(m.table.MergeFact(v))
	}
	m.applyChange(c)
}

// mergePulled merges the entries of pulled buckets. Entries that are newer here are queued as updates.
func (m *Mesh) mergePulled(updates *peerpb.News) {
	now := time.Now()
	n := updatesFromWire(updates)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := roster.Change{}
	changed := 0
	for _, v := range n.Nodes {
		r := m.table.Merge(v, now)
		if r.Stale {
			m.table.Queue(v.ID)
		}
		if r.Changed {
			changed++
		}
		c.Add(r)
	}
	for _, v := range n.Facts {
		r := m.table.MergeFact(v)
		if r.Stale {
			m.table.QueueFact(v.Group)
		}
		if r.Changed {
			changed++
		}
		c.Add(r)
	}
	// Many changes at once are left to the regular exchanges. Other proxies find them by their own digests.
	c.Urgent = c.Refuted || c.Urgent && changed <= floodLimit
	m.applyChange(c)
}

// repairRequest returns a request for the buckets that differ. It returns nil if there are none, or if the repair
// is left to a later exchange.
func (m *Mesh) repairRequest(d *peerpb.Digest, force bool, now time.Time) *peerpb.PullRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.shortDigest()
	if !differ(own.Nodes, d.GetNodes()) && !differ(own.Facts, d.GetFacts()) {
		m.lastInSync = now
		return nil
	}
	nodes := m.table.NodeHashes()
	facts := m.table.FactHashes()
	request := &peerpb.PullRequest{}
	if len(d.GetNodes()) == roster.Buckets {
		request.NodeBuckets = m.limitBuckets(nodes.DifferingBuckets(d.GetNodes()), m.table.Size())
	}
	if len(d.GetFacts()) == roster.Buckets {
		request.FactBuckets = m.limitBuckets(facts.DifferingBuckets(d.GetFacts()), len(m.table.Facts()))
	}
	buckets := len(request.NodeBuckets) + len(request.FactBuckets)
	if buckets == 0 || !force && !m.differencePersists(now) {
		return nil
	}
	if !m.repairBudget.take(buckets*m.table.Size()/roster.Buckets*entrySize, now) {
		return nil
	}
	m.lastInSync = now
	return request
}

// limitBuckets bounds the number of buckets so that their entries stay within maxRepairSize, but allows at least
// one. It selects them at random, so that successive repairs differ in their selection. The caller holds mu.
func (m *Mesh) limitBuckets(buckets []uint32, entries int) []uint32 {
	bucketSize := (entries/roster.Buckets + 1) * entrySize
	limit := max(1, maxRepairSize/bucketSize)
	if len(buckets) <= limit {
		return buckets
	}
	m.random.Shuffle(len(buckets), func(i, j int) {
		buckets[i], buckets[j] = buckets[j], buckets[i]
	})
	return buckets[:limit]
}

// pull requests the content of buckets from the proxy at an address.
func (m *Mesh) pull(ctx context.Context, a netip.AddrPort, r *peerpb.PullRequest) (*peerpb.PullReply, error) {
	cc, err := m.pool.Conn(a)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return peerpb.NewPeerClient(cc).Pull(ctx, r, grpc.UseCompressor(gzip.Name))
}

// pullTables pulls the tables from a proxy and offers them to OfferTables if their revision is higher than here. Only
// one such pull runs at a time.
func (m *Mesh) pullTables(ctx context.Context, a netip.AddrPort) {
	if m.OfferTables == nil || !m.pullingTables.CompareAndSwap(false, true) {
		return
	}
	defer m.pullingTables.Store(false)
	cc, err := m.pool.Conn(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tablesTimeout)
	defer cancel()
	m.metrics.pulls.WithLabelValues("tables").Inc()
	reply, err := peerpb.NewPeerClient(cc).Pull(ctx, &peerpb.PullRequest{
		Tables:      true,
		TablesAbove: m.tablesRevision(),
	}, grpc.UseCompressor(gzip.Name))
	if err != nil || reply.GetRevision() <= m.tablesRevision() {
		return
	}
	if err := m.OfferTables(reply.GetRevision(), reply.GetTables()); err != nil {
		m.Log.Error().Err(err).Uint64("revision", reply.GetRevision()).Msg("refused tables pulled from another proxy")
		return
	}
	m.NotifyTables()
}

// NotifyTables notifies the partners immediately if the tables in force have a new revision.
func (m *Mesh) NotifyTables() {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkRevision()
}
