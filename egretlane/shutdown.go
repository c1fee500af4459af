package main

import (
	"context"
	"net"
	"sync"
	"time"

	"egretlane.example/egret/front"
)

const (
	// unreadyDelay is how long the platform may still send new connections after the process has become not ready:
	// two readiness checks, a second apart, and a margin.
	unreadyDelay = 2200 * time.Millisecond

	// idleDrainTimeout is how long the shutdown waits for sessions to be idle for front.MinIdleTime before it also ends
	// those that have just answered, whose next statement may be on its way.
	idleDrainTimeout = 1200 * time.Millisecond

	// exitReserve is the part of the grace period that is left when the process stops waiting for running statements.
	exitReserve = 600 * time.Millisecond

	// laneDrainTimeout is how long a lane waits for its transactions to end before its service is released.
	laneDrainTimeout = 500 * time.Millisecond
)

// shutDown leaves the fleet: it releases the services to other processes, and ends the sessions when they are idle.
func (n *node) shutDown(callers net.Listener) {
	start := time.Now()
	n.shuttingDown.Store(true)
	n.eventLog.Event("process-leaving").Int("services", len(n.fleet.Lanes())).Msg("process is shutting down")
	n.fleet.Leave()
	wg := sync.WaitGroup{}
	for _, l := range n.fleet.Lanes() {
		wg.Go(func() {
			l.Drain(laneDrainTimeout)
			if held := n.fleet.Lease(l.Service); held != nil {
				held.Release(context.Background(), n.fleet.Successor(l.Service))
			}
		})
	}
	wg.Wait()
	time.Sleep(unreadyDelay - time.Since(start))
	n.front.Drain(front.MinIdleTime, idleDrainTimeout)
	// Callers that still connect are refused from now on and connect to another process. Running statements get their
	// answers.
	closeListener(callers)
	left := n.front.Drain(0, time.Duration(n.settings.ShutdownGrace)-exitReserve-time.Since(start))
	n.eventLog.Event("sessions-ended").Int("left", left).Dur("elapsed", time.Since(start)).Msg("sessions ended")
}
