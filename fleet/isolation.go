package fleet

import (
	"time"

	"egretlane.example/egret/clock"
)

// sessionMoveDelay is how long a process is isolated before its sessions are moved. The platform checks
// readiness every second and removes a process after two failed checks, so by then it sends new
// connections to other processes.
const sessionMoveDelay = 2200 * time.Millisecond

// Isolation decides whether callers would be served better by other processes. A process is isolated
// while it can't run statements for more than half of the services. The zero value is ready to use. It
// is not safe for concurrent use.
type Isolation struct {
	// Since is the time at which the process became isolated, or zero if it isn't isolated.
	Since clock.Time
}

// Update takes the number of services and how many of them are lost, as Reachability returns them. It reports
// whether the process is isolated, and whether its sessions should move to other processes. That applies
// only to sessions that began before Since: later ones came here because no other process takes callers.
func (i *Isolation) Update(now clock.Time, services, lost int) (isolated, move bool) {
	if 2*lost <= services {
		i.Since = 0
		return false, false
	}
	if i.Since == 0 {
		i.Since = now
	}
	return true, now.Sub(i.Since) >= sessionMoveDelay
}

// Reachability returns the number of services, and how many of them are lost: statements for these that callers
// send to this process are refused at once.
func (f *Fleet) Reachability() (services, lost int) {
	leases := f.allLeases()
	for _, l := range leases {
		if f.unavailableCause(l.Service) != "" {
			lost++
		}
	}
	return len(leases), lost
}
