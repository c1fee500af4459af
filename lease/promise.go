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

	// minVoterChangeInterval is the minimum time between a change of a record and an update of its voters. An
	// update that also removes the record's Awaits doesn't wait.
	minVoterChangeInterval = 2 * time.Second
)

// Promise is a holder's request to a voter to acknowledge no successor for some time.
type Promise struct {
	// Revision is the revision of the holder's record.
	Revision egret.Revision

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

	// Order increases with each primary that is recorded for a service, by the voters or in the store.
	Order uint64
}

// voter is the state of a process as a voter for a service's holders. The Lease's mu guards it.
type voter struct {
	// startedAt is when the process started. The promises of earlier runs of the process aren't known.
	startedAt clock.Time

	// promisedUntil is when the last promise expires.
	promisedUntil clock.Time

	// minRevision is the lowest revision of holders that get promises.
	minRevision egret.Revision

	// intent is the newest intent that was received.
	intent Intent
}

// GrantPromise gives a promise to a holder, and reports whether it does. It refuses one to a holder whose revision is
// lower than the newest one that is known or was passed to Fence.
func (l *Lease) GrantPromise(q Promise) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An earlier run of this process may have refused promises to this revision. The newest record shows that,
	// so nothing is promised until it is known.
	if !l.latestKnown || q.Revision.Before(l.voter.minRevision) || q.Revision.Before(l.newest) {
		return false
	}
	l.voter.promisedUntil = max(l.voter.promisedUntil, clock.Now().Add(q.Duration))
	if q.Intent.Order > l.voter.intent.Order {
		l.voter.intent = q.Intent
	}
	return true
}

// FenceReply is a voter's response to a process that fences former holders.
type FenceReply struct {
	// Remaining is how much longer the voter's last promise is in force.
	Remaining time.Duration

	// Intent is the newest intent that the voter received.
	Intent Intent
}

// Fence fences the holders with a lower revision: from now on, this process refuses promises to them.
func (l *Lease) Fence(revision egret.Revision) FenceReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.voter.minRevision = later(l.voter.minRevision, revision)
	if l.heldRevision.Exists() && l.heldRevision.Before(revision) {
		l.endLease("a successor asked this process to refuse promises to earlier holders")
	}
	expiry := max(l.voter.promisedUntil, l.voter.startedAt.Add(PromiseDuration))
	return FenceReply{
		Remaining: max(0, clock.Until(expiry)),
		Intent:    l.voter.intent,
	}
}

