package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// A holder that gets no answer from the store stays in force while a majority of the voters in its
// record promise to acknowledge no successor. A successor finds the same voters in the record that it
// replaces, and begins when a majority of them bars further promises and theirs have lapsed. The two
// majorities share a voter, so they can't both be had.
const (
	// PromiseTime is how long a promise is in force. It leaves time for two more tries.
	PromiseTime = 1200 * time.Millisecond

	// extendLimit is for how long promises keep a holder in force. A successor that can't reach a
	// majority of the voters waits that long. It is above the length of usual outages of the store.
	extendLimit = 9 * time.Second

	// votersPause is the least time between two changes of the voters in a record.
	votersPause = 2 * time.Second
)

// Promise is what a holder asks a voter for.
type Promise struct {
	// Revision is that of the holder's record.
	Revision uint64

	// Time is how long the promise is in force, from when the voter gives it.
	Time time.Duration

	// Intent is the primary that the holder could not write into the store.
	Intent Intent
}

// Intent is a primary that is told to voters. The zero Intent is none.
type Intent struct {
	// Primary is the member.
	Primary string

	// Order rises with each intent for a service.
	Order uint64
}

// voter is what a process has promised for a service. The claim's mu guards it.
type voter struct {
	// started is when the process started. What a former process promised isn't known.
	started clock.Time

	// until is when the promise lapses.
	until clock.Time

	// barred says that holders with a lower revision get no promises.
	barred uint64

	// intent is the newest that was told.
	intent Intent
}

// Grant gives a holder a promise, or reports false.
func (c *Claim) Grant(q Promise) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A process that has just started may have barred promises before; the newest record tells.
	if !c.known || q.Revision < c.voter.barred || q.Revision < c.seen.Revision {
		return false
	}
	c.voter.until = max(c.voter.until, clock.Now().Add(q.Time))
	if q.Intent.Order > c.voter.intent.Order {
		c.voter.intent = q.Intent
	}
	return true
}

// Bar refuses promises to holders before the revision from now on. It returns how long one is still in
// force, and the newest intent.
func (c *Claim) Bar(revision uint64) (time.Duration, Intent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voter.barred = max(c.voter.barred, revision)
	if c.mine != 0 && c.mine < revision {
		c.end("a successor asked the voters")
	}
	lapse := max(c.voter.until, c.voter.started.Add(PromiseTime))
	return max(0, clock.Until(lapse)), c.voter.intent
}

