package main

import (
	"context"
	"net"
	"sync"
	"time"

	"egretlane.example/egret/front"
)

const (
	// rotationTime is how long the platform goes on to send new connections after the process has
	// said that it isn't ready: two questions, a second apart, and some.
	rotationTime = 2200 * time.Millisecond

	// restLimit is how long sessions have to come to rest, so that no statement is on its way to them
	// when they end.
	restLimit = 1200 * time.Millisecond

	// exitTime is what is left of the grace when the process ends whatever still runs.
	exitTime = 600 * time.Millisecond

	// laneTime is how long transactions on a lane have to end before its service is released.
	laneTime = 500 * time.Millisecond
)

// shutDown leaves the fleet: the services go to others, and the sessions end when they rest.
func (n *node) shutDown(callers net.Listener) {
	began := time.Now()
	n.leaving.Store(true)
	n.trail.Event("process-leaving").Int("services", len(n.fleet.Lanes())).Msg("the process was told to stop")
	n.fleet.Leave()
	wg := sync.WaitGroup{}
	for _, l := range n.fleet.Lanes() {
		wg.Go(func() {
			l.Drain(laneTime)
			if c := n.fleet.Claim(l.Service); c != nil {
				c.Release(context.Background(), n.fleet.Successor(l.Service))
			}
		})
	}
	wg.Wait()
	time.Sleep(rotationTime - time.Since(began))
	n.front.Drain(front.RestTime, restLimit)
	// Callers that are sent here nevertheless are refused now and go elsewhere; what runs gets its answer.
	closeListener(callers)
	left := n.front.Drain(0, time.Duration(n.settings.ShutdownGrace)-exitTime-time.Since(began))
	n.trail.Event("sessions-ended").Int("left", left).Dur("elapsed", time.Since(began)).Msg("the sessions were ended")
}
