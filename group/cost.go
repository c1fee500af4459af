package group

import (
	"strconv"
	"time"
)

const (
	// initialCost is the expected service time of a statement on a route without samples.
	initialCost = 10 * time.Millisecond

	// costWeight is the divisor of the moving average of a cost: each sample has a weight of 1/costWeight.
	costWeight = 24

	// slownessWeight is the divisor of the moving average of a member's slowness. It is smaller than
	// costWeight, so that a member that becomes slow is detected within a few statements.
	slownessWeight = 8

	// maxCosts is how many costs are kept. Beyond it all are dropped, as routes come and go with the configuration.
	maxCosts = 1024

	// maxSlowness bounds the slowness, so that a member that has recovered gets statements again.
	maxSlowness = 20
)

// costKey identifies a class of statements with a service time of its own.
type costKey struct {
	route  string
	writes bool
}

// costs holds moving averages of service times. The zero costs is empty and ready to use.
type costs struct {
	byKey map[costKey]time.Duration
}

// expected returns the expected service time of a statement on a member of slowness 1.
func (c *costs) expected(k costKey) time.Duration {
	if d, found := c.byKey[k]; found {
		return d
	}
	return initialCost
}

// learn adds the service time of a statement on a member of the given slowness, and returns the member's updated
// slowness. In the average of the cost, a sample counts as at most 8 times the expected cost.
func (c *costs) learn(k costKey, elapsed time.Duration, slowness float64) float64 {
	if c.byKey == nil {
		c.byKey = map[costKey]time.Duration{}
	}
	expected := c.expected(k)
	if _, found := c.byKey[k]; !found && len(c.byKey) >= maxCosts {
		clear(c.byKey)
	}
	normalized := time.Duration(float64(elapsed) / slowness)
	c.byKey[k] = max(time.Millisecond, expected+(min(normalized, 8*expected)-expected)/costWeight)
	ratio := min(float64(elapsed)/float64(expected), maxSlowness)
	return min(max(1, slowness+(ratio-slowness)/slownessWeight), maxSlowness)
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
