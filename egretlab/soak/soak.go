package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// heartbeat is how often members write their entries. Three missed ones remove an entry.
	heartbeat = time.Second

	// startBound is how long the proxies may take until all are ready.
	startBound = 20 * time.Second

	// recoveryTime is the time after the last fault by which requests are served again, and servedPart
	// the part of them that must be.
	recoveryTime = 8 * time.Second
	servedPart   = 0.25

	// configBound is the time after its acknowledgement from which a configuration is followed.
	configBound = 3 * time.Second

	// contact is how long nothing may have been disturbed before promises with a bound count.
	contact = 4 * time.Second

	// dutyAfter is how much longer than the grace a stopping process is held to its duty. A request
	// that no member ran may be lost if its connection ends within closingSlack of its sending: the
	// two may cross.
	dutyAfter    = time.Second
	closingSlack = 200 * time.Millisecond
)

// Soak is a run. It is used once.
type Soak struct {
	// Program is the file of the proxy.
	Program string

	// Folder takes settings and logs. It exists.
	Folder string

	// Plan is what happens.
	Plan *Plan

	// Proxies, Services and Callers are how many of each run. Callers are those of each route.
	Proxies, Services, Callers int

	// LogRate is the setting of the proxies. Zero takes their default.
	LogRate int

	// Log gets a line for each event. It may be nil.
	Log func(format string, args ...any)

	ledger  *ledger.Ledger
	store   *keysim.Server
	groups  []*dbsim.Group
	proxies []*proxy
	relay   *links.Relay
	ports   ports
	began   time.Time

	timeline timeline

	// mu guards the fields below. It comes before locks of the stand-ins.
	mu       sync.Mutex
	config   config
	extras   []route
	disturbs int
	calmFrom time.Time
	tail     [2]int
}

// Report is the outcome of a run.
type Report struct {
	Plan       *Plan              `json:"plan"`
	Violations []ledger.Violation `json:"violations"`

	// Served and Sent count statements. Promotions counts the terms that started.
	Served     int `json:"served"`
	Sent       int `json:"sent"`
	Promotions int `json:"promotions"`

	// Whole has the figures of the whole run, Moments those over time. Gap is the longest time in
	// which nothing was served.
	Whole   Moment        `json:"whole"`
	Moments []Moment      `json:"moments"`
	Gap     time.Duration `json:"gap"`

	// Processor is the processor time of all proxies.
	Processor time.Duration `json:"processor"`
}

// domains and regions are where proxies and members stand, in turn.
var (
	domains = []string{"east", "west", "south"}
	regions = []string{"lombardia", "lombardia", "veneto"}
)

// Run plays the plan. An error says that it couldn't be played.
func (s *Soak) Run(whole context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(whole)
	defer cancel()
	s.ledger = &ledger.Ledger{
		Now: time.Now,
	}
	s.store = &keysim.Server{
		History:     2000,
		View:        s.view,
		PauseLeases: s.Plan.Seed%2 == 0,
	}
	s.calmFrom = time.Now()
	g, ctx := errgroup.WithContext(ctx)
	if err := s.build(ctx, g); err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	if err := s.awaitReady(ctx); err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	s.began = time.Now()
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
	s.play(ctx)
	stopCallers()
	wg.Wait()
	if err := whole.Err(); err != nil {
		return nil, errors.Annotate(err, "the run was interrupted")
	}
	// What is still on its way arrives before the logs are read.
	pause(ctx, time.Second)
	s.judge()
	cancel()
	if err := g.Wait(); err != nil {
		return nil, errors.Trace(err)
	}
	return s.report(), nil
}

// judge checks what can only be told at the end.
func (s *Soak) judge() {
	logs, synchronous := map[string][]*dbsim.Entry{}, map[string]bool{}
	for _, g := range s.groups {
		logs[g.Service] = g.Log()
		synchronous[g.Service] = g.SyncReplicas > 0
	}
	s.ledger.Close(logs, synchronous)
	s.mu.Lock()
	served, all := s.tail[0], s.tail[1]
	s.mu.Unlock()
	if all == 0 || float64(served) < servedPart*float64(all) {
		s.ledger.Broken("RECOVER", fmt.Sprintf("%d of %d statements were served after all faults", served, all))
	}
	for _, p := range s.proxies {
		for _, line := range p.panics() {
			s.ledger.Broken("FAULT", line)
		}
	}
}

func (s *Soak) report() *Report {
	r := &Report{
		Plan:       s.Plan,
		Violations: s.ledger.Violations(),
	}
	r.Served, r.Sent = s.ledger.Served()
	r.Moments, r.Whole = s.timeline.result()
	r.Gap = longestGap(r.Moments)
	for _, p := range s.proxies {
		r.Processor += p.processorTime()
	}
	for _, g := range s.groups {
		r.Promotions += g.Promotions()
	}
	return r
}

// awaitReady waits until all proxies take connections.
func (s *Soak) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startBound)
	for _, p := range s.proxies {
		for !s.answers(p) {
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Errorf("%s isn't ready after %s; see %s", p.name, startBound, p.logFile())
			}
			pause(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// answers reports whether a proxy has a primary for each database.
func (s *Soak) answers(p *proxy) bool {
	for _, r := range s.routes() {
		c := &caller{
			soak:  s,
			route: r,
		}
		if !c.reads(p) {
			return false
		}
	}
	return true
}

// pick returns a proxy that is in rotation, or any if none is.
func (s *Soak) pick(r *rand.Rand) *proxy {
	first := r.IntN(len(s.proxies))
	for i := range s.proxies {
		if p := s.proxies[(first+i)%len(s.proxies)]; p.inRotation() {
			return p
		}
	}
	return s.proxies[first]
}

// note counts a statement that ended.
func (s *Soak) note(sent time.Time, served bool) {
	if s.began.IsZero() {
		// The proxies are only being waited for.
		return
	}
	s.timeline.note(time.Since(s.began), time.Since(sent), served)
	s.mu.Lock()
	defer s.mu.Unlock()
	// What is served after all faults is judged.
	if time.Since(s.began) < s.Plan.Length-calm+recoveryTime {
		return
	}
	s.tail[1]++
	if served {
		s.tail[0]++
	}
}

// broken judges a statement whose connection ended without an answer.
func (s *Soak) broken(c *caller, id, text string, sent, begun time.Time, cause error) {
	s.note(sent, false)
	stopped := c.proxy.stopping()
	if stopped.IsZero() || time.Since(stopped) > grace+dutyAfter || !s.quiet(sent.Add(-contact)) {
		return
	}
	// A statement that is still at work at the end of the grace may be lost, and an open transaction
	// has the first half of it.
	if time.Since(stopped) > grace*5/6 || (!begun.IsZero() && time.Since(stopped) > grace/2) || time.Since(sent) > statementTimeout {
		return
	}
	if time.Since(sent) < closingSlack && !s.ledger.HasRun(id) {
		return
	}
	s.ledger.Broken("LOST", fmt.Sprintf("%s %q, sent %s after the SIGTERM of %s, got no answer: %v", id, text, sent.Sub(stopped), c.proxy.name, cause))
}

// quiet reports whether no fault has been in force since a time.
func (s *Soak) quiet(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbs == 0 && s.calmFrom.Before(since)
}

func (s *Soak) logf(format string, args ...any) {
	if s.Log != nil {
		s.Log("%8.3f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	}
}
