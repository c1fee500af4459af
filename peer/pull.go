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

// Limits of pulls.
const (
	pullTimeout   = 5 * time.Second
	tablesTimeout = 30 * time.Second

	// entrySize is about what an entry takes on the wire, compressed, in bytes.
	entrySize = 40

	// manyNews is more news than two messages carry.
	manyNews = 24

	// repairSize bounds one repair, in bytes.
	repairSize = 16 << 10
)

// shortDigest has one hash for each table. The caller holds mu.
func (m *Mesh) shortDigest() *peerpb.Digest {
	nodes := m.table.NodeSums()
	facts := m.table.FactSums()
	return &peerpb.Digest{
		Nodes:    []uint64{nodes.Overall()},
		Facts:    []uint64{facts.Overall()},
		Revision: m.revisionNow(),
	}
}

// longDigest has the hashes of the buckets of each table that differs from the peer's. The caller
// holds mu.
func (m *Mesh) longDigest(theirs *peerpb.Digest) *peerpb.Digest {
	d := m.shortDigest()
	nodes := m.table.NodeSums()
	facts := m.table.FactSums()
	if differ(theirs.GetNodes(), d.Nodes) {
		d.Nodes = nodes[:]
	}
	if differ(theirs.GetFacts(), d.Facts) {
		d.Facts = facts[:]
	}
	return d
}

// answer is the digest of a reply. A request without hashes asks for those of the buckets; else
// they go out only when the difference is likely to last. The caller holds mu.
func (m *Mesh) answer(theirs *peerpb.Digest, now time.Time) *peerpb.Digest {
	if len(theirs.GetNodes()) == 0 || m.quiet(now) {
		return m.longDigest(theirs)
	}
	return m.shortDigest()
}

func differ(a, b []uint64) bool {
	return len(a) != 1 || len(b) != 1 || a[0] != b[0]
}

func (m *Mesh) revisionNow() uint64 {
	if t := m.TablesNow(); t != nil {
		return t.Revision
	}
	return 0
}

// quiet reports whether a difference to a peer is likely to last: nothing changed here for as long
// as news travel, or no peer was equal for much longer, or there is more news than messages carry.
// The caller holds mu.
func (m *Mesh) quiet(now time.Time) bool {
	spread := m.spreadTime()
	return m.table.Pending() > manyNews || now.Sub(m.table.Changed()) > spread || now.Sub(m.equal) > 4*spread
}

// absorb takes a reply in.
func (m *Mesh) absorb(ctx context.Context, reply *peerpb.ExchangeReply) {
	from, ok := nodeFromWire(reply.GetFrom())
	if !ok {
		return
	}
	m.learn(reply.GetFrom(), reply.GetNews())
	if reply.GetDigest().GetRevision() > m.revisionNow() {
		go m.pullTables(ctx, from.Address)
	}
	m.compare(ctx, from.Address, reply.GetDigest(), false)
}

// compare pulls what differs from a proxy's digest. Met says that the two have just found each
// other, so that the difference won't go by itself.
func (m *Mesh) compare(ctx context.Context, a netip.AddrPort, d *peerpb.Digest, met bool) {
	request := m.difference(d, met, time.Now())
	if request == nil {
		return
	}
	m.counts.pulls.WithLabelValues("buckets").Inc()
	pulled, err := m.pull(ctx, a, request)
	if err != nil {
		return
	}
	m.repaired(pulled.GetNews())
}

// meet compares all with a proxy that was unknown or dead here, in both directions.
func (m *Mesh) meet(ctx context.Context, a netip.AddrPort) {
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
	m.learn(reply.GetFrom(), reply.GetNews())
	m.compare(ctx, a, reply.GetDigest(), true)
	m.mu.Lock()
	digest := m.longDigest(&peerpb.Digest{})
	m.mu.Unlock()
	// The other side compares when it gets the hashes of the buckets.
	_, _ = m.send(ctx, a, &peerpb.ExchangeRequest{
		From:   self,
		Digest: digest,
	}, contactTimeout)
}

