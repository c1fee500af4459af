package main

import (
	"context"
	"time"

	"egretlane.example/egret/clock"
	"egretlane.example/egret/fleet"
	"egretlane.example/egret/front"
)

// reachInterval is how often the process looks whether it reaches the services. It is a part of the
// second between two questions of the platform for readiness.
const reachInterval = 250 * time.Millisecond

// watchReach turns callers away while the process is cut off from most services, until the context ends.
func (n *node) watchReach(ctx context.Context) error {
	i := fleet.Isolation{}
	tick := time.NewTicker(reachInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.judgeReach(&i)
		}
	}
}

func (n *node) judgeReach(i *fleet.Isolation) {
	services, lost := n.fleet.Reach()
	isolated, move := i.Judge(clock.Now(), services, lost)
	if n.isolated.Swap(isolated) != isolated {
		n.trail.Event("process-isolated").Bool("isolated", isolated).Int("services", services).Int("lost", lost).
			Msg("readiness follows whether most services can be reached")
	}
	if move && !n.leaving.Load() {
		n.front.EndResting(front.RestTime, i.Since)
	}
}
