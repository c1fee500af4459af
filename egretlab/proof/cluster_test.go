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

// Names of the cluster's only group and of what callers ask for.
const (
	groupName    = "catalogo-1"
	databaseName = "catalogo-db"
	userName     = "workshop"
	tablesKey    = "egretlane/tables"
	tokenKey     = "8f3d0c6a51b24e97a0d5c8e1f7326b490e6d1fa85cb74a2396d8e0b1457cfa23"
)

// place is where a process runs. Places are given in turn.
type place struct {
	region string
	domain string
}

// places are those of the workshop's deployment.
var places = []place{
	{region: "lombardia", domain: "lecco-a"},
	{region: "lombardia", domain: "lecco-b"},
	{region: "veneto", domain: "padova-a"},
}

// clustersAtOnce bounds how many clusters run side by side.
const clustersAtOnce = 3

// running holds a place for each cluster that runs.
var running = make(chan struct{}, clustersAtOnce)

// clusterSettings are a cluster's sizes. Zero fields take the workshop's.
type clusterSettings struct {
	// Proxies is the number of proxies, three if zero.
	Proxies int

	// Lag is how far the replicas are behind, 10 ms if zero.
	Lag time.Duration

	// Slots and Connections are each member's limits, 2 and 16 if zero.
	Slots       int
	Connections int

	// ListDelay is how old the list of VMs is, 200 ms if zero.
	ListDelay time.Duration

	// Tables changes the tables before they are applied.
	Tables func(s *tableSettings)
}

// node is a member or a proxy.
type node struct {
	*process

	// address is where callers connect, or proxies to a member.
	address netip.AddrPort

	// peer is where other proxies connect. It is invalid for members.
	peer netip.AddrPort

	place place
}

// cluster is a running set of all processes.
type cluster struct {
	t        testing.TB
	dir      string
	settings clusterSettings
	tables   tableSettings
	store    *node
	vms      *node
	members  []*node
	proxies  []*node

	// links holds each link by FROM>TO.
	links map[string]*link
}

// startCluster starts all processes, applies the tables and waits until all proxies are ready.
func startCluster(t testing.TB, s clusterSettings) *cluster {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() {
		<-running
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
	if s.ListDelay == 0 {
		s.ListDelay = 200 * time.Millisecond
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

// link returns the link by which one process dials another.
func (c *cluster) link(from string, to string) *link {
	c.t.Helper()
	l := c.links[from+">"+to]
	if l == nil {
		c.t.Fatalf("no link %s>%s", from, to)
	}
	return l
}

// linksOf returns the links that have the process at either end.
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

// isolate cuts all links of the process.
func (c *cluster) isolate(name string) {
	for _, l := range c.linksOf(name) {
		l.cut()
	}
}

// rejoin heals all links of the process.
func (c *cluster) rejoin(name string) {
	for _, l := range c.linksOf(name) {
		l.heal()
	}
}

func (c *cluster) addLink(from string, to string, address netip.AddrPort) *link {
	l := newLink(c.t, from+">"+to, address)
	c.links[from+">"+to] = l
	return l
}

func (c *cluster) startPlatform() {
	c.store = &node{address: freeAddress(c.t)}
	operator := freeAddress(c.t)
	c.store.process = start(c.t, c.dir, "store", operator, "egretlab", "store",
		"--listen", c.store.address.String(),
		"--operator-listen", operator.String())
	c.vms = &node{address: freeAddress(c.t)}
	c.vms.process = start(c.t, c.dir, "vms", netip.AddrPort{}, "egretlab", "vms",
		"--listen", c.vms.address.String(),
		"--delay", c.settings.ListDelay.String())
	waitListen(c.t, c.store.address)
	waitListen(c.t, c.vms.address)
}

func (c *cluster) startMembers() {
	for i, p := range places {
		c.members = append(c.members, &node{
			address: freeAddress(c.t),
			process: &process{name: "member-" + strconv.Itoa(i+1)},
			place:   p,
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
			args = append(args, "--address-map", c.link(m.name, o.name).rule(o.address))
		}
	}
	return start(c.t, c.dir, m.name, operator, args...)
}

// addProxy reserves the proxy's addresses and its links.
func (c *cluster) addProxy(i int) *node {
	p := &node{
		address: freeAddress(c.t),
		peer:    freeAddress(c.t),
		process: &process{name: "proxy-" + strconv.Itoa(i+1)},
		place:   places[i%len(places)],
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
	// A file of its own: writing it again would empty it for a moment under another proxy's reading.
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
		"--region", p.place.region,
		"--failure-domain", p.place.domain,
		"--store", c.link(p.name, "store").address.String(),
		"--vm-list", fmt.Sprintf("http://%s/vms", c.vms.address),
		"--token-key-file", key,
		"--tables-key", tablesKey,
	}
	for _, m := range c.members {
		args = append(args, "--address-map", c.link(p.name, m.name).rule(m.address))
	}
	for _, o := range c.proxies {
		if o != p {
			args = append(args,
				"--seed-peer", o.peer.String(),
				"--address-map", c.link(p.name, o.name).rule(o.peer))
		}
	}
	return start(c.t, c.dir, p.name, operator, args...)
}

// waitServing waits until an order can be placed through each proxy.
func (c *cluster) waitServing() {
	c.t.Helper()
	for i := range c.proxies {
		until(c.t, startWait, "first order", func() error {
			s := c.session("warm-up")
			defer s.close()
			return s.order(i, fmt.Sprintf("warm-up-%d-%d", i, time.Now().UnixNano()), "sieve 2mm").err
		})
	}
}

// primary returns the member that says that it is primary in the highest term.
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

// waitPromotion waits until a member other than the old one leads in a higher term.
func (c *cluster) waitPromotion(old *node, term uint64) (*node, time.Duration) {
	c.t.Helper()
	var winner *node
	took := until(c.t, 15*time.Second, "promotion", func() error {
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
