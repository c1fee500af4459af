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
	// restartDelay is the time between the exit of a process and its restart by the platform.
	restartDelay = 300 * time.Millisecond

	// startDuration bounds the time from the start of a process until it handles signals.
	startDuration = time.Second

	// shutdownGrace is the time from SIGTERM to SIGKILL.
	shutdownGrace = 6 * time.Second

	// probeInterval is the interval of readiness probes. maxProbeFailures failures in a row take a proxy out of
	// rotation.
	probeInterval    = time.Second
	maxProbeFailures = 2
)

// settingsTemplate is the format of a proxy's settings file.
const settingsTemplate = `node: %s
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
quota: {window: %s, overage: %g, slack: %d}
`

// proxy supervises a process of the proxy under test and restarts it whenever it exits.
type proxy struct {
	name, domain, region string

	// callers, readiness and peers are the addresses that it listens on.
	callers, readiness, peers netip.AddrPort

	// store and promotion are the addresses at which it reaches the platform's services.
	store, promotion netip.AddrPort

	program, folder string

	// logRate is the log-rate setting, or 0 for the default.
	logRate int

	// onUnexpectedExit is called when the process exits without having been signalled to.
	onUnexpectedExit func(detail string)

	// mu guards the fields below.
	mu            sync.Mutex
	cmd           *exec.Cmd
	exitExpected  bool
	stopRequested time.Time
	probeFailures int

	// lastStopRequested is like stopRequested, but stays after the process was restarted.
	lastStopRequested time.Time

	startedAt time.Time

	// exitedCPUTime is the CPU time of all processes that have exited.
	exitedCPUTime time.Duration
}

func (p *proxy) settingsFile() string {
	return filepath.Join(p.folder, p.name+".yaml")
}

func (p *proxy) logFile() string {
	return filepath.Join(p.folder, p.name+".log")
}

// supervise keeps a process running until the context ends, and then stops it.
func (p *proxy) supervise(ctx context.Context) error {
	text := fmt.Sprintf(settingsTemplate, p.name, p.domain, p.region, p.callers, p.readiness, p.peers, p.store, p.promotion, shutdownGrace, p.logRate,
		quotaWindow, quotaOverage, quotaSlack)
	if err := os.WriteFile(p.settingsFile(), []byte(text), 0o600); err != nil {
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
		if err := p.runProcess(ctx, log); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
	return nil
}

func (p *proxy) runProcess(ctx context.Context, log *os.File) error {
	cmd := exec.Command(p.program, "fleet", "--settings", p.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	err := cmd.Start()
	p.cmd, p.exitExpected, p.stopRequested, p.startedAt = cmd, false, time.Time{}, time.Now()
	p.mu.Unlock()
	if err != nil {
		return errors.Annotatef(err, "starting %s", p.name)
	}
	release := context.AfterFunc(ctx, func() {
		p.stop()
		p.signal(syscall.SIGCONT)
	})
	defer release()
	err = cmd.Wait()
	p.mu.Lock()
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	// A process can't handle signals before it has started.
	expected := p.exitExpected || status.Signaled() && status.Signal() == syscall.SIGHUP && time.Since(p.startedAt) < startDuration
	p.exitedCPUTime += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.mu.Unlock()
	if !expected && ctx.Err() == nil {
		p.onUnexpectedExit(fmt.Sprintf("%s ended by itself: %v; see %s", p.name, err, p.logFile()))
	}
	return nil
}

// signal sends a signal to the current process.
func (p *proxy) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.exitExpected = true
	}
	// The error is ignored as the process may have exited.
	_ = p.cmd.Process.Signal(s)
}

// stop stops the process as the platform does: SIGTERM, then SIGKILL after the shutdown grace.
func (p *proxy) stop() {
	p.mu.Lock()
	cmd := p.cmd
	if p.stopRequested.IsZero() {
		p.stopRequested = time.Now()
		p.lastStopRequested = p.stopRequested
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(shutdownGrace, func() {
		// This kills the process that got the SIGTERM, not a successor.
		_ = cmd.Process.Kill()
	})
}

// stopRequestedAt returns when the current process was first sent a SIGTERM by stop, or zero.
func (p *proxy) stopRequestedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}

// lastStopRequestedAt returns when the last process that was stopped was first sent a SIGTERM by stop, or zero.
func (p *proxy) lastStopRequestedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastStopRequested
}

// cpuTime returns the CPU time of the processes that have exited.
func (p *proxy) cpuTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitedCPUTime
}

// startedBefore reports whether the current process was started before a time.
func (p *proxy) startedBefore(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt.Before(t)
}

// inRotation reports whether callers may open new connections to the proxy.
func (p *proxy) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probeFailures < maxProbeFailures
}

// probeReadiness probes the proxy's readiness until the context ends.
func (p *proxy) probeReadiness(ctx context.Context) {
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
		p.probeFailures++
		if ready {
			p.probeFailures = 0
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// crashLines returns the lines of the log that report a panic, a fatal error or a data race.
func (p *proxy) crashLines() []string {
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
