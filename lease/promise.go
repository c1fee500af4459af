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

	// maxIntentWait is how long a successor of a holder that has stopped waits for a majority of its voters, for the intents
	// that they have. It is longer than a promotion takes to come into effect after it was called for.
	maxIntentWait = 2 * time.Second

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

	// knownSince is the revision of the key when this process read it first. Intents of holders with that record or an
	// older one may have been sent to an earlier run of the process.
	knownSince egret.Revision

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
	if !l.latestKnown || q.Revision.Before(l.voter.minRevision) || q.Revision.Before(l.newest) && !l.mayPromiseTo(q.Revision) {
		return false
	}
	l.voter.promisedUntil = max(l.voter.promisedUntil, clock.Now().Add(q.Duration))
	if q.Intent.Order > l.voter.intent.Order {
		l.voter.intent = q.Intent
	}
	return true
}

// mayPromiseTo reports whether a holder with an older record than the newest may get promises: it is contested, and this run
// of the process has known its record, so that it remembers any fence of a later claim. The caller holds mu.
func (l *Lease) mayPromiseTo(holder egret.Revision) bool {
	return l.latest.Revision == l.newest && l.latest.contests(holder) && !holder.Before(l.voter.knownSince)
}

// Fence is a successor's request to a voter to refuse further promises to former holders, and to return their intents.
type Fence struct {
	// Revision is the revision of the successor's record. Holders with a lower one are fenced.
	Revision egret.Revision

	// Since is the revision of the oldest record of the former holders.
	Since egret.Revision
}

// FenceReply is a voter's response to a process that fences former holders.
type FenceReply struct {
	// Remaining is how much longer the voter's last promise is in force.
	Remaining time.Duration

	// Intent is the newest intent that the voter received.
	Intent Intent

	// Complete says that the voter has run since before the oldest of the former holders wrote its record, so that it
	// remembers every intent that it received from them.
	Complete bool
}

// Fence fences the holders with a lower revision: from now on, this process refuses promises to them.
func (l *Lease) Fence(q Fence) FenceReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.voter.minRevision = later(l.voter.minRevision, q.Revision)
	if l.heldRevision.Exists() && l.heldRevision.Before(q.Revision) {
		l.endLease("a successor asked this process to refuse promises to earlier holders")
	}
	expiry := max(l.voter.promisedUntil, l.voter.startedAt.Add(PromiseDuration))
	return FenceReply{
		Remaining: max(0, clock.Until(expiry)),
		Intent:    l.voter.intent,
		Complete:  l.rememberSince(q.Since),
	}
}

// rememberSince reports whether this process has run since before the record with the revision was written. The caller
// holds mu.
func (l *Lease) rememberSince(revision egret.Revision) bool {
	return l.latestKnown && l.voter.knownSince.Before(revision)
}

