package fleet

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// A holder that gets no answer from the store keeps its service as long as everybody promises not to
// take it over. For that it has to know everybody who might: each holder lists the registered
// processes every censusInterval, and a process takes services from others only when it has been
// registered for newcomerWait, which is longer than a holder goes by an old list.
const (
	// censusInterval is how often a holder lists the processes.
	censusInterval = 4 * time.Second

	// extendLimit is for how long a holder goes by its last list. It is above the length of usual
	// outages of the store.
	extendLimit = 12 * time.Second

	// newcomerWait is above extendLimit and the time of a promise.
	newcomerWait = 14 * time.Second

	// unconfirmedLimit is for how long a process counts itself as registered without an answer of
	// the store.
	unconfirmedLimit = 10 * time.Second

	// vanishedKeep is for how long a process is asked whose registration has vanished. It is above
	// unconfirmedLimit.
	vanishedKeep = 12 * time.Second
)

// vanished is a process whose registration was removed.
type vanished struct {
	node Node
	at   clock.Time
}

// season says for how long this process has been registered.
type season struct {
	// since is when the registration was confirmed first, and confirmed when it was last.
	since, confirmed clock.Time

	// inherited says that a former process on the same node had been registered for long.
	inherited bool
}

// confirm notes that the store has this process's registration, as an answer to a call that was sent
// at the time.
func (s *season) confirm(sent clock.Time) {
	if s.since == 0 || sent.Sub(s.confirmed) > unconfirmedLimit {
		if s.since != 0 {
			s.inherited = false
		}
		s.since = clock.Now()
	}
	s.confirmed = sent
}

// full reports whether every holder knows this process.
func (s *season) full() bool {
	now := clock.Now()
	if s.since == 0 || now.Sub(s.confirmed) > unconfirmedLimit {
		return false
	}
	return s.inherited || now.Sub(s.since) > newcomerWait
}

// Seasoned reports whether every holder knows this process.
func (f *Fleet) Seasoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.season.full()
}

// census lists the processes while this one holds a service.
func (f *Fleet) census(ctx context.Context) error {
	tick := time.NewTicker(censusInterval / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		f.mu.Lock()
		due := len(f.lanes) > 0 && clock.Since(f.countedAt) >= censusInterval
		f.mu.Unlock()
		if !due {
			continue
		}
		sent := clock.Now()
		items, _, err := f.Keys.List(ctx, nodesPrefix)
		if err != nil {
			continue
		}
		f.counted(items, sent)
	}
}

// counted takes a list of all registrations, from a call that was sent at the time.
func (f *Fleet) counted(items []egret.Item, sent clock.Time) {
	for _, item := range items {
		f.change(item)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countedAt = sent
}

// Promise asks every process that may take the service over not to do so for a time.
func (f *Fleet) Promise(ctx context.Context, service string, revision uint64, d time.Duration, primary string) bool {
	f.mu.Lock()
	if clock.Since(f.countedAt) > extendLimit {
		f.mu.Unlock()
		return false
	}
	others := map[string]Node{}
	for id, n := range f.nodes {
		others[id] = n
	}
	for id, v := range f.gone {
		if clock.Since(v.at) > vanishedKeep {
			delete(f.gone, id)
			continue
		}
		if _, back := others[id]; !back {
			others[id] = v.node
		}
	}
	f.mu.Unlock()
	delete(others, f.Self.ID)
	mu := sync.Mutex{}
	refused := ""
	wg := sync.WaitGroup{}
	for id, n := range others {
		wg.Go(func() {
			granted, err := f.Pool.Promise(ctx, n.Address, service, revision, d, primary)
			if granted && err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			refused = id
		})
	}
	wg.Wait()
	if refused != "" {
		f.Trail.Event("promise-missing").Str("service", service).Str("from", refused).Int("asked", len(others)).Msg("a process gave no promise")
	}
	return refused == ""
}
