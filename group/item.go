package group

import (
	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/floor"
	"egretlane.example/egret/sched"
)

// item returns the statement as the queue sees it.
func (l *Lane) item(w *egret.Work, arrived clock.Time, need sched.Need) *sched.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := &sched.Item{
		Need:     need,
		Priority: w.Priority,
		Cost: l.costs.of(costKey{
			route:  w.Route,
			writes: w.Writes,
		}),
		Arrived:  arrived,
		Due:      arrived.Add(w.Target),
		Deadline: arrived.Add(w.Timeout),
	}
	if need == sched.NeedAny {
		it.Floor = l.floorOf(w, arrived)
	}
	return it
}

// floorOf returns the position from which on a log may serve the read. The caller holds mu.
func (l *Lane) floorOf(w *egret.Work, arrived clock.Time) egret.Position {
	return l.history.Read(w.Kind, arrived, w.MaxStaleness, floor.Own{
		Position: w.Own,
		Term:     w.OwnTerm,
	})
}

// renewFloor takes the floor anew: a promotion may have rolled back what the old one asked for.
func (l *Lane) renewFloor(it *sched.Item, w *egret.Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.Floor = l.floorOf(w, it.Arrived)
}

// sendFloor returns the position that the member has to check before it runs the statement. It is
// taken anew, as the statement may have waited since before the history was known.
func (l *Lane) sendFloor(m *member, it *sched.Item, w *egret.Work) egret.Position {
	if it.Need != sched.NeedAny {
		return egret.Position{}
	}
	l.renewFloor(it, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.view.Primary {
		return egret.Position{}
	}
	return it.Floor
}

// need says which members may run a statement that doesn't continue a transaction.
func need(w *egret.Work) sched.Need {
	if w.Writes || w.Begin == egret.VerbBegin {
		return sched.NeedPrimary
	}
	return sched.NeedAny
}