// extend keeps the right in force by promises while the store gives no answer. A right that has lapsed
// is not revived.
func (c *Claim) extend(ctx context.Context) {
	sent := clock.Now()
	c.mu.Lock()
	revision, limit := c.mine, c.renewedAt.Add(extendLimit)
	valid := sent < c.validUntil
	c.mu.Unlock()
	if revision == 0 || !valid || sent.Add(PromiseTime) > limit {
		return
	}
	promised := c.ask(ctx, revision, Intent{})
	c.Trail.Event("promises-asked").Str("service", c.Service).Uint64("revision", revision).Bool("majority", promised).Dur("left", c.Left()).Msg("asked the voters to keep this process in force")
	if !promised {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine >= revision {
		c.validUntil = max(c.validUntil, sent.Add(PromiseTime))
	}
}

// ask reports whether a majority of the voters promises, and one of the proposed voters if there are
// any.
func (c *Claim) ask(ctx context.Context, revision uint64, in Intent) bool {
	c.mu.Lock()
	lists := [][]Voter{c.seen.Record.Voters}
	if c.proposed != nil {
		lists = append(lists, c.proposed)
	}
	c.mu.Unlock()
	q := Promise{
		Revision: revision,
		Time:     PromiseTime,
		Intent:   in,
	}
	granted := c.gather(union(lists), func(v Voter) bool {
		ok, err := c.Peers.Promise(ctx, v, c.Service, q)
		return err == nil && ok
	})
	for _, list := range lists {
		if count(list, granted) < majority(list) {
			return false
		}
	}
	return true
}

// gather asks all voters but this process, which agrees, and returns those that agree.
func (c *Claim) gather(voters []Voter, agrees func(v Voter) bool) []Voter {
	mu := sync.Mutex{}
	agreed := []Voter{}
	wg := sync.WaitGroup{}
	for _, v := range voters {
		wg.Go(func() {
			if v.Node != c.Self.Node && !agrees(v) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			agreed = append(agreed, v)
		})
	}
	wg.Wait()
	return agreed
}

// count returns how many of the list are among the others.
func count(list, others []Voter) int {
	n := 0
	for _, v := range list {
		if slices.Contains(others, v) {
			n++
		}
	}
	return n
}

// clear asks the voters of former holders to bar promises to them. Without a majority of a list, the
// holding is waited out.
func (c *Claim) clear(ctx context.Context) {
	c.mu.Lock()
	revision, takenAt := c.mine, c.takenAt
	own, intent := c.voter.until, c.voter.intent
	lists := slices.Clone(c.awaits)
	c.mu.Unlock()
	mu := sync.Mutex{}
	lapse := max(clock.Now(), own)
	barred := c.gather(union(lists), func(v Voter) bool {
		left, in, err := c.Peers.Clear(ctx, v, c.Service, revision)
		if err != nil {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		lapse = max(lapse, clock.Now().Add(left))
		if in.Order > intent.Order {
			intent = in
		}
		return true
	})
	over := clock.Since(takenAt) > extendLimit+margin
	open := [][]Voter{}
	for _, list := range lists {
		if !over && count(list, barred) < majority(list) {
			open = append(open, list)
		}
	}
	c.Trail.Event("voters-cleared").Str("service", c.Service).Uint64("revision", revision).Int("lists", len(lists)).
		Int("open", len(open)).Int("barred", len(barred)).Bool("waited-out", over).Dur("lapse", clock.Until(lapse)).Msg("asked the voters of former holders")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine != revision || len(open) > 0 {
		return
	}
	c.awaits = nil
	c.usableFrom = max(c.usableFrom, lapse)
	if intent.Order > 0 && intent.Primary != c.seen.Record.Primary {
		c.unwritten = intent
	}
}

// union returns the voters of all lists, each once.
func union(lists [][]Voter) []Voter {
	all := []Voter{}
	for _, list := range lists {
		for _, v := range list {
			if !slices.Contains(all, v) {
				all = append(all, v)
			}
		}
	}
	return all
}

// tell makes the primary known to a majority of the voters, in place of the store.
func (c *Claim) tell(member string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	c.mu.Lock()
	revision := c.mine
	in := Intent{
		Primary: member,
		Order:   max(c.voter.intent.Order+1, uint64(time.Now().UnixMicro())),
	}
	c.voter.intent = in
	c.mu.Unlock()
	told := revision != 0 && c.ask(ctx, revision, in)
	c.Trail.Event("primary-told").Str("service", c.Service).Str("member", member).Bool("majority", told).Msg("the store can't be told of the primary")
	if !told {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten = in
	return c.mine == revision
}

// writePrimary writes the primary that was told to the voters only.
func (c *Claim) writePrimary(ctx context.Context) {
	c.mu.Lock()
	member := c.unwritten.Primary
	c.mu.Unlock()
	if member == "" {
		return
	}
	err := c.SetPrimary(ctx, member)
	c.Trail.Event("primary-written").Str("service", c.Service).Str("member", member).Err(err).Msg("the store was told of the primary")
}

// writeVoters brings the voters in the record up to date.
func (c *Claim) writeVoters(ctx context.Context) {
	voters := c.Peers.Voters()
	c.mu.Lock()
	if c.proposed != nil {
		// The earlier write may still be carried out.
		voters = c.proposed
	}
	current := slices.Equal(voters, c.seen.Record.Voters) || clock.Since(c.changedAt) < votersPause
	if c.mine == 0 || c.validUntil == 0 || current && c.seen.Record.Awaits == nil {
		c.mu.Unlock()
		return
	}
	revision, record := c.mine, c.record()
	record.Voters = voters
	c.proposed = voters
	c.mu.Unlock()
	written, err := c.write(ctx, revision, record)
	c.Trail.Event("voters-written").Str("service", c.Service).Int("voters", len(voters)).Uint64("revision", written).Err(err).Msg("the record has other voters")
	if err != nil {
		// What became of the write shows with the next read.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mine == revision {
		c.mine = written
		c.proposed = nil
		c.changedAt = clock.Now()
		c.seen = Seen{
			Record:   record,
			Revision: written,
		}
	}
}

var _ egret.Holding = (*Claim)(nil)