// extend extends the lease by promises of the voters while the store doesn't respond. It doesn't make an expired
// lease valid again.
func (l *Lease) extend(ctx context.Context) {
	sent := clock.Now()
	l.mu.Lock()
	revision, limit := l.heldRevision, l.renewedAt.Add(maxExtension)
	valid := sent < l.validUntil
	l.mu.Unlock()
	if !revision.Exists() || !valid || sent.Add(PromiseDuration) > limit {
		return
	}
	promised := l.requestPromises(ctx, revision, Intent{})
	l.EventLog.Event("promises-asked").Str("service", l.Service).Str("revision", revision.String()).Bool("majority", promised).Dur("left", l.Remaining()).Msg("asked the voters for promises to extend the lease")
	if !promised {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldRevision.Before(revision) {
		l.validUntil = max(l.validUntil, sent.Add(PromiseDuration))
	}
}

// requestPromises asks the voters for promises, and the proposed voters if there are any. It reports whether a
// majority of each list gives them.
func (l *Lease) requestPromises(ctx context.Context, revision egret.Revision, intent Intent) bool {
	l.mu.Lock()
	lists := [][]Voter{l.latest.Record.Voters}
	if l.proposedVoters != nil {
		lists = append(lists, l.proposedVoters)
	}
	l.mu.Unlock()
	q := Promise{
		Revision: revision,
		Duration: PromiseDuration,
		Intent:   intent,
	}
	granted := l.queryVoters(union(lists), func(v Voter) bool {
		ok, err := l.Peers.RequestPromise(ctx, v, l.Service, q)
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
func (l *Lease) queryVoters(voters []Voter, agrees func(v Voter) bool) []Voter {
	mu := sync.Mutex{}
	agreed := []Voter{}
	wg := sync.WaitGroup{}
	for _, v := range voters {
		wg.Go(func() {
			if v.Node != l.Self.Node && !agrees(v) {
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

// maxUnreached returns how many of all processes may leave a request to refuse promises unanswered so that a holder whose
// voters aren't known can't get a majority of these. It has as many voters as the given list, unless there are fewer
// processes.
func maxUnreached(voters []Voter) int {
	return majority(voters) - 1
}

// fenceFormerHolders asks the voters of former holders to fence these, that is, to refuse them further promises, and all
// processes if a former holder may be unknown. If too few do, this process waits until maxExtension and clockDriftMargin
// have passed since it acquired the lease.
func (l *Lease) fenceFormerHolders(ctx context.Context) {
	l.mu.Lock()
	revision, acquiredAt := l.heldRevision, l.acquiredAt
	promisedUntil, intent := l.voter.promisedUntil, l.voter.intent
	lists, own := slices.Clone(l.awaitedVoters), l.latest.Record.Voters
	everyone := []Voter{}
	if l.awaitsUnknown {
		everyone = l.Peers.Everyone()
	}
	l.mu.Unlock()
	mu := sync.Mutex{}
	expiry := max(clock.Now(), promisedUntil)
	refusing := l.queryVoters(union(append(slices.Clone(lists), everyone)), func(v Voter) bool {
		reply, err := l.Peers.RequestFence(ctx, v, l.Service, revision)
		if err != nil {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		expiry = max(expiry, clock.Now().Add(reply.Remaining))
		if reply.Intent.Order > intent.Order {
			intent = reply.Intent
		}
		return true
	})
	extensionOver := clock.Since(acquiredAt) > maxExtension+clockDriftMargin
	pending := 0
	for _, list := range lists {
		if !extensionOver && countIn(list, refusing) < majority(list) {
			pending++
		}
	}
	if !extensionOver && len(everyone)-countIn(everyone, refusing) > maxUnreached(own) {
		pending++
	}
	l.EventLog.Event("voters-cleared").Str("service", l.Service).Str("revision", revision.String()).Int("lists", len(lists)).
		Int("all", len(everyone)).Int("open", pending).Int("barred", len(refusing)).Bool("waited-out", extensionOver).Dur("lapse", clock.Until(expiry)).Msg("asked the voters of former holders to refuse promises to them")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision != revision {
		return
	}
	l.votersUnreachable = pending > 0
	if l.votersUnreachable {
		return
	}
	l.awaitedVoters, l.awaitsUnknown = nil, false
	l.usableFrom = max(l.usableFrom, expiry)
	if intent.Order > l.voter.intent.Order {
		l.voter.intent = intent
	}
	// Voters keep an intent after it was written, and after another primary was written to the store.
	record := l.latest.Record
	if intent.Order > record.PrimaryOrder && intent.Primary != record.Primary && !record.PrimaryUncertain {
		l.unwrittenIntent = intent
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
func (l *Lease) sendIntent(member string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	l.mu.Lock()
	revision := l.heldRevision
	intent := Intent{
		Primary: member,
		Order:   l.nextOrder(),
	}
	l.voter.intent = intent
	l.mu.Unlock()
	sent := revision.Exists() && l.requestPromises(ctx, revision, intent)
	l.EventLog.Event("primary-told").Str("service", l.Service).Str("member", member).Bool("majority", sent).Msg("sent the new primary to the voters, as it could not be written to the store")
	if !sent {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwrittenIntent = intent
	return l.heldRevision == revision
}

// nextOrder returns the order of a primary that is about to be recorded. The caller holds mu.
func (l *Lease) nextOrder() uint64 {
	known := max(l.latest.Record.PrimaryOrder, l.unwrittenIntent.Order, l.voter.intent.Order)
	return max(known+1, uint64(time.Now().UnixMicro()))
}

// writeIntent writes to the store the primary that was sent to the voters only, if there is one.
func (l *Lease) writeIntent(ctx context.Context) {
	l.mu.Lock()
	member := l.unwrittenIntent.Primary
	l.mu.Unlock()
	if member == "" {
		return
	}
	err := l.SetPrimary(ctx, member)
	l.EventLog.Event("primary-written").Str("service", l.Service).Str("member", member).Err(err).Msg("asked the store to record the primary that only the voters had")
}

// writeVoters updates the voters in the record, and removes its awaited voters once the lease is valid.
func (l *Lease) writeVoters(ctx context.Context) {
	voters := l.Peers.Voters()
	l.mu.Lock()
	if l.proposedVoters != nil {
		// The store may still execute the earlier write.
		voters = l.proposedVoters
	}
	keepsVoters := slices.Equal(voters, l.latest.Record.Voters) || clock.Since(l.latestChangedAt) < minVoterChangeInterval
	awaitsNone := l.latest.Record.Awaits == nil && !l.latest.Record.AwaitsUnknown
	if !l.heldRevision.Exists() || l.validUntil == 0 || keepsVoters && awaitsNone {
		l.mu.Unlock()
		return
	}
	revision, record := l.heldRevision, l.ownRecord()
	record.Voters = voters
	l.proposedVoters = voters
	l.mu.Unlock()
	written, err := l.writeRecord(ctx, revision, record)
	l.EventLog.Event("voters-written").Str("service", l.Service).Int("voters", len(voters)).Str("revision", written.String()).Err(err).Msg("asked the store to record the current voters")
	if err != nil {
		// The next read shows whether the store has executed the write.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldRevision == revision {
		l.setHeld(written, record)
		l.proposedVoters = nil
		l.latestChangedAt = clock.Now()
	}
}

var _ egret.ServiceLease = (*Lease)(nil)
