package main

import (
	"context"
	"net"
	"time"

	"egretlane.example/egret/clock"
	"egretlane.example/egret/front"
	"egretlane.example/egret/lease"
)

const (
	// unreadyDelay is how long the platform may still send new connections after the process has become not ready:
	// two readiness checks, a second apart, and a margin. The shutdown waits for it during half of the grace period at most.
	unreadyDelay = 2200 * time.Millisecond

	// idleDrainTimeout is how long the shutdown waits for sessions to be idle for front.MinIdleTime before it also ends
	// those that have just answered, whose next statement may be on its way.
	idleDrainTimeout = 1200 * time.Millisecond

	// exitReserve is the part of the grace period that is left when the process stops waiting for sessions to end. The last
	// spans and log lines are written in it, and the process ends.
	exitReserve = spanFlushTimeout + logFlushTimeout + 100*time.Millisecond

	// answerReserve is the time between the last moment at which a statement is answered and the end of the sessions.
	answerReserve = 500 * time.Millisecond

	// laneDrainTimeout is how long a lane waits for its transactions to end before its service is released.
	laneDrainTimeout = 500 * time.Millisecond

	// handOverInterval is the interval at which a process that stops looks for leases that it still holds.
	handOverInterval = 50 * time.Millisecond

	// peerQuietTime is how long no statement of another process may be in progress before the process ends. The last
	// answers are written in it.
	peerQuietTime = 50 * time.Millisecond

	// peerPollInterval is the interval at which a process that ends looks for such statements.
	peerPollInterval = 5 * time.Millisecond
)

// shutDown leaves the fleet: it releases the services to other processes, and ends the sessions when they are idle. Each
// statement that was read is answered before the grace period ends. It returns once no connection of a caller is left,
// no lease is held and the statements of other processes are answered, or when the grace period is nearly over.
func (n *node) shutDown(callers net.Listener) {
	start := time.Now()
	// The grace period counts from the arrival of the signal.
	grace := time.Duration(n.settings.ShutdownGrace)
	delay := min(n.signalDelay(), grace/2)
	grace -= delay
	n.shuttingDown.Store(true)
	n.eventLog.Event("process-leaving").Int("services", len(n.fleet.Lanes())).Dur("delay", delay).Msg("process is shutting down")
	n.front.EndAt(clock.Now().Add(grace - exitReserve - answerReserve))
	n.fleet.Leave()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.handOver(ctx, start.Add(grace-exitReserve-answerReserve-front.LastStatementTime))
	time.Sleep(min(unreadyDelay, grace/2) - time.Since(start))
	end := start.Add(grace - exitReserve)
	n.front.Drain(front.MinIdleTime, min(idleDrainTimeout, time.Until(end)))
	// Callers that still connect are refused from now on and connect to another process. Running statements get their
	// answers.
	closeListener(callers)
	n.front.RefuseNew()
	left := n.front.Drain(0, time.Until(end))
	n.front.LogUnanswered()
	n.eventLog.Event("sessions-ended").Int("left", left).Dur("elapsed", time.Since(start)).Msg("sessions ended")
	held := n.awaitReleases(end)
	n.eventLog.Event("services-released").Int("left", held).Dur("elapsed", time.Since(start)).Msg("services released")
	left = n.awaitPeers(end)
	n.eventLog.Event("peers-answered").Int("left", left).Dur("elapsed", time.Since(start)).Msg("answered the statements of other processes")
}

// awaitReleases waits until this process holds no lease, but not beyond the given time. It returns the number of leases
// that are left.
func (n *node) awaitReleases(until time.Time) int {
	for {
		left := len(n.fleet.AcquiredLeases())
		if left == 0 || !time.Now().Before(until) {
			return left
		}
		time.Sleep(handOverInterval)
	}
}

// awaitPeers waits until the statements of other processes are answered, but not beyond the given time. It returns the number
// of those that are left.
func (n *node) awaitPeers(until time.Time) int {
	quietSince := time.Now()
	for {
		left, now := n.links.InProgress(), time.Now()
		if left > 0 {
			quietSince = now
		}
		if now.Sub(quietSince) >= peerQuietTime || !now.Before(until) {
			return left
		}
		time.Sleep(peerPollInterval)
	}
}

// handOver releases the services whose leases this process holds, until the context ends. A lease may become valid, or the
// store confirm that it was acquired, after the shutdown has begun. A service that no other process can take is kept until
// the given time.
func (n *node) handOver(ctx context.Context, keepUntil time.Time) {
	// No lease is acquired again once it is released.
	begun := map[*lease.Lease]bool{}
	for ctx.Err() == nil {
		for _, l := range n.fleet.AcquiredLeases() {
			if begun[l] {
				continue
			}
			begun[l] = true
			go n.release(ctx, l, keepUntil)
		}
		time.Sleep(handOverInterval)
	}
}

// release stops the use of a service and releases its lease, once another process can take it or at the given time.
func (n *node) release(ctx context.Context, l *lease.Lease, keepUntil time.Time) {
	successor := n.fleet.ConfirmSuccessor(ctx, l.Service)
	for successor == "" && time.Now().Before(keepUntil) && ctx.Err() == nil {
		time.Sleep(handOverInterval)
		successor = n.fleet.ConfirmSuccessor(ctx, l.Service)
	}
	if lane := n.fleet.Lane(l.Service); lane != nil {
		lane.Drain(laneDrainTimeout)
	}
	l.Release(context.Background(), successor)
}
