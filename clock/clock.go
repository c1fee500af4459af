// Package clock provides a monotonic clock that includes the time during which the machine is suspended.
//
// Go's monotonic clock stops while a VM is suspended, so an age that it measures may be seconds too
// low. Anything that must expire without further events, such as a lease, is measured with this clock:
//
//	expiresAt := clock.Now().Add(ttl)
//	valid := clock.Now() < expiresAt
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, as the duration since the machine started.
type Time time.Duration

// Now returns the current time. It never decreases, and it includes suspensions.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, no lease is safe.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Since returns the time elapsed since t.
func Since(t Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the duration until t. It is negative if t has passed.
func Until(t Time) time.Duration {
	return t.Sub(Now())
}
