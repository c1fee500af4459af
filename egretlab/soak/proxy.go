package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 300 * time.Millisecond

	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second

	// probeInterval is how often readiness is asked for. Two misses in a row take a proxy out.
	probeInterval = time.Second
	probeMisses   = 2
)

// settingsFile is the settings of a proxy.
const settingsFile = `node: %s
domain: %s
region: %s
regions: {east: lombardia, west: lombardia, south: veneto}
bootstrap: true
listen:
  callers: %s
  readiness: %s
  peers: %s
platform:
  store: %s
  promotion: %s
limits: {memory-mb: 400, descriptors: 4096}
shutdown-grace: %s
log-rate: %d
`

// proxy is a process of the program that is tried. It is started again whenever it ends.
type proxy struct {
	name, domain, region string

	// callers, readiness and peers are the addresses that it serves.
	callers, readiness, peers netip.AddrPort

	// store and promotion are where it reaches the platform.
	store, promotion netip.AddrPort

	program, folder string

	// logRate is the setting, or 0 for the default.
	logRate int

	// ended is called when the process ended though nobody told it to.
	ended func(what string)

	// mu guards the fields below.
	mu       sync.Mutex
	cmd      *exec.Cmd
	expected bool
	stopped  time.Time
	misses   int
	started  time.Time

	// processor is the processor time of all processes that have ended.
	processor time.Duration
}

func (p *proxy) settings() string {
	return filepath.Join(p.folder, p.name+".yaml")
}

func (p *proxy) logFile() string {
	return filepath.Join(p.folder, p.name+".log")
}

// run keeps a process until the context ends, and then ends it.
func (p *proxy) run(ctx context.Context) error {
	text := fmt.Sprintf(settingsFile, p.name, p.domain, p.region, p.callers, p.readiness, p.peers, p.store, p.promotion, grace, p.logRate)
	if err := os.WriteFile(p.settings(), []byte(text), 0o600); err != nil {
		return errors.Trace(err)
	}
	log, err := os.Create(p.logFile())
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		_ = log.Close()
	}()
	for ctx.Err() == nil {
		if err := p.runOnce(ctx, log); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
	return nil
}

func (p *proxy) runOnce(ctx context.Context, log *os.File) error {
	cmd := exec.Command(p.program, "fleet", "--settings", p.settings())
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	err := cmd.Start()
	p.cmd, p.expected, p.stopped, p.started = cmd, false, time.Time{}, time.Now()
	p.mu.Unlock()
	if err != nil {
		return errors.Annotatef(err, "start of %s", p.name)
	}
	release := context.AfterFunc(ctx, func() {
		p.stop()
		p.signal(syscall.SIGCONT)
	})
	defer release()
	err = cmd.Wait()
	p.mu.Lock()
	expected := p.expected
	p.processor += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.mu.Unlock()
	if !expected && ctx.Err() == nil {
		p.ended(fmt.Sprintf("%s ended by itself: %v; see %s", p.name, err, p.logFile()))
	}
	return nil
}

// signal sends a signal to the present process.
func (p *proxy) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	// The process may have ended.
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (p *proxy) stop() {
	p.mu.Lock()
	cmd := p.cmd
	if p.stopped.IsZero() {
		p.stopped = time.Now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() {
		// Another process may have taken its place.
		_ = cmd.Process.Kill()
	})
}

// stopping returns when the present process was told to stop, or zero.
func (p *proxy) stopping() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// processorTime returns the processor time of the processes that have ended.
func (p *proxy) processorTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processor
}

// runsSince reports whether the present process was started before a time.
func (p *proxy) runsSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started.Before(t)
}

// inRotation reports whether new connections are sent to the proxy.
func (p *proxy) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses < probeMisses
}

// probe asks for readiness until the context ends.
func (p *proxy) probe(ctx context.Context) {
	client := http.Client{
		Timeout: probeInterval,
	}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		ready := false
		r, err := client.Get("http://" + p.readiness.String() + "/egretlane/readiness")
		if err == nil {
			ready = r.StatusCode == http.StatusOK
			r.Body.Close()
		}
		p.mu.Lock()
		p.misses++
		if ready {
			p.misses = 0
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// panics returns lines of the log that tell of a crash or of a race.
func (p *proxy) panics() []string {
	data, err := os.ReadFile(p.logFile())
	if err != nil {
		return []string{err.Error()}
	}
	found := []string{}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			found = append(found, p.name+": "+strings.TrimSpace(line))
		}
	}
	return found
}