// learn takes in what a proxy says of itself and its news.
func (m *Mesh) learn(from *peerpb.Node, news *peerpb.News) {
	now := time.Now()
	n := newsFromWire(news)
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
	m.settle(c)
}

// repaired takes in pulled buckets. Where this proxy knows something newer, it tells.
func (m *Mesh) repaired(news *peerpb.News) {
	now := time.Now()
	n := newsFromWire(news)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := roster.Change{}
	changed := 0
	for _, v := range n.Nodes {
		r := m.table.Merge(v, now)
		if r.Stale {
			m.table.Tell(v.ID)
		}
		if r.Changed {
			changed++
		}
		c.Add(r)
	}
	for _, v := range n.Facts {
		r := m.table.MergeFact(v)
		if r.Stale {
			m.table.TellFact(v.Group)
		}
		if r.Changed {
			changed++
		}
		c.Add(r)
	}
	// Much at once goes with the rounds, and others find it by their own digests.
	c.Urgent = c.Refuted || c.Urgent && changed <= floodFleet
	m.settle(c)
}

// difference returns a request for the buckets that differ, or nil if there are none, or if they
// are left for a later round.
func (m *Mesh) difference(d *peerpb.Digest, met bool, now time.Time) *peerpb.PullRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.shortDigest()
	if !differ(own.Nodes, d.GetNodes()) && !differ(own.Facts, d.GetFacts()) {
		m.equal = now
		return nil
	}
	nodes := m.table.NodeSums()
	facts := m.table.FactSums()
	request := &peerpb.PullRequest{}
	if len(d.GetNodes()) == roster.Buckets {
		request.NodeBuckets = m.affordable(nodes.Differ(d.GetNodes()), m.table.Size())
	}
	if len(d.GetFacts()) == roster.Buckets {
		request.FactBuckets = m.affordable(facts.Differ(d.GetFacts()), len(m.table.Facts()))
	}
	buckets := len(request.NodeBuckets) + len(request.FactBuckets)
	if buckets == 0 || !met && !m.quiet(now) {
		return nil
	}
	if !m.repair.take(buckets*m.table.Size()/roster.Buckets*entrySize, now) {
		return nil
	}
	m.equal = now
	return request
}

// affordable cuts the list of buckets so that one repair stays small. The cut moves from repair to
// repair. The caller holds mu.
func (m *Mesh) affordable(buckets []uint32, entries int) []uint32 {
	bucketSize := (entries/roster.Buckets + 1) * entrySize
	most := max(1, repairSize/bucketSize)
	if len(buckets) <= most {
		return buckets
	}
	m.random.Shuffle(len(buckets), func(i, j int) {
		buckets[i], buckets[j] = buckets[j], buckets[i]
	})
	return buckets[:most]
}

func (m *Mesh) pull(ctx context.Context, a netip.AddrPort, r *peerpb.PullRequest) (*peerpb.PullReply, error) {
	cc, err := m.pool.Conn(a)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return peerpb.NewPeerClient(cc).Pull(ctx, r, grpc.UseCompressor(gzip.Name))
}

// pullTables asks a proxy that has a higher revision for its tables. One pull runs at a time.
func (m *Mesh) pullTables(ctx context.Context, a netip.AddrPort) {
	if m.OfferTables == nil || !m.pulling.CompareAndSwap(false, true) {
		return
	}
	defer m.pulling.Store(false)
	cc, err := m.pool.Conn(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tablesTimeout)
	defer cancel()
	m.counts.pulls.WithLabelValues("tables").Inc()
	reply, err := peerpb.NewPeerClient(cc).Pull(ctx, &peerpb.PullRequest{
		Tables:      true,
		TablesAbove: m.revisionNow(),
	}, grpc.UseCompressor(gzip.Name))
	if err != nil || reply.GetRevision() <= m.revisionNow() {
		return
	}
	if err := m.OfferTables(reply.GetRevision(), reply.GetTables()); err != nil {
		m.Log.Error().Err(err).Uint64("revision", reply.GetRevision()).Msg("tables of a peer were refused")
		return
	}
	m.Notify()
}

// Notify tells the partners at once that there is a new revision of the tables.
func (m *Mesh) Notify() {
	m.open()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchTables()
}