// extend extends the lease by promises of the voters while the store doesn't respond. It doesn't make an expired
// lease valid again.
func (l *Lease) extend(ctx context.Context) {
	sent := clock.Now()
	l.mu.Lock()
	revision, limit := l.heldRevision, l.renewedAt.Add(maxExtension)
	valid := sent < l.validUntil
	// A voter that was restarted has forgotten it.
	intent := l.unwrittenIntent
	l.mu.Unlock()
	if !revision.Exists() || !valid || sent.Add(PromiseDuration) > limit {
		return
	}
	promised := l.requestPromises(ctx, revision, intent)
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
// voters that agree. It waits for all calls.
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

// maxFencing returns how long after the acquisition this process waits for the voters of former holders. The caller holds
// mu.
func (l *Lease) maxFencing() time.Duration {
	if len(l.awaitedVoters) > 0 || l.awaitsUnknown {
		return maxExtension + clockDriftMargin
	}
	return maxIntentWait
}

// fenceFormerHolders asks the voters of former holders to fence these, that is, to refuse them further promises, and all
// processes if a former holder may be unknown. It returns at once; the answers wake Run. If too few answer, this process waits
// until maxFencing has passed since it acquired the lease. The primary is uncertain if a former holder may have sent an intent
// that no answer has.
func (l *Lease) fenceFormerHolders(ctx context.Context) {
	f := l.currentFencing(ctx)
	if f == nil || !f.decided() && !f.allTried() {
		return
	}
	pending, incomplete := f.pending(), f.incomplete()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing != f {
		return
	}
	if pending > 0 {
		l.markVotersUnreachable(pending)
		return
	}
	l.votersUnreachable = false
	l.endFencing()
	l.EventLog.Event("voters-cleared").Str("service", l.Service).Str("revision", f.request.Revision.String()).Int("lists", len(f.awaited)+len(f.unasked)).
		Int("all", len(f.everyone)).Int("barred", len(f.refusing)).Bool("waited-out", f.timedOut).Bool("incomplete", incomplete).
		Str("primary", f.intent.Primary).Dur("lapse", clock.Until(f.expiry)).Msg("the voters of former holders refuse promises to them")
	if len(f.awaited) > 0 || l.awaitsUnknown {
		l.usableFrom = max(l.usableFrom, f.expiry)
	}
	l.awaitedVoters, l.unaskedVoters, l.awaitsUnknown = nil, nil, false
	l.intentsLost = l.intentsLost || incomplete
	if f.intent.Order > l.voter.intent.Order {
		l.voter.intent = f.intent
	}
	// Voters keep an intent after it was written, and after another primary was written to the store.
	record := l.latest.Record
	if f.intent.Order > record.PrimaryOrder && f.intent.Primary != record.Primary && !l.primaryUncertain() {
		l.unwrittenIntent = f.intent
	}
}

// markVotersUnreachable records that too few voters of a number of former holders answer. The caller holds mu.
func (l *Lease) markVotersUnreachable(open int) {
	if !l.votersUnreachable {
		l.EventLog.Event("voters-unreachable").Str("service", l.Service).Str("revision", l.heldRevision.String()).Int("open", open).
			Bool("contested", l.latest.Record.Contested != nil).Msg("too few voters of former holders answer; their leases may be extended meanwhile")
	}
	l.votersUnreachable = true
}

// currentFencing returns the requests to the voters of former holders that are in progress, and begins them if there are none
// for the record of this process. It returns nil if this process has lost the lease.
func (l *Lease) currentFencing(ctx context.Context) *fencing {
	l.mu.Lock()
	contested, awaitsUnknown := l.latest.Record.Contested, l.awaitsUnknown
	awaitsContested := contested != nil && len(l.awaitedVoters) > 0
	l.mu.Unlock()
	except, everyone := "", []Voter(nil)
	if awaitsContested && l.Peers.GaveUpAt(contested.Revision) == 0 {
		except = contested.Node
	}
	if awaitsUnknown {
		everyone = l.Peers.Everyone()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldRevision.Exists() {
		return nil
	}
	if l.fencing != nil && !l.fencing.serves(l.heldRevision, except, everyone) {
		l.endFencing()
	}
	f, begins := l.fencing, l.fencing == nil
	if begins {
		f = &fencing{
			lease:    l,
			except:   except,
			everyone: everyone,
			own:      l.latest.Record.Voters,
			request: Fence{
				Revision: l.heldRevision,
				Since:    l.latest.Record.AskedSince,
			},
			intent: l.voter.intent,
			expiry: max(clock.Now(), l.voter.promisedUntil),
		}
	}
	f.mu.Lock()
	f.awaited, f.unasked = slices.Clone(l.awaitedVoters), slices.Clone(l.unaskedVoters)
	f.timedOut = clock.Since(l.acquiredAt) > l.maxFencing()
	f.mu.Unlock()
	if begins {
		l.fencing = f
		f.start(ctx)
	}
	return f
}

// stopFencing ends the requests to the voters of former holders.
func (l *Lease) stopFencing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endFencing()
}

// endFencing is stopFencing for a caller that holds mu.
func (l *Lease) endFencing() {
	if l.fencing != nil {
		l.fencing.end()
		l.fencing = nil
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
	// A conflict may come from a later primary, which this one must not replace.
	err := l.setPrimary(ctx, member, 1)
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
