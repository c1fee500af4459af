package main

import (
	"context"
	"time"

	"egretlane.example/egret/clock"
	"egretlane.example/egret/fleet"
	"egretlane.example/egret/front"
)

// isolationCheckInterval is how often the process checks how many services it can reach. It is a fraction of the
// second between two readiness checks of the platform.
const isolationCheckInterval = 250 * time.Millisecond

// minLoggedDelay is the least delay of a check that is logged. Peers wait little longer for the answer to a ping.
const minLoggedDelay = 200 * time.Millisecond

// signalWindow is how long after the end of a delay a signal that came during it may still be noticed.
const signalWindow = 2 * isolationCheckInterval

// watchIsolation reports the process as not ready while more than half of the services are out of its reach, until the
// context ends.
func (n *node) watchIsolation(ctx context.Context) error {
	i := fleet.Isolation{}
	tick := time.NewTicker(isolationCheckInterval)
	defer tick.Stop()
	n.checkedAt.Store(int64(clock.Now()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.logDelay(n.currentDelay())
			n.checkedAt.Store(int64(clock.Now()))
			n.updateIsolation(&i)
		}
	}
}

// currentDelay returns how long the next check is overdue.
func (n *node) currentDelay() time.Duration {
	checkedAt := clock.Time(n.checkedAt.Load())
	if checkedAt == 0 {
		return 0
	}
	return max(0, clock.Since(checkedAt)-isolationCheckInterval)
}

// signalDelay returns how long ago a signal may have come that is noticed now: as long as the process lacked processor time
// until now or shortly before.
func (n *node) signalDelay() time.Duration {
	delay := n.currentDelay()
	if d := n.lastDelay.Load(); d != nil && clock.Since(d.end) < signalWindow {
		delay = max(delay, d.length)
	}
	if delay < minLoggedDelay {
		return 0
	}
	return delay
}

// processorDelay is a time in which the process lacked processor time, or was suspended.
type processorDelay struct {
	end    clock.Time
	length time.Duration
}

// logDelay logs that a check began late. Requests of peers wait as long then, though the network is in order.
func (n *node) logDelay(delay time.Duration) {
	if delay >= minLoggedDelay {
		n.lastDelay.Store(&processorDelay{
			end:    clock.Now(),
			length: delay,
		})
		n.eventLog.Event("process-delayed").Dur("delay", delay).Msg("a timer of the process fired late: it lacks processor time, or was suspended")
	}
}

// updateIsolation checks once how many services are reachable. If sessions should move, it ends idle ones, so that
// their callers connect to other processes.
func (n *node) updateIsolation(i *fleet.Isolation) {
	services, lost := n.fleet.Reachability()
	isolated, moveSessions := i.Update(clock.Now(), services, lost)
	if n.isolated.Swap(isolated) != isolated {
		n.eventLog.Event("process-isolated").Bool("isolated", isolated).Int("services", services).Int("lost", lost).
			Msg("isolation changed: the process is not ready while more than half of the services are out of its reach")
	}
	if moveSessions && !n.shuttingDown.Load() {
		n.front.CloseIdle(front.MinIdleTime, i.Since)
	}
}
