package fleet

import (
	"time"

	"egretlane.example/egret/clock"
)

// moveAfter is how long a process is isolated before its sessions are moved: by then the platform sends
// new connections to others, as it asks for readiness each second and takes a process out after two
// misses.
const moveAfter = 2200 * time.Millisecond

// Isolation judges whether callers are served better by other processes. The zero value is ready to use.
// It isn't safe for concurrent use.
type Isolation struct {
	// Since is when the process became isolated, or zero if it isn't.
	Since clock.Time
}

// Judge takes how many services there are, and for how many of them nothing that comes in here can be
// run. It reports whether the process is isolated, and whether its sessions should move: those that
// began before Since, as later ones came here because no other process takes callers.
func (i *Isolation) Judge(now clock.Time, services, lost int) (isolated, move bool) {
	if 2*lost <= services {
		i.Since = 0
		return false, false
	}
	if i.Since == 0 {
		i.Since = now
	}
	return true, now.Sub(i.Since) >= moveAfter
}

// Reach returns how many services there are, and for how many of them nothing that comes in here can be
// run in the next moments.
func (f *Fleet) Reach() (services, lost int) {
	claims := f.allClaims()
	for _, c := range claims {
		if f.hopeless(c.Service) != "" {
			lost++
		}
	}
	return len(claims), lost
}
