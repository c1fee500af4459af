package group

import (
	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/floor"
	"egretlane.example/egret/sched"
)

// newItem returns the queue item of the statement.
func (l *Lane) newItem(w *egret.StatementRequest, arrived clock.Time, need sched.Need) *sched.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := &sched.Item{
		Need:      need,
		Priority:  w.Priority,
		Workspace: w.Workspace,
		Weight:    l.weights[w.Workspace],
		Route:     w.Route,
		Domain:    w.Domain,
		Opens:     need != sched.NeedMember && w.Begin != egret.VerbInvalid,
		Cost: l.costs.expected(costKey{
			route:  w.Route,
			writes: w.Writes,
		}),
		Arrived:  arrived,
		Due:      arrived.Add(w.LatencyTarget),
		Deadline: arrived.Add(w.Timeout),
	}
	if need == sched.NeedAny {
		it.Floor = l.floorOf(w, arrived)
	}
	return it
}

// floorOf returns the lowest position that a member's log must have reached to serve the read. The caller holds mu.
func (l *Lane) floorOf(w *egret.StatementRequest, arrived clock.Time) egret.Position {
	return l.history.ReadFloor(w.Consistency, arrived, w.MaxStaleness, floor.SessionCommit{
		Position: w.LastCommit,
		Term:     w.LastCommitTerm,
	})
}

// refreshFloor computes the item's floor again: a promotion may have rolled back the commits that the old floor
// includes.
func (l *Lane) refreshFloor(it *sched.Item, w *egret.StatementRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.Floor = l.floorOf(w, it.Arrived)
}

// refreshedFloor returns the position that the member has to check before it runs the statement. It computes the
// floor again, as the statement may have been queued before the history was complete.
func (l *Lane) refreshedFloor(m *member, it *sched.Item, w *egret.StatementRequest) egret.Position {
	if it.Need != sched.NeedAny {
		return egret.Position{}
	}
	l.refreshFloor(it, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.view.Primary {
		return egret.Position{}
	}
	return it.Floor
}

// needOf returns which members may run a statement that doesn't continue a transaction.
func needOf(w *egret.StatementRequest) sched.Need {
	if w.Writes || w.Begin == egret.VerbBegin {
		return sched.NeedPrimary
	}
	return sched.NeedAny
}
