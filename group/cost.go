package group

import (
	"strconv"
	"time"
)

const (
	// firstCost is what a statement of an unknown route is expected to take.
	firstCost = 10 * time.Millisecond

	// costWeight is the part of a learnt cost that one statement replaces, as 1/costWeight.
	costWeight = 24

	// slownessWeight is the same for the slowness of a member. It is smaller, so that a member that
	// turned slow is noticed within a few statements.
	slownessWeight = 8

	// maxSlowness bounds the slowness, so that a member that recovers is tried again.
	maxSlowness = 20
)

// costKey tells statements apart that take different times.
type costKey struct {
	route  string
	writes bool
}

// costs are learnt service times.
type costs struct {
	known map[costKey]time.Duration
}

// of returns how long a statement is expected to take on a member of usual speed.
func (c *costs) of(k costKey) time.Duration {
	if d, found := c.known[k]; found {
		return d
	}
	return firstCost
}

// learn takes the time of a statement on a member of the given slowness and returns the slowness as
// it looks after it.
func (c *costs) learn(k costKey, took time.Duration, slowness float64) float64 {
	if c.known == nil {
		c.known = map[costKey]time.Duration{}
	}
	expected := c.of(k)
	usual := time.Duration(float64(took) / slowness)
	c.known[k] = max(time.Millisecond, expected+(min(usual, 8*expected)-expected)/costWeight)
	ratio := min(float64(took)/float64(expected), maxSlowness)
	return min(max(1, slowness+(ratio-slowness)/slownessWeight), maxSlowness)
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
