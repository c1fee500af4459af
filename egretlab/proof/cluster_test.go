package proof

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim"
)

// Names in the cluster's tables, the user and database of callers, and the key that signs session tokens.
const (
	groupName    = "catalogo-1"
	databaseName = "catalogo-db"
	userName     = "workshop"
	tablesKey    = "egretlane/tables"
	tokenKey     = "8f3d0c6a51b24e97a0d5c8e1f7326b490e6d1fa85cb74a2396d8e0b1457cfa23"
)

// location is the region and failure domain of a process.
type location struct {
	region string
	domain string
}

// locations are assigned to members and proxies in turn. Member 1, the initial primary, shares its failure domain
// with proxy 1.
var locations = []location{
	{region: "lombardia", domain: "lecco-a"},
	{region: "lombardia", domain: "lecco-b"},
	{region: "veneto", domain: "padova-a"},
}

// maxClusters bounds the number of clusters that run at the same time.
const maxClusters = 3

// clusterSlots is a semaphore with one slot for each running cluster.
var clusterSlots = make(chan struct{}, maxClusters)

// clusterSettings configure a cluster. Zero fields take their defaults.
type clusterSettings struct {
	// Proxies is the number of proxies, three if zero.
	Proxies int

	// Lag is the replication lag, 10 ms if zero.
	Lag time.Duration

	// Slots and Connections limit the running statements and the connections of each member, 2 and 16 if zero.
	Slots       int
	Connections int

	// VMListDelay is the time until a change shows in the list of VMs, 200 ms if zero.
	VMListDelay time.Duration

	// Tables changes the default tables before they are applied.
	Tables func(s *tableSettings)
}

// node is a process with its addresses: a member, a proxy, the store or the server of the list of VMs.
type node struct {
	*process

	// address is where clients connect: callers to a proxy, proxies to a member, the store or the list of VMs.
	address netip.AddrPort

	// peer is where other proxies connect to a proxy. It is not set for other processes.
	peer netip.AddrPort

	location location
}

// cluster is a store, a list of VMs, the members of one group and the proxies, all running.
type cluster struct {
	t        testing.TB
	dir      string
	settings clusterSettings
	tables   tableSettings
	store    *node
	vmList   *node
	members  []*node
	proxies  []*node

	// links holds the links by their names FROM>TO.
	links map[string]*link
}

// startCluster starts all processes, applies the tables and waits until all proxies are ready.
func startCluster(t testing.TB, s clusterSettings) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() {
		<-clusterSlots
	})
	if s.Proxies == 0 {
		s.Proxies = 3
	}
	if s.Lag == 0 {
		s.Lag = 10 * time.Millisecond
	}
	if s.Slots == 0 {
		s.Slots = 2
	}
	if s.Connections == 0 {
		s.Connections = 16
	}
	if s.VMListDelay == 0 {
		s.VMListDelay = 200 * time.Millisecond
	}
	c := &cluster{
		t:        t,
		dir:      t.TempDir(),
		settings: s,
		links:    map[string]*link{},
	}
	c.startPlatform()
	c.startMembers()
	c.tables = c.defaultTables()
	if s.Tables != nil {
		s.Tables(&c.tables)
	}
	c.mustApply(c.tables)
	for i := range s.Proxies {
		c.addProxy(i)
	}
	for _, p := range c.proxies {
		p.process = c.startProxy(p)
	}
	for _, p := range c.proxies {
		p.waitReady()
	}
	c.waitServing()
	return c
}

// link returns the link that one process uses to dial another.
func (c *cluster) link(from string, to string) *link {
	c.t.Helper()
	l := c.links[from+">"+to]
	if l == nil {
		c.t.Fatalf("no link %s>%s", from, to)
	}
	return l
}

// linksOf returns the links that the process dials or is dialled through.
func (c *cluster) linksOf(name string) []*link {
	var found []*link
	for key, l := range c.links {
		from, to, _ := strings.Cut(key, ">")
		if from == name || to == name {
			found = append(found, l)
		}
	}
	return found
}

// isolate drops all data on all links of the process.
func (c *cluster) isolate(name string) {
	for _, l := range c.linksOf(name) {
		l.dropAll()
	}
}

// rejoin heals all links of the process.
func (c *cluster) rejoin(name string) {
	for _, l := range c.linksOf(name) {
		l.heal()
	}
}

// addLink creates the link for connections between two processes. address is that of the process dialled.
func (c *cluster) addLink(from string, to string, address netip.AddrPort) *link {
	l := newLink(c.t, from+">"+to, address)
	c.links[from+">"+to] = l
	return l
}

// startPlatform starts the store and the list of VMs.
func (c *cluster) startPlatform() {
	c.store = &node{address: freeAddress(c.t)}
	operator := freeAddress(c.t)
	c.store.process = start(c.t, c.dir, "store", operator, "egretlab", "store",
		"--listen", c.store.address.String(),
		"--operator-listen", operator.String())
	c.vmList = &node{address: freeAddress(c.t)}
	c.vmList.process = start(c.t, c.dir, "vms", netip.AddrPort{}, "egretlab", "vms",
		"--listen", c.vmList.address.String(),
		"--delay", c.settings.VMListDelay.String())
	waitListen(c.t, c.store.address)
	waitListen(c.t, c.vmList.address)
}

