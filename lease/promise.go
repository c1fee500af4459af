package lease

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// A holder to which the store doesn't respond can extend its lease while a majority of the voters in its record
// promises to acknowledge no successor. A successor finds the same voters in the record that it replaces. It may
// use the service once a majority of them refuses further promises to the former holder and their earlier
// promises have expired. Any two majorities have a voter in common, so that at most one of the two processes
// gets its majority.
const (
	// PromiseDuration is how long a promise is in force. It leaves time for two more attempts to renew it.
	PromiseDuration = 1200 * time.Millisecond

	// maxExtension is how long after the last renewal promises can extend a lease. A successor that doesn't
	// reach a majority of the voters waits that long. It is longer than usual outages of the store.
	maxExtension = 9 * time.Second

	// minVoterChangeInterval is the minimum time between a change of a record and an update of its voters.
	minVoterChangeInterval = 2 * time.Second
)

// Promise is a holder's request to a voter to acknowledge no successor for some time.
type Promise struct {
	// Revision is the revision of the holder's record.
	Revision uint64

	// Duration is how long the promise is in force after the voter has given it.
	Duration time.Duration

	// Intent is the primary that the holder could not write to the store.
	Intent Intent
}

// Intent is a primary that a holder replicates to voters, as it can't write it to the store. The zero Intent is
// none.
type Intent struct {
	// Primary is the member that is about to be made primary.
	Primary string

	// Order increases with each intent for a service.
	Order uint64
}

// voter is the state of a process as a voter for a service's holders. The claim's mu guards it.
type voter struct {
	// startedAt is when the process started. The promises of earlier runs of the process aren't known.
	startedAt clock.Time

	// promisedUntil is when the last promise expires.
	promisedUntil clock.Time

	// minRevision is the lowest revision of holders that get promises.
	minRevision uint64

	// intent is the newest intent that was received.
	intent Intent
}

// GrantPromise gives a promise to a holder, and reports whether it does. It refuses one to a holder with a revision below
// the newest that is known or was passed to Bar.
func (c *Lease) GrantPromise(q Promise) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An earlier run of this process may have refused promises to this revision. The newest record shows that,
	// so nothing is promised until it is known.
	if !c.latestKnown || q.Revision < c.voter.minRevision || q.Revision < c.latest.Revision {
		return false
	}
	c.voter.promisedUntil = max(c.voter.promisedUntil, clock.Now().Add(q.Duration))
	if q.Intent.Order > c.voter.intent.Order {
		c.voter.intent = q.Intent
	}
	return true
}

// Fence makes this process refuse promises to holders with a lower revision from now on. It returns how much longer
// its last promise is in force, and the newest intent that it received.
func (c *Lease) Fence(revision uint64) (time.Duration, Intent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voter.minRevision = max(c.voter.minRevision, revision)
	if c.heldRevision != 0 && c.heldRevision < revision {
		c.endLease("a successor asked this process to refuse promises to it")
	}
	expiry := max(c.voter.promisedUntil, c.voter.startedAt.Add(PromiseDuration))
	return max(0, clock.Until(expiry)), c.voter.intent
}

