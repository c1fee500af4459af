package lease

import (
	"context"
	"slices"
	"sync"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// fencing is the requests of a successor to the voters of former holders.
type fencing struct {
	lease   *Lease
	request Fence

	// except is the node of a contested holder, which isn't asked: the request would end its lease. It is "" if there is none.
	except string

	// own are the voters of the successor. everyone are all processes if a former holder may be unknown, else nil.
	own, everyone []Voter

	// cancel ends the requests that start has begun. It is nil before.
	cancel context.CancelFunc

	// mu guards the fields below until the requests end. ended says that they have.
	mu    sync.Mutex
	ended bool

	// awaited are the lists of voters of former holders whose leases may still be valid, unasked those of holders that have
	// stopped.
	awaited, unasked [][]Voter

	// timedOut says that voters that don't answer aren't waited for any more.
	timedOut bool

	// untried is the number of voters whose first request hasn't ended yet.
	untried int

	// refusing are the voters that refuse further promises, complete those that remember every intent.
	refusing, complete []Voter

	// intent is the newest intent that is known.
	intent Intent

	// expiry is when the last promise to a former holder expires that is known.
	expiry clock.Time
}

// serves reports whether the requests are those of the successor with the revision.
func (f *fencing) serves(revision egret.Revision, except string, everyone []Voter) bool {
	return f.request.Revision == revision && f.except == except &&
		len(f.everyone) == len(everyone) && countIn(everyone, f.everyone) == len(everyone)
}

// voters returns all voters that are asked.
func (f *fencing) voters() []Voter {
	all := union(slices.Concat(f.awaited, f.unasked, [][]Voter{f.everyone}))
	return slices.DeleteFunc(all, func(v Voter) bool { return v.Node == f.except })
}

// majorityAnswers asks each voter once, and reports whether enough of them answer to refuse promises to all former holders.
func (f *fencing) majorityAnswers(ctx context.Context) bool {
	enough := make(chan struct{})
	finish := sync.OnceFunc(func() { close(enough) })
	wg := sync.WaitGroup{}
	for _, v := range f.voters() {
		wg.Go(func() {
			f.ask(ctx, v)
			if f.pending() == 0 {
				finish()
			}
		})
	}
	go func() {
		wg.Wait()
		finish()
	}()
	<-enough
	f.end()
	return f.pending() == 0
}

// start begins to ask the voters, each on its own until it answers, so that none that doesn't answer delays the others. It
// wakes the Lease when the outcome is decided.
func (f *fencing) start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	voters := f.voters()
	f.untried = len(voters)
	for _, v := range voters {
		go func() {
			for first := true; ctx.Err() == nil; first = false {
				answered := f.ask(ctx, v)
				f.mu.Lock()
				if first {
					f.untried--
				}
				f.mu.Unlock()
				if f.decided() {
					f.lease.wake()
				}
				if answered {
					return
				}
				f.lease.sleep(ctx, checkInterval)
			}
		}()
	}
}

// end makes later answers change nothing, and ends the requests that start has begun.
func (f *fencing) end() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// ask sends the request to a voter and records the answer. It reports whether there is one.
func (f *fencing) ask(ctx context.Context, v Voter) bool {
	l := f.lease
	reply, err := FenceReply{}, error(nil)
	if v.Node == l.Self.Node {
		reply = l.Fence(f.request)
	} else {
		reply, err = l.Peers.RequestFence(ctx, v, l.Service, f.request)
	}
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return true
	}
	f.refusing = append(f.refusing, v)
	if reply.Complete {
		f.complete = append(f.complete, v)
	}
	f.expiry = max(f.expiry, clock.Now().Add(reply.Remaining))
	if reply.Intent.Order > f.intent.Order {
		f.intent = reply.Intent
	}
	return true
}

// allTried reports whether each voter has been asked at least once.
func (f *fencing) allTried() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.untried == 0
}

// decided reports whether further answers can't change the result: any two majorities have a voter in common. Voters that don't
// remember every intent are the last ones waited for, unless too few that do are left.
func (f *fencing) decided() bool {
	if f.pending() > 0 {
		return false
	}
	f.mu.Lock()
	untried, timedOut, hopeless := f.untried, f.timedOut, false
	for _, list := range slices.Concat(f.awaited, f.unasked) {
		hopeless = hopeless || countIn(list, f.refusing)-countIn(list, f.complete) >= majority(list)
	}
	f.mu.Unlock()
	return timedOut || untried == 0 || hopeless || !f.incomplete()
}

// pending returns how many lists have too few voters that refuse promises.
func (f *fencing) pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timedOut {
		return 0
	}
	n := 0
	for _, list := range slices.Concat(f.awaited, f.unasked) {
		if countIn(list, f.refusing) < majority(list) {
			n++
		}
	}
	if len(f.everyone)-countIn(f.everyone, f.refusing) > maxUnreached(f.own) {
		n++
	}
	return n
}

// incomplete reports whether a majority of a list may have received an intent that no answer has.
func (f *fencing) incomplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range slices.Concat(f.awaited, f.unasked) {
		if len(list)-countIn(list, f.complete) >= majority(list) {
			return true
		}
	}
	return false
}
