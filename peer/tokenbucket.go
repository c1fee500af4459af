package peer

import "time"

// Traffic of repairs and floods beyond the regular exchanges: the rate in bytes per second and the burst in bytes.
const (
	repairRate  = 3 << 10
	repairBurst = 256 << 10
)

// tokenBucket is a rate limiter that allows a token count below zero.
type tokenBucket struct {
	// burst is the maximum number of tokens, rate the number added per second.
	burst float64
	rate  float64

	// tokens is the number available at the time updated. It is negative after a take of more than was available.
	tokens  float64
	updated time.Time
}

func newTokenBucket(burst, rate float64, now time.Time) tokenBucket {
	return tokenBucket{
		burst:   burst,
		rate:    rate,
		tokens:  burst,
		updated: now,
	}
}

// take removes amount tokens and returns true if any token is available at the time now. Otherwise it returns
// false and removes none.
func (b *tokenBucket) take(amount int, now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(amount)
	return true
}
