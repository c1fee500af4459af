package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"egretlane.example/egret/egretlab/dbsim"
	"egretlane.example/egret/egretlab/keysim"
	"egretlane.example/egret/egretlab/ledger"
	"egretlane.example/egret/egretlab/links"
)

const (
	// heartbeatInterval is how often a member writes its entry to the store. Three missed heartbeats remove the entry.
	heartbeatInterval = time.Second

	// readyTimeout is how long the proxies together may take to become ready.
	readyTimeout = 20 * time.Second

	// recoveryTimeout is the time after the start of the cool-down by which requests must be served again.
	// minServedRatio is the ratio of each service's statements that must succeed from then on.
	recoveryTimeout = 8 * time.Second
	minServedRatio  = 0.25

	// configTimeout is the time after the acknowledgement of its write within which a configuration must come into
	// force.
	configTimeout = 3 * time.Second

	// settleTime is how long no fault may have been active before guarantees with a time limit are checked.
	settleTime = 4 * time.Second

	// A request that no member ran may go unanswered if its connection ends within closeRaceMargin of its sending.
	closeRaceMargin = 200 * time.Millisecond

	// executionReportDelay is how long after the end of a connection a member may report the statement that it ran.
	executionReportDelay = 500 * time.Millisecond
)

// Soak is one run of proxies under the faults of a plan. It can't be used again.
type Soak struct {
	// Program is the path of the proxy's binary.
	Program string

	// Folder receives settings and logs. It must exist.
	Folder string

	// Plan has the faults and the planned work to run.
	Plan *Plan

	// Proxies, Services and Callers are the numbers of proxies, of database groups, and of callers of each route.
	Proxies, Services, Callers int

	// LogRate is the log-rate setting of the proxies. Zero selects their default.
	LogRate int

	// Log is called once for each event. It may be nil.
	Log func(format string, args ...any)

	ledger    *ledger.Ledger
	store     *keysim.Server
	groups    []*dbsim.Group
	proxies   []*proxy
	relay     *links.Relay
	ports     portAllocator
	startedAt time.Time

	timeline timeline

	// mu guards the fields below. Lock order: mu before the locks of the simulated services.
	mu          sync.Mutex
	config      config
	extraRoutes []route

	// withdrawn counts, by workspace, the events that have withdrawn its key.
	withdrawn map[int]int

	candidates      []unreadCandidate
	activeFaults    int
	lastFaultChange time.Time

	// afterFaults counts, by service, the statements that ended after recoveryTimeout: those that succeeded, and all.
	afterFaults map[string][2]int

	// quotaUse is that of the report.
	quotaUse float64
}

// Report is the outcome of a run.
type Report struct {
	Plan       *Plan              `json:"plan"`
	Violations []ledger.Violation `json:"violations"`

	// Served counts the statements that succeeded, Sent all statements. Promotions counts the terms that started.
	Served     int `json:"served"`
	Sent       int `json:"sent"`
	Promotions int `json:"promotions"`

	// QuotaUse is the highest ratio of the operations of a workspace in a window to the bound of its quota.
	QuotaUse float64 `json:"quota-use"`

	// Total has the figures of the whole run, Intervals those of each interval. LongestGap is the longest time in which
	// no statement succeeded.
	Total      Interval      `json:"whole"`
	Intervals  []Interval    `json:"moments"`
	LongestGap time.Duration `json:"gap"`

	// CPUTime is the CPU time of all proxy processes.
	CPUTime time.Duration `json:"processor"`
}

// domains and regions are the locations that proxies and members are assigned to, round robin.
var (
	domains = []string{"east", "west", "south"}
	regions = []string{"lombardia", "lombardia", "veneto"}
)