func (c *cluster) startMembers() {
	for i, p := range locations {
		c.members = append(c.members, &node{
			address:  freeAddress(c.t),
			process:  &process{name: "member-" + strconv.Itoa(i+1)},
			location: p,
		})
	}
	for _, m := range c.members {
		for _, o := range c.members {
			if m != o {
				c.addLink(m.name, o.name, o.address)
			}
		}
	}
	for i, m := range c.members {
		m.process = c.startMember(m, i == 0)
	}
	for _, m := range c.members {
		waitListen(c.t, m.address)
		waitListen(c.t, m.operator)
	}
}

func (c *cluster) startMember(m *node, primary bool) *process {
	operator := freeAddress(c.t)
	args := []string{
		"egretlab", "member",
		"--name", m.name,
		"--listen", m.address.String(),
		"--operator-listen", operator.String(),
		"--slots", strconv.Itoa(c.settings.Slots),
		"--connections", strconv.Itoa(c.settings.Connections),
		"--connect-cost", "12ms",
		"--lag", c.settings.Lag.String(),
		"--data", filepath.Join(c.dir, m.name),
		"--term", "1",
	}
	if primary {
		args = append(args, "--primary")
	} else {
		args = append(args, "--upstream", c.members[0].address.String())
	}
	for _, o := range c.members {
		if o != m {
			args = append(args, "--address-map", c.link(m.name, o.name).addressRule(o.address))
		}
	}
	return start(c.t, c.dir, m.name, operator, args...)
}

// addProxy reserves the addresses of the proxy with the index, and creates its links. It does not start the process.
func (c *cluster) addProxy(i int) *node {
	p := &node{
		address:  freeAddress(c.t),
		peer:     freeAddress(c.t),
		process:  &process{name: "proxy-" + strconv.Itoa(i+1)},
		location: locations[i%len(locations)],
	}
	c.addLink(p.name, "store", c.store.address)
	for _, m := range c.members {
		c.addLink(p.name, m.name, m.address)
	}
	for _, o := range c.proxies {
		c.addLink(p.name, o.name, o.peer)
		c.addLink(o.name, p.name, p.peer)
	}
	c.proxies = append(c.proxies, p)
	return p
}

func (c *cluster) startProxy(p *node) *process {
	c.t.Helper()
	// Each proxy has its own key file. Rewriting a shared one would truncate it while another proxy reads it.
	key := filepath.Join(c.dir, p.name+".key")
	if err := os.WriteFile(key, []byte(tokenKey+"\n"), 0o600); err != nil {
		c.t.Fatal(err)
	}
	operator := freeAddress(c.t)
	args := []string{
		"egretlane",
		"--node-id", p.name,
		"--caller-listen", p.address.String(),
		"--peer-listen", p.peer.String(),
		"--operator-listen", operator.String(),
		"--region", p.location.region,
		"--failure-domain", p.location.domain,
		"--store", c.link(p.name, "store").address.String(),
		"--vm-list", fmt.Sprintf("http://%s/vms", c.vmList.address),
		"--token-key-file", key,
		"--tables-key", tablesKey,
	}
	for _, m := range c.members {
		args = append(args, "--address-map", c.link(p.name, m.name).addressRule(m.address))
	}
	for _, o := range c.proxies {
		if o != p {
			args = append(args,
				"--seed-peer", o.peer.String(),
				"--address-map", c.link(p.name, o.name).addressRule(o.peer))
		}
	}
	return start(c.t, c.dir, p.name, operator, args...)
}

// waitServing waits until each proxy has placed an order.
func (c *cluster) waitServing() {
	c.t.Helper()
	for i := range c.proxies {
		waitUntil(c.t, startTimeout, "first order", func() error {
			s := c.newSession("warm-up")
			defer s.close()
			return s.placeOrder(i, fmt.Sprintf("warm-up-%d-%d", i, time.Now().UnixNano()), "sieve 2mm").err
		})
	}
}

// primary returns the member that reports itself as primary, and its term. If several do, it is the one with the
// highest term. If none does, it returns nil.
func (c *cluster) primary() (*node, uint64) {
	c.t.Helper()
	states := make([]pgsim.StateReply, len(c.members))
	var asked sync.WaitGroup
	for i, m := range c.members {
		asked.Go(func() {
			states[i], _ = m.state()
		})
	}
	asked.Wait()
	var best *node
	term := uint64(0)
	for i, s := range states {
		if s.Role == egret.RolePrimary && s.Granted >= term {
			best = c.members[i]
			term = s.Granted
		}
	}
	return best, term
}

// waitPromotion waits until a member other than the old primary is primary in a higher term. It returns the new
// primary and how long that took.
func (c *cluster) waitPromotion(old *node, term uint64) (*node, time.Duration) {
	c.t.Helper()
	var winner *node
	took := waitUntil(c.t, 15*time.Second, "promotion", func() error {
		m, now := c.primary()
		if m == nil || m == old || now <= term {
			return fmt.Errorf("no primary above term %d", term)
		}
		winner = m
		return nil
	})
	return winner, took
}

// terminate asks a proxy to shut down gracefully.
func (c *cluster) terminate(p *node) {
	p.signal(syscall.SIGTERM)
}
