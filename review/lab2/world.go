package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
	"egretlane.example/egret/egretlab/keysim"
)

// heartbeat is the interval at which members write their entries, as in the site files.
const heartbeat = 1200 * time.Millisecond

// place is where a proxy or a member stands.
type place struct{ domain, region string }

// places are those of the site bregonzi-sieve.
var places = []place{
	{
		domain: "lecco-a",
		region: "lombardia",
	},
	{
		domain: "lecco-b",
		region: "lombardia",
	},
	{
		domain: "padova-a",
		region: "veneto",
	},
}

// proxyProcess is a process of the program under test.
type proxyProcess struct {
	name                              string
	place                             place
	callers, readiness, peers, metric netip.AddrPort
	log                               *os.File

	// peakMB is the most memory that was seen, kills how often the platform has killed the process for its memory, and exits
	// how often it has ended otherwise.
	peakMB, kills, exits atomic.Int64

	// mu guards cmd, the process that runs, and ending, which says that the world ends.
	mu     sync.Mutex
	cmd    *exec.Cmd
	ending bool

	// done is closed once the last process has ended.
	done chan struct{}
}

// restartDelay is the delay after which the platform restarts a process that has ended.
const restartDelay = 300 * time.Millisecond

// world has the stand-ins of the platform and of the databases, and the processes of the proxies.
type world struct {
	ctx      context.Context
	cancel   context.CancelFunc
	folder   string
	program  string
	store    *keysim.Server
	storeAt  netip.AddrPort
	platform netip.AddrPort
	groups   []*dbsim.Group
	proxies  []*proxyProcess
	memoryMB int

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	started time.Time
	version uint64
	hooks   []func(dbsim.Execution)
	delays  map[string]time.Duration
	relays  map[*dbsim.Member]*relay

	// quiet leaves the statements that members run out of the record.
	quiet   bool
	commits map[string]dbsim.Commit
	promos  []dbsim.Promotion
}

func newWorld(recordPath, program string) (*world, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &world{
		ctx:      ctx,
		cancel:   cancel,
		folder:   folder,
		program:  program,
		store:    &keysim.Server{},
		memoryMB: 284,
		record:   bufio.NewWriter(f),
		file:     f,
		started:  time.Now(),
		commits:  map[string]dbsim.Commit{},
		delays:   map[string]time.Duration{},
		relays:   map[*dbsim.Member]*relay{},
	}, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, a...)
}

// line is logf for a caller that holds mu.
func (w *world) line(format string, a ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, a...))
}

// Executed implements dbsim.Observer.
func (w *world) Executed(r dbsim.Execution) {
	for _, h := range w.hooks {
		h(r)
	}
	// The lock of the group is held here.
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quiet {
		w.line("members: %s ran %s %.60q %s", r.Member, r.ID, r.Text, r.Fault)
	}
	for _, g := range w.groups {
		if d, found := w.delays[g.Service]; found && g.Service == r.Service {
			g.ApplyDelay = d
		}
	}
}

// setApplyDelay sets how late the replicas of the service apply log entries, from its next statement on.
func (w *world) setApplyDelay(service string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays[service] = d
	w.line("members: the replicas of %s apply %v late from now on", service, d)
}

// Committed implements dbsim.Observer.
func (w *world) Committed(c dbsim.Commit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commits[c.ID] = c
}

// Promoted implements dbsim.Observer.
func (w *world) Promoted(p dbsim.Promotion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promos = append(w.promos, p)
	w.line("members: %s leads term %d of %s with %d entries", p.Member, p.Term, p.Service, p.KeptEntries)
}

// commitOf returns the commit of a statement, if it was committed.
func (w *world) commitOf(id string) (dbsim.Commit, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, found := w.commits[id]
	return c, found
}

// lastPort is the port that freeAddress returned last. It stays below those that the system gives to outgoing connections.
var lastPort = 12000 + os.Getpid()%200*80

// freeAddress returns a free loopback address.
func freeAddress() netip.AddrPort {
	for range 10000 {
		lastPort++
		if lastPort > 30000 {
			lastPort = 12000
		}
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(lastPort))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		l.Close()
		return a
	}
	fail(fmt.Errorf("no free port"))
	return netip.AddrPort{}
}