// Run runs the plan. It returns an error only if the run couldn't be completed; violations are in the report.
func (s *Soak) Run(parent context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	s.ledger = &ledger.Ledger{
		Now: time.Now,
	}
	s.store = &keysim.Server{
		History:     2000,
		View:        s.rewriteAddress,
		PauseLeases: s.Plan.Seed%2 == 0,
	}
	s.lastFaultChange = time.Now()
	s.afterFaults = map[string][2]int{}
	g, ctx := errgroup.WithContext(ctx)
	if err := s.startProcesses(ctx, g); err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	if err := s.waitReady(ctx); err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	s.startedAt = time.Now()
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	wg := sync.WaitGroup{}
	for i, r := range s.routes() {
		for j := range s.Callers {
			c := &caller{
				soak:  s,
				route: r,
				rand:  rand.New(rand.NewPCG(s.Plan.Seed, uint64(1000*i+j))),
			}
			wg.Go(func() {
				c.run(callers)
			})
		}
	}
	s.runEvents(ctx)
	stopCallers()
	wg.Wait()
	if err := parent.Err(); err != nil {
		return nil, errors.Annotate(err, "soak run interrupted")
	}
	// Let statements in flight reach the members before the logs are read.
	pause(ctx, time.Second)
	s.checkOutcome()
	cancel()
	if err := g.Wait(); err != nil {
		return nil, errors.Trace(err)
	}
	return s.report(), nil
}

// checkOutcome runs the checks that need the final state: the members' logs, the recovery and the proxies' logs.
func (s *Soak) checkOutcome() {
	logs, synchronous := map[string][]*dbsim.Entry{}, map[string]bool{}
	for _, g := range s.groups {
		logs[g.Service] = g.Log()
		synchronous[g.Service] = g.SyncReplicas > 0
	}
	s.ledger.CheckLogs(logs, synchronous)
	s.checkCandidates()
	s.quotaUse = s.ledger.CheckQuotas()
	for i := range s.Services {
		s.mu.Lock()
		served, total := s.afterFaults[serviceName(i)][0], s.afterFaults[serviceName(i)][1]
		s.mu.Unlock()
		if total == 0 || float64(served) < minServedRatio*float64(total) {
			s.ledger.RecordViolation("RECOVER", fmt.Sprintf("%d of %d statements of %s were served after all faults", served, total, serviceName(i)))
		}
	}
	for _, p := range s.proxies {
		for _, line := range p.crashLines() {
			s.ledger.RecordViolation("FAULT", line)
		}
	}
}

func (s *Soak) report() *Report {
	r := &Report{
		Plan:       s.Plan,
		Violations: s.ledger.Violations(),
		QuotaUse:   s.quotaUse,
	}
	r.Served, r.Sent = s.ledger.Counts()
	r.Intervals, r.Total = s.timeline.result()
	r.LongestGap = longestGap(r.Intervals)
	for _, p := range s.proxies {
		r.CPUTime += p.cpuTime()
	}
	for _, g := range s.groups {
		r.Promotions += g.PromotionCount()
	}
	return r
}

