package lease

import (
	"context"
	"time"

	"egretlane.example/egret/clock"
)

// A claimant that reaches neither a holder nor a majority of its voters can't tell whether they are lost, or serve another
// part of a partitioned fleet. Its claim contests the holder's lease: the record names the holder, and the time in which
// promises can extend the holder's lease begins, as with any claim. The holder takes the service back by writing its
// record again while its lease is valid, as after a restore of the store. Until then its voters may give it promises.
// Once they answer the claimant, it fences the holder only if the holder doesn't respond for another holderTimeout.

// reclaimedHold is how long a service whose holder has taken it back isn't claimed again without a majority of the voters.
// Each such claim costs two writes to the store and leaves the holder in place.
const reclaimedHold = 3 * time.Second

// contestInterval is how often a process checks meanwhile whether a majority of the voters answers. Each check is a read of
// the store and a request to each voter.
const contestInterval = time.Second

// probeFormerVoters asks the voters of the latest record, and those of holders before it that are still awaited, whether
// they answer. The result is whether a majority of each list does.
func (l *Lease) probeFormerVoters(ctx context.Context) <-chan bool {
	l.mu.Lock()
	r := l.latest.Record
	l.mu.Unlock()
	lists := append([][]Voter{r.Voters}, r.Awaits...)
	result := make(chan bool, 1)
	go func() {
		result <- l.majorityAnswers(ctx, lists, r.Node)
	}()
	return result
}

// majorityAnswers reports whether a majority of each list answers, without the node that is excepted. The zero Fence fences
// no holder.
func (l *Lease) majorityAnswers(ctx context.Context, lists [][]Voter, except string) bool {
	f := fencing{
		lease:   l,
		awaited: lists,
		except:  except,
	}
	return f.majorityAnswers(ctx)
}

// leavesToContested reports whether this claimant leaves the service to the contested holder for now. It does until a
// majority of its voters answers and the holder is known to have given up or doesn't respond for holderTimeout, but no
// longer than maxFencing.
func (l *Lease) leavesToContested(ctx context.Context) bool {
	l.mu.Lock()
	holder, lists, replaced := l.latest.Record.Contested, l.awaitedVoters, l.replaced.Revision
	timedOut := clock.Since(l.acquiredAt) > l.maxFencing()
	l.mu.Unlock()
	if holder == nil || len(lists) == 0 || timedOut || l.Peers.GaveUpAt(holder.Revision) != 0 {
		return false
	}
	reached := l.majorityAnswers(ctx, lists, holder.Node)
	responds := reached && l.Peers.Responds(ctx, holder.record())
	if !responds && holder.Revision != replaced && l.Peers.Stopped(ctx, holder.record()) {
		l.endContest(holder)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markVotersUnreachable(len(lists))
	switch {
	case !reached:
		l.votersReachedAt = 0
	case responds || l.votersReachedAt == 0:
		l.votersReachedAt = clock.Now()
	}
	return l.votersReachedAt == 0 || clock.Since(l.votersReachedAt) < holderTimeout
}

// endContest records that the process of the contested holder has stopped: its node is asked like other voters. The holder that
// this process has replaced is checked by mustAwaitFormer; this one was contested before.
func (l *Lease) endContest(holder *ContestedHolder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest.Record.Contested == holder {
		l.latest.Record.Contested = nil
	}
}

// reclaimedLately reports whether the holder has taken the service back within reclaimedHold, and the record would contest
// its lease again.
func (l *Lease) reclaimedLately(former VersionedRecord, claim Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return claim.Contested != nil && former.Record.Reclaimed && clock.Since(l.latestChangedAt) < reclaimedHold
}

// ContestedHolder returns the holder that may take the service back from the claimant in the latest record, or nil.
func (l *Lease) ContestedHolder() *ContestedHolder {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.latest.Stored.Exists() || l.latest.restored() || l.validUntil != 0 {
		return nil
	}
	return l.latest.Record.Contested
}
