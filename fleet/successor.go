package fleet

import (
	"context"
	"time"

	"egretlane.example/egret/clock"
	"egretlane.example/egret/link"
	"egretlane.example/egret/rank"
)

const (
	// freshRunAge is how long after its start a process counts as restarted lately. Rolling restarts reach a process
	// again after several times its shutdown grace period.
	freshRunAge = 30 * time.Second

	// maxSuccessorLoad is how many times as loaded as the best placed process a successor may be for which a stop is
	// less likely. A holder that is too loaded costs callers more than another move of the service.
	maxSuccessorLoad = 2

	// maxSuccessorPings is how many processes are asked whether they are leaving before one is chosen without an answer.
	maxSuccessorPings = 4
)

// The classes of successors, those for which a stop is least likely first.
const (
	restartedLately = iota
	inOtherDomain
	registered
	successorClasses
)

// ConfirmSuccessor returns the ID of the process that should hold a service that this one releases, or "" if there is none
// that isn't known to be leaving. It asks the process whether it is leaving, as many may stop at the same time. It takes
// the best one that doesn't answer if none of the first does.
func (f *Fleet) ConfirmSuccessor(ctx context.Context, service string) string {
	silent := map[string]bool{}
	for range maxSuccessorPings {
		id := f.successor(service, silent)
		f.mu.Lock()
		n, found := f.nodes[id]
		f.mu.Unlock()
		if !found {
			break
		}
		reply, err := f.Pool.Ping(ctx, n.Address)
		f.recordLeaving(reply)
		switch {
		case err != nil:
			silent[id] = true
		case !reply.Leaving:
			return id
		}
	}
	return f.Successor(service)
}

// Successor returns the ID of the process that should hold a service that this one releases, or "" if there is none. It is
// the best placed one of those that were restarted lately, which rolling restarts don't reach again soon, else of those
// in other failure domains, which aren't stopped for maintenance of this one, else of all.
func (f *Fleet) Successor(service string) string {
	return f.successor(service, nil)
}

// successor is Successor without the excluded processes.
func (f *Fleet) successor(service string, excluded map[string]bool) string {
	o := f.order(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestScore := [successorClasses]string{}, [successorClasses]uint64{}
	for _, n := range f.nodes {
		leaving, found := f.leavingRuns[n.ID]
		if n.ID == o.Holder || n.ID == f.Self.ID || excluded[n.ID] || found && leaving == n.Incarnation {
			continue
		}
		score := o.Score(n.candidate(), 0)
		for class, member := range f.successorClasses(n) {
			if member && (best[class] == "" || score < bestScore[class]) {
				best[class], bestScore[class] = n.ID, score
			}
		}
	}
	for class, id := range best {
		if id != "" && rank.Load(bestScore[class]) <= maxSuccessorLoad*rank.Load(bestScore[registered]) {
			return id
		}
	}
	return ""
}

// successorClasses returns the classes that the process is in. The caller holds mu.
func (f *Fleet) successorClasses(n Node) [successorClasses]bool {
	startSeenAt := f.runs[n.ID].startSeenAt
	return [successorClasses]bool{
		restartedLately: startSeenAt != 0 && clock.Since(startSeenAt) < freshRunAge,
		inOtherDomain:   n.Domain != f.Self.Domain,
		registered:      true,
	}
}

// recordLeaving records whether the run of the process that answered a ping is leaving.
func (f *Fleet) recordLeaving(reply link.PingReply) {
	if !reply.Leaving {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leavingRuns[reply.Node] = reply.Incarnation
}
