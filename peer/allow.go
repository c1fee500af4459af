package peer

import "time"

// Bytes that repairs and urgent news may take beyond the regular rounds.
const (
	allowanceRate  = 3 << 10
	allowanceBurst = 256 << 10
)

// allowance is a token bucket.
type allowance struct {
	// burst bounds level, rate is what comes back in a second.
	burst float64
	rate  float64

	// level is how much may be taken at the time at. It may be below zero after a large amount.
	level float64
	at    time.Time
}

func newAllowance(burst, rate float64, now time.Time) allowance {
	return allowance{
		burst: burst,
		rate:  rate,
		level: burst,
		at:    now,
	}
}

// take reports whether something may be taken now, and if so takes the amount.
func (a *allowance) take(amount int, now time.Time) bool {
	a.level = min(a.burst, a.level+a.rate*now.Sub(a.at).Seconds())
	a.at = now
	if a.level <= 0 {
		return false
	}
	a.level -= float64(amount)
	return true
}
