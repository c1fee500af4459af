package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
	"egretlane.example/egret/egretlab/keysim"
)

const (
	// heartbeatInterval is the heartbeat interval of the deployments.
	heartbeatInterval = 1200 * time.Millisecond

	// setupTimeout bounds the time until the fleet serves.
	setupTimeout = 20 * time.Second

	membersPrefix = "servers/"
	holdersPrefix = "egretlane/holders/"
)

// domains are the failure domains of the deployment, and regions their regions.
var (
	domains = []string{"rennes", "nantes", "brest"}
	regions = map[string]string{"rennes": "bzh", "nantes": "pdl", "brest": "bzh"}
)

// route is a route of the operator's configuration.
type route struct {
	Name         string `json:"name"`
	Host         string `json:"host"`
	Type         string `json:"route_type"`
	TimeoutMS    int    `json:"timeout_ms"`
	TargetMS     int    `json:"target_latency_ms"`
	Priority     int    `json:"priority"`
	Service      string `json:"service"`
	MaxStaleness int    `json:"max_staleness_ms"`
}

// world is a small deployment: the platform and the members in this process, and the proxies as processes of their own.
type world struct {
	// Group has the members of the only service. Its exported fields are set before start.
	Group *dbsim.Group

	// Connections is the max_conns of the service, Routes are its routes.
	Connections int
	Routes      []route

	// Promote handles an accepted failover call. Nil stands for Group.Promote without a delay.
	Promote func(member string) bool

	// Proxies is the number of proxies.
	Proxies int

	// Spares is the number of further members, which don't run at first.
	Spares int

	// Partitions puts a link between each proxy and each member, so that the two can be partitioned.
	Partitions bool

	// MissedHeartbeats is the number of heartbeats after which the platform removes a member's entry. Zero stands for 4.
	MissedHeartbeats int

	record *record
	store  *keysim.Server
	folder string
	cancel context.CancelFunc

	nodes   []*node
	links   []*memberLink
	version int

	// addresses has the addresses that were given out.
	addresses map[netip.AddrPort]bool

	// mu guards the fields below.
	mu sync.Mutex

	// processes has all processes that were started.
	processes []*os.Process

	// heartbeats has the time of each member's last heartbeat, by its address.
	heartbeats map[netip.AddrPort]time.Time
}

// node is a proxy process.
type node struct {
	name      string
	callers   netip.AddrPort
	readiness netip.AddrPort
	peers     netip.AddrPort
	metrics   netip.AddrPort
	store     netip.AddrPort
	promotion netip.AddrPort
	settings  string
	cmd       *exec.Cmd
	exited    chan struct{}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *record) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
}

// firstPort and lastPort bound the ports of the deployment. They lie below those that the operating system takes for
// outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddress returns a free loopback address that it has not returned before.
func (w *world) freeAddress() (netip.AddrPort, error) {
	for range 100 {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+rand.IntN(lastPort-firstPort)))
		if w.addresses[a] {
			continue
		}
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		l.Close()
		if w.addresses == nil {
			w.addresses = map[netip.AddrPort]bool{}
		}
		w.addresses[a] = true
		return a, nil
	}
	return netip.AddrPort{}, errors.New("no free port was found")
}

// serve serves HTTP on a free loopback port until the context ends.
func serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{
		Handler: h,
	}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// start starts the platform, the members and the proxies, and waits until all proxies are ready and serve reads.
func (w *world) start(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "egretlane-review-")
	if err != nil {
		return err
	}
	w.folder = folder
	ctx, w.cancel = context.WithCancel(ctx)
	// After a signal or the time limit, no process and no folder is left behind.
	context.AfterFunc(ctx, func() {
		w.kill()
		_ = os.RemoveAll(w.folder)
	})
	w.store = &keysim.Server{
		History: 5000,
	}
	if w.Partitions {
		w.store.View = w.rewriteAddress
	}
	go w.store.Run(ctx)
	for i := range len(domains) + w.Spares {
		a, err := w.freeAddress()
		if err != nil {
			return err
		}
		w.Group.Members = append(w.Group.Members, &dbsim.Member{
			Listen: a,
			Domain: domains[i%len(domains)],
		})
	}
	if err := w.Group.Open(ctx); err != nil {
		return err
	}
	for _, m := range w.Group.Members[len(domains):] {
		m.Crash()
	}
	go w.Group.Run(ctx)
	for i := range w.Proxies {
		n, err := w.newNode(ctx, i)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	if w.Partitions {
		if err := w.openLinks(ctx); err != nil {
			return err
		}
	}
	w.heartbeats = map[netip.AddrPort]time.Time{}
	for _, m := range w.Group.Members {
		go w.sendHeartbeats(ctx, m)
	}
	w.configure(w.Routes)
	for _, n := range w.nodes {
		if err := w.startProcess(n, true); err != nil {
			return err
		}
	}
	return w.awaitService()
}

// configure writes the operator's configuration.
func (w *world) configure(routes []route) {
	w.version++
	w.put("op/config", map[string]any{
		"version": w.version,
		"routes":  routes,
		"services": []map[string]any{{
			"name":          w.Group.Service,
			"max_conns":     w.Connections,
			"sync_replicas": w.Group.SyncReplicas,
		}},
		"limits": map[string]any{"tx_idle_ms": 3000},
	})
}

func (w *world) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(key, data)
}

