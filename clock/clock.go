// Package clock tells the time since the machine started, suspensions included.
//
// Go's monotonic clock stands still while a VM is suspended, so an age that it measures may be
// seconds too low. Whatever must lapse by itself is measured here:
//
//	lapse := clock.Now() + clock.Time(ttl)
//	valid := clock.Now() < lapse
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, as the duration since the machine started.
type Time time.Duration

// Now returns the time. It never goes back, and it counts suspensions.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it no lease can be trusted.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Since returns the duration from t to now.
func Since(t Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the duration from now to t.
func Until(t Time) time.Duration {
	return t.Sub(Now())
}
