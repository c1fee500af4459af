package peer

import "time"

// Bytes that repairs and urgent news may take beyond the regular rounds.
const (
	allowanceRate  = 3 << 10
	allowanceBurst = 512 << 10
)

// allowance is a token bucket of bytes.
type allowance struct {
	// level is how many bytes may go at the time at. It may be below zero after a large message.
	level float64
	at    time.Time
}

func newAllowance(now time.Time) allowance {
	return allowance{
		level: allowanceBurst,
		at:    now,
	}
}

// take reports whether bytes may go now, and if so counts the given number.
func (a *allowance) take(bytes int, now time.Time) bool {
	a.level = min(allowanceBurst, a.level+allowanceRate*now.Sub(a.at).Seconds())
	a.at = now
	if a.level <= 0 {
		return false
	}
	a.level -= float64(bytes)
	return true
}