// sendHeartbeats registers a member at each heartbeat, and at once when its role or state changes.
func (w *world) sendHeartbeats(ctx context.Context, m *dbsim.Member) {
	last, lastState, missed := "", "", 0
	next := time.Now()
	for sequence := 1; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		id, data := m.Registration(sequence)
		due := !time.Now().Before(next)
		if due {
			next = time.Now().Add(heartbeatInterval)
		}
		if id == "" {
			// The platform removes an entry after three heartbeat intervals of silence.
			if due {
				missed++
			}
			if missed == cmp.Or(w.MissedHeartbeats, 4) && last != "" {
				w.store.Remove(membersPrefix + last)
				last = ""
			}
			continue
		}
		state := string(m.Role())
		if strings.Contains(string(data), "draining") {
			state += " draining"
		}
		if !due && state == lastState && id == last {
			continue
		}
		sequence++
		if last != "" && last != id {
			w.store.Remove(membersPrefix + last)
		}
		w.store.Put(membersPrefix+id, data)
		last, lastState, missed = id, state, 0
		if due {
			w.mu.Lock()
			w.heartbeats[m.Listen] = time.Now()
			w.mu.Unlock()
		}
	}
}

// sinceHeartbeat returns how long ago the member has sent its last heartbeat.
func (w *world) sinceHeartbeat(m *dbsim.Member) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.heartbeats[m.Listen])
}

// newNode allocates the addresses of a proxy and writes its settings as deploy/settings.yaml.tmpl does.
func (w *world) newNode(ctx context.Context, i int) (*node, error) {
	n := &node{
		name: fmt.Sprintf("front-%d", i+1),
	}
	for _, a := range []*netip.AddrPort{&n.callers, &n.readiness, &n.peers, &n.metrics} {
		var err error
		if *a, err = w.freeAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	if n.store, err = serve(ctx, w.store.Handler(n.name)); err != nil {
		return nil, err
	}
	if n.promotion, err = serve(ctx, http.HandlerFunc(w.handleFailover)); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(w.folder, n.name+".yaml")
	return n, nil
}

const settingsTemplate = `node: "%s"
domain: "%s"
region: "%s"
regions:
  "rennes": "bzh"
  "nantes": "pdl"
  "brest": "bzh"
bootstrap: %t
listen:
  callers: "%s"
  readiness: "%s"
  peers: "%s"
  metrics: "%s"
platform:
  store: "%s"
  promotion: "%s"
limits:
  memory-mb: 284
  descriptors: 4300
  processor-share: 0.4
  processor-speed: 1
  link-mbps: 1000.0
shutdown-grace: "6s"
`

// startProcess starts a proxy as the deploy file says.
func (w *world) startProcess(n *node, bootstrap bool) error {
	i, _ := strconv.Atoi(strings.TrimPrefix(n.name, "front-"))
	domain := domains[(i-1)%len(domains)]
	text := fmt.Sprintf(settingsTemplate, n.name, domain, regions[domain], bootstrap, n.callers, n.readiness, n.peers, n.metrics, n.store, n.promotion)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(os.Getenv("EGRETLANE"), "fleet")
	n.cmd.Env = append(os.Environ(), "EGRETLANE_CONFIG="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.processes = append(w.processes, n.cmd.Process)
	w.mu.Unlock()
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		err := cmd.Wait()
		w.record.logf("%s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		out.Close()
		close(exited)
	}()
	w.record.logf("%s: process %d started, callers at %s", n.name, cmd.Process.Pid, n.callers)
	return nil
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (w *world) terminate(n *node) {
	w.record.logf("%s: SIGTERM", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	p, exited := n.cmd.Process, n.exited
	time.AfterFunc(6*time.Second, func() {
		select {
		case <-exited:
		default:
			w.record.logf("%s: SIGKILL", n.name)
			_ = p.Kill()
		}
	})
}

// handleFailover serves POST /failover.
func (w *world) handleFailover(rw http.ResponseWriter, q *http.Request) {
	order := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.record.logf("failover call: %s, holder %s, token %s", order.ID, q.Header.Get("X-Egretlane-Lease-Holder"), q.Header.Get("X-Egretlane-Fencing-Token"))
	promote := w.Promote
	if promote == nil {
		promote = w.Group.Promote
	}
	if !promote(order.ID) {
		rw.WriteHeader(http.StatusConflict)
	}
}

// awaitService waits until all proxies are ready and serve a read of each route.
func (w *world) awaitService() error {
	deadline := time.Now().Add(setupTimeout)
	for _, n := range w.nodes {
		for !w.servesAll(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve after %v", n.name, setupTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.logf("all proxies serve")
	return nil
}

func (w *world) servesAll(n *node) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	r, err := client.Get("http://" + n.readiness.String() + "/egretlane/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return false
	}
	for _, route := range w.Routes {
		s, err := w.connect(n, route.Host)
		if err != nil {
			return false
		}
		a, err := s.query(newID(), "READ 1", time.Second)
		s.close()
		if err != nil || a.fault != "" {
			return false
		}
	}
	return true
}

// holder returns the proxy that the fleet's record names, or nil.
func (w *world) holder() *node {
	client := http.Client{
		Timeout: time.Second,
	}
	r, err := client.Get("http://" + w.nodes[0].store.String() + "/egretlane/kv-key?key=" + holdersPrefix + w.Group.Service)
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	item := struct {
		Value []byte `json:"value"`
	}{}
	holder := struct {
		Node string `json:"node"`
	}{}
	if json.NewDecoder(r.Body).Decode(&item) != nil || json.Unmarshal(item.Value, &holder) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == holder.Node {
			return n
		}
	}
	return nil
}

// kill ends the processes that run.
func (w *world) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	w.kill()
	for _, n := range w.nodes {
		if n.exited != nil {
			<-n.exited
		}
	}
	if w.cancel != nil {
		w.cancel()
	}
	if w.folder == "" || os.Getenv("KEEP") != "" {
		return
	}
	_ = os.RemoveAll(w.folder)
}