// waitReady waits until all proxies are ready, for readyTimeout at most.
func (s *Soak) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range s.proxies {
		for !s.isReady(p) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready after %s; see %s", p.name, readyTimeout, p.logFile())
			}
			pause(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether a proxy serves a read of each database.
func (s *Soak) isReady(p *proxy) bool {
	for _, r := range s.routes() {
		c := &caller{
			soak:  s,
			route: r,
		}
		if !c.servesRead(p) {
			return false
		}
	}
	return true
}

// pickProxy returns a random proxy that is in rotation, or any if none is.
func (s *Soak) pickProxy(r *rand.Rand) *proxy {
	first := r.IntN(len(s.proxies))
	for i := range s.proxies {
		if p := s.proxies[(first+i)%len(s.proxies)]; p.inRotation() {
			return p
		}
	}
	return s.proxies[first]
}

// recordStatement records the outcome of a statement.
func (s *Soak) recordStatement(service string, sent time.Time, served bool) {
	if s.startedAt.IsZero() {
		// The run hasn't started: the statement is a readiness check.
		return
	}
	s.timeline.record(time.Since(s.startedAt), time.Since(sent), served)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The RECOVER rule counts only the statements that end after recoveryTimeout.
	if time.Since(s.startedAt) < s.Plan.Duration-cooldownDuration+recoveryTimeout {
		return
	}
	counts := s.afterFaults[service]
	counts[1]++
	if served {
		counts[0]++
	}
	s.afterFaults[service] = counts
}

// unreadCandidate is a statement without an answer that no member ran. It is a violation unless the proxy has never read it.
type unreadCandidate struct {
	id     string
	proxy  *proxy
	detail string

	// stopped is when the proxy was last sent a SIGTERM, or zero.
	stopped time.Time
}

// checkUnanswered checks a statement whose connection ended without an answer. Unless a fault has been active, or the
// statement's time was over, it is a violation. A statement that a member has still run in the last sixth of the grace of a
// proxy that was told to stop may be lost if it was sent at the beginning of the grace.
func (s *Soak) checkUnanswered(c *caller, id, text string, sent time.Time, cause error) {
	ended, stopped := time.Now(), c.proxy.lastStopRequestedAt()
	if !c.spends {
		s.recordStatement(c.route.service, sent, false)
	}
	if ended.Sub(sent) >= s.Plan.StatementTimeout || !s.faultFreeSince(sent.Add(-settleTime)) {
		return
	}
	// Members report a statement when it ends.
	time.Sleep(executionReportDelay)
	ranAt := s.ledger.RanAt(id)
	detail := fmt.Sprintf("%s %q, sent %s and ended %s after the SIGTERM of %s, run by a member: %t, got no answer: %v",
		id, text, sent.Sub(stopped), ended.Sub(stopped), c.proxy.name, !ranAt.IsZero(), cause)
	switch {
	case ranAt.IsZero() && ended.Sub(sent) < closeRaceMargin:
	case ranAt.IsZero():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.candidates = append(s.candidates, unreadCandidate{
			id:      id,
			proxy:   c.proxy,
			detail:  detail,
			stopped: stopped,
		})
	case !stopped.IsZero() && sent.Sub(stopped) <= shutdownGrace/2 && ranAt.Sub(stopped) > shutdownGrace*5/6:
	default:
		s.ledger.RecordViolation("LOST", detail)
	}
}

// checkCandidates records those statements that their proxy may have read. A proxy logs each statement that it has read and
// doesn't answer; where its log may lack such lines, the statement counts as read.
func (s *Soak) checkCandidates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.candidates {
		log, err := os.ReadFile(c.proxy.logFile())
		switch {
		case err != nil:
			s.ledger.RecordViolation("SOAK", err.Error())
		case strings.Contains(string(log), `"statement-unanswered","request":"`+c.id+`"`), !completeLog(string(log), c.stopped):
			s.ledger.RecordViolation("LOST", c.detail)
		default:
			s.logf("never read: %s", c.detail)
		}
	}
}

// completeLog reports whether a proxy's log has all lines about unanswered statements of the process that was first sent a
// SIGTERM at the time: the process has logged its end, which comes after them, and dropped no lines. A zero time stands for a
// process that wasn't stopped.
func completeLog(log string, stopped time.Time) bool {
	ended := stopped.IsZero()
	for text := range strings.Lines(log) {
		line := struct {
			Time         time.Time
			Event, Cause string
		}{}
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		switch {
		case line.Event == "lines-dropped" && line.Cause == "statement-unanswered":
			return false
		case line.Time.Before(stopped):
		case line.Event == "process-started" && !stopped.IsZero():
			// It is the successor.
			return ended
		case line.Event == "process-stopped":
			ended = true
		}
	}
	return ended
}

// faultFreeSince reports whether no fault has been active since a time.
func (s *Soak) faultFreeSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFaults == 0 && s.lastFaultChange.Before(since)
}

func (s *Soak) logf(format string, args ...any) {
	if s.Log != nil {
		s.Log("%8.3f s  %s", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}