// serve serves HTTP on a free loopback address until the world ends.
func (w *world) serve(h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", freeAddress().String())
	if err != nil {
		fail(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(w.ctx, func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// addGroup adds a database group of three members.
func (w *world) addGroup(service string, slots, connections int, applyDelay time.Duration) *dbsim.Group {
	g := &dbsim.Group{
		Service:          service,
		Slots:            slots,
		Connections:      connections,
		ConnectCost:      12 * time.Millisecond,
		StatementCost:    4 * time.Millisecond,
		ReplicationDelay: time.Millisecond,
		ApplyDelay:       applyDelay,
		PromotionDelay:   300 * time.Millisecond,
		Observer:         w,
	}
	for _, p := range places {
		g.Members = append(g.Members, &dbsim.Member{Listen: freeAddress(), Domain: p.domain})
	}
	w.groups = append(w.groups, g)
	return g
}

// startPlatform starts the store, the failover service and the members.
func (w *world) startPlatform() error {
	go w.store.Run(w.ctx)
	w.storeAt = w.serve(w.store.Handler("system"))
	w.platform = w.serve(http.HandlerFunc(w.failover))
	for _, g := range w.groups {
		if err := g.Open(w.ctx); err != nil {
			return err
		}
		go g.Run(w.ctx)
		for _, m := range g.Members {
			go w.register(m)
		}
	}
	return nil
}

// failover serves POST /failover.
func (w *world) failover(rw http.ResponseWriter, q *http.Request) {
	order := struct{ Service, ID string }{}
	token, err := strconv.ParseUint(q.Header.Get("X-Egretlane-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(q.Body).Decode(&order) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.logf("platform: failover of %s to %s by %s, token %d", order.Service, order.ID, q.Header.Get("X-Egretlane-Lease-Holder"), token)
	for _, g := range w.groups {
		if g.Service == order.Service && g.Promote(order.ID) {
			return
		}
	}
	rw.WriteHeader(http.StatusConflict)
}

// register writes a member's entry at each heartbeat, and at once when anything else changes. It removes the entry after three
// heartbeats that the member missed.
func (w *world) register(m *dbsim.Member) {
	last, before, sequence := "", "", 0
	writtenAt := time.Now()
	for ; w.ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		id, data := m.Registration(0)
		r := w.relays[m]
		if id == "" || r != nil && r.isDark() {
			if last != "" && time.Since(writtenAt) > 3*heartbeat {
				w.store.Remove("servers/" + last)
				w.logf("members: the entry of %s has expired", last)
				last, before = "", ""
			}
			continue
		}
		if string(data) == before && time.Since(writtenAt) < heartbeat {
			continue
		}
		before, last, writtenAt = string(data), id, time.Now()
		sequence++
		entry := map[string]any{}
		if err := json.Unmarshal(data, &entry); err != nil {
			fail(err)
		}
		entry["sequence"] = sequence
		if r != nil {
			entry["address"] = r.address().String()
		}
		changed, err := json.Marshal(entry)
		if err != nil {
			fail(err)
		}
		w.store.Put("servers/"+id, changed)
	}
}

// routeConfig is a route in the operator's configuration.
type routeConfig struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Kind     string `json:"route_type"`
	Timeout  int64  `json:"timeout_ms"`
	Target   int64  `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	MaxAge   int64  `json:"max_staleness_ms,omitempty"`
}

// writeConfig writes the next version of the configuration.
func (w *world) writeConfig(routes []routeConfig) {
	services := []map[string]any{}
	for _, g := range w.groups {
		services = append(services, map[string]any{"name": g.Service, "max_conns": g.Connections, "sync_replicas": g.SyncReplicas})
	}
	w.version += 3
	data, err := json.Marshal(map[string]any{
		"version":  w.version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"tx_idle_ms": 5000},
	})
	if err != nil {
		fail(err)
	}
	w.store.Put("op/config", data)
	text := []string{}
	for _, r := range routes {
		text = append(text, r.Name+"="+r.Host+"->"+r.Service)
	}
	w.logf("operator: version %d acknowledged: %s", w.version, strings.Join(text, " "))
}

// settings is the file that deploy/settings.yaml.tmpl gives for a machine of the small site.
const settings = `node: "%s"
domain: "%s"
region: "%s"
regions:
  "lecco-a": "lombardia"
  "lecco-b": "lombardia"
  "padova-a": "veneto"
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
  memory-mb: %d
  descriptors: 4200
  processor-share: 0.4
  processor-speed: 1
  link-mbps: 1000.0
shutdown-grace: "6s"
member-drain: "7000ms"
`

// startProxies starts the proxies and waits until all are ready.
func (w *world) startProxies(n int) error {
	for i := range n {
		p := &proxyProcess{
			place:     places[i%len(places)],
			callers:   freeAddress(),
			readiness: freeAddress(),
			peers:     freeAddress(),
			metric:    freeAddress(),
			done:      make(chan struct{}),
		}
		p.name = fmt.Sprintf("front-%s-%d", p.place.domain, i/len(places)+1)
		if err := w.start(p); err != nil {
			return err
		}
		w.proxies = append(w.proxies, p)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range w.proxies {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err := w.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settingsFile(p *proxyProcess) string {
	return filepath.Join(w.folder, p.name+".yaml")
}

// writeSettings writes the settings file of a proxy. bootstrap says that the whole system starts for the first time.
func (w *world) writeSettings(p *proxyProcess, bootstrap bool) error {
	text := fmt.Sprintf(settings, p.name, p.place.domain, p.place.region, bootstrap, p.callers, p.readiness, p.peers, p.metric, w.storeAt, w.platform, w.memoryMB)
	return os.WriteFile(w.settingsFile(p), []byte(text), 0o600)
}

// start starts the process with the command of deploy/system.toml.
func (w *world) start(p *proxyProcess) error {
	if err := w.writeSettings(p, true); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, p.name+".log"))
	if err != nil {
		return err
	}
	p.log = log
	started := make(chan error, 1)
	go w.supervise(p, started)
	return <-started
}

// supervise runs the process, and again after it has ended, until the world ends.
func (w *world) supervise(p *proxyProcess, started chan<- error) {
	defer close(p.done)
	for first := true; ; first = false {
		p.mu.Lock()
		if p.ending {
			p.mu.Unlock()
			return
		}
		cmd := exec.Command(w.program, "fleet")
		cmd.Env = []string{"EGRETLANE_CONFIG=" + w.settingsFile(p), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = p.log, p.log
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if first {
			started <- err
		}
		if err != nil {
			return
		}
		kills := p.kills.Load()
		err = cmd.Wait()
		p.mu.Lock()
		ending := p.ending
		p.mu.Unlock()
		if ending {
			return
		}
		if p.kills.Load() == kills {
			p.exits.Add(1)
			w.logf("platform: %s ended: %v", p.name, err)
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process.
func (p *proxyProcess) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The error is ignored, as the process may have ended.
	_ = p.cmd.Process.Signal(s)
}

// ready reports whether the proxy answers the readiness probe with 200.
func (p *proxyProcess) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + p.readiness.String() + "/egretlane/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of the process that is not backed by files, in MB.
func (p *proxyProcess) residentMB() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, p := range w.proxies {
		p.mu.Lock()
		p.ending = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		p.log.Close()
	}
	w.cancel()
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// fail ends the program because the case could not run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

var lastID atomic.Uint64

// newID returns an ID that no statement has.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)+0x5c0e7a2100000000) }

// client is a caller's session.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	state  string
}

// answer is the answer to a statement.
type answer struct {
	rows            []string
	signature, code string
	position        string
}

// open opens a session.
func open(p *proxyProcess, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", p.callers.String(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s u%d\r\n", database, lastID.Add(1))
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("startup: %q %v", line, err)
	}
	return c, nil
}

// do runs a statement.
func (c *client) do(id, text string, timeout time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	a := answer{}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
		case "READY":
			c.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected %q", line)
		}
	}
}