// extend extends the lease by promises of the voters while the store doesn't respond. It doesn't make an expired
// lease valid again.
func (c *Lease) extend(ctx context.Context) {
	sent := clock.Now()
	c.mu.Lock()
	revision, limit := c.heldRevision, c.renewedAt.Add(maxExtension)
	valid := sent < c.validUntil
	c.mu.Unlock()
	if revision == 0 || !valid || sent.Add(PromiseDuration) > limit {
		return
	}
	promised := c.requestPromises(ctx, revision, Intent{})
	c.EventLog.Event("promises-asked").Str("service", c.Service).Uint64("revision", revision).Bool("majority", promised).Dur("left", c.Remaining()).Msg("asked the voters for promises to extend the lease")
	if !promised {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision >= revision {
		c.validUntil = max(c.validUntil, sent.Add(PromiseDuration))
	}
}

// requestPromises asks the voters for promises, and the proposed voters if there are any. It reports whether a
// majority of each list gives them.
func (c *Lease) requestPromises(ctx context.Context, revision uint64, intent Intent) bool {
	c.mu.Lock()
	lists := [][]Voter{c.latest.Record.Voters}
	if c.proposedVoters != nil {
		lists = append(lists, c.proposedVoters)
	}
	c.mu.Unlock()
	q := Promise{
		Revision: revision,
		Duration: PromiseDuration,
		Intent:   intent,
	}
	granted := c.queryVoters(union(lists), func(v Voter) bool {
		ok, err := c.Peers.RequestPromise(ctx, v, c.Service, q)
		return err == nil && ok
	})
	for _, list := range lists {
		if countIn(list, granted) < majority(list) {
			return false
		}
	}
	return true
}

// queryVoters calls agrees concurrently for each voter but this process, which always agrees, and returns the
// voters that agree.
func (c *Lease) queryVoters(voters []Voter, agrees func(v Voter) bool) []Voter {
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

// countIn returns how many voters of the list are among the others.
func countIn(list, others []Voter) int {
	n := 0
	for _, v := range list {
		if slices.Contains(others, v) {
			n++
		}
	}
	return n
}

// fenceFormerHolders asks the voters of former holders to refuse further promises to them. If no majority of a list
// does, this process waits until maxExtension and clockDriftMargin have passed since it acquired the lease.
func (c *Lease) fenceFormerHolders(ctx context.Context) {
	c.mu.Lock()
	revision, acquiredAt := c.heldRevision, c.acquiredAt
	promisedUntil, intent := c.voter.promisedUntil, c.voter.intent
	lists := slices.Clone(c.awaitedVoters)
	c.mu.Unlock()
	mu := sync.Mutex{}
	expiry := max(clock.Now(), promisedUntil)
	refusing := c.queryVoters(union(lists), func(v Voter) bool {
		remaining, received, err := c.Peers.RequestFence(ctx, v, c.Service, revision)
		if err != nil {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		expiry = max(expiry, clock.Now().Add(remaining))
		if received.Order > intent.Order {
			intent = received
		}
		return true
	})
	extensionOver := clock.Since(acquiredAt) > maxExtension+clockDriftMargin
	pending := [][]Voter{}
	for _, list := range lists {
		if !extensionOver && countIn(list, refusing) < majority(list) {
			pending = append(pending, list)
		}
	}
	c.EventLog.Event("voters-cleared").Str("service", c.Service).Uint64("revision", revision).Int("lists", len(lists)).
		Int("open", len(pending)).Int("barred", len(refusing)).Bool("waited-out", extensionOver).Dur("lapse", clock.Until(expiry)).Msg("asked the voters of former holders to refuse promises to them")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision != revision || len(pending) > 0 {
		return
	}
	c.awaitedVoters = nil
	c.usableFrom = max(c.usableFrom, expiry)
	if intent.Order > 0 && intent.Primary != c.latest.Record.Primary {
		c.unwrittenIntent = intent
	}
}

// union returns the voters of all lists without duplicates.
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

// sendIntent sends the primary to the voters, in place of the store, and reports whether a majority has it and this
// process is still the holder.
func (c *Lease) sendIntent(member string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	c.mu.Lock()
	revision := c.heldRevision
	intent := Intent{
		Primary: member,
		Order:   max(c.voter.intent.Order+1, uint64(time.Now().UnixMicro())),
	}
	c.voter.intent = intent
	c.mu.Unlock()
	sent := revision != 0 && c.requestPromises(ctx, revision, intent)
	c.EventLog.Event("primary-told").Str("service", c.Service).Str("member", member).Bool("majority", sent).Msg("sent the new primary to the voters, as it could not be written to the store")
	if !sent {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwrittenIntent = intent
	return c.heldRevision == revision
}

// writeIntent writes to the store the primary that was sent to the voters only, if there is one.
func (c *Lease) writeIntent(ctx context.Context) {
	c.mu.Lock()
	member := c.unwrittenIntent.Primary
	c.mu.Unlock()
	if member == "" {
		return
	}
	err := c.SetPrimary(ctx, member)
	c.EventLog.Event("primary-written").Str("service", c.Service).Str("member", member).Err(err).Msg("asked the store to record the primary that only the voters had")
}

// writeVoters updates the voters in the record, and removes its awaited voters once the lease is valid.
func (c *Lease) writeVoters(ctx context.Context) {
	voters := c.Peers.Voters()
	c.mu.Lock()
	if c.proposedVoters != nil {
		// The store may still execute the earlier write.
		voters = c.proposedVoters
	}
	keepsVoters := slices.Equal(voters, c.latest.Record.Voters) || clock.Since(c.latestChangedAt) < minVoterChangeInterval
	if c.heldRevision == 0 || c.validUntil == 0 || keepsVoters && c.latest.Record.Awaits == nil {
		c.mu.Unlock()
		return
	}
	revision, record := c.heldRevision, c.ownRecord()
	record.Voters = voters
	c.proposedVoters = voters
	c.mu.Unlock()
	written, err := c.writeRecord(ctx, revision, record)
	c.EventLog.Event("voters-written").Str("service", c.Service).Int("voters", len(voters)).Uint64("revision", written).Err(err).Msg("asked the store to record the current voters")
	if err != nil {
		// The next read shows whether the store has executed the write.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldRevision == revision {
		c.heldRevision = written
		c.proposedVoters = nil
		c.latestChangedAt = clock.Now()
		c.latest = VersionedRecord{
			Record:   record,
			Revision: written,
		}
	}
}

var _ egret.ServiceLease = (*Lease)(nil)
