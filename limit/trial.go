package limit

import "math"

const (
	// roundsPerBound is how many statements for each slot of a bound are sampled before the other bound is used. Both
	// bounds are then used for about the same time.
	roundsPerBound = 4

	// maxCycles is after how many uses of both bounds a trial is decided at the latest.
	maxCycles = 8

	// steepSlope is the slope from which the lower bound is better. At 1, both have the same throughput. Below it, the
	// higher bound has more, but much longer service times.
	steepSlope = 0.75

	// maxSlopeError is the highest standard error with which a trial is decided before its last cycle.
	maxSlopeError = 0.4
)

// trial compares two bounds: it alternates between them and fits the slope of the logarithm of the ratio over the
// logarithm of the load.
type trial struct {
	low, high int

	// idle counts the consecutive samples without waiting statements.
	idle int

	// n and the sums are those of all samples, with x and y as the logarithms of load and ratio.
	n, x, y, xx, xy, yy float64
}

func newTrial(low, high int) *trial {
	return &trial{
		low:  low,
		high: high,
	}
}

// cycle returns how many samples a use of both bounds has.
func (t *trial) cycle() int {
	return roundsPerBound * (t.low + t.high)
}

// bound returns the bound that is used now, the lower one first.
func (t *trial) bound() int {
	if int(t.n)%t.cycle() < roundsPerBound*t.low {
		return t.low
	}
	return t.high
}

func (t *trial) add(s Sample, y float64) {
	x := math.Log(max(1, s.Load))
	t.n++
	t.x += x
	t.y += y
	t.xx += x * x
	t.xy += x * y
	t.yy += y * y
	t.idle++
	if s.Waiting {
		t.idle = 0
	}
}

// slope returns the slope of the fit and its standard error. It returns false if the load hasn't varied.
func (t *trial) slope() (slope, stdErr float64, ok bool) {
	varX := t.xx - t.x*t.x/t.n
	if t.n < 3 || varX < 1e-6 {
		return 0, 0, false
	}
	slope = (t.xy - t.x*t.y/t.n) / varX
	residual := max(0, t.yy-t.y*t.y/t.n-slope*slope*varX)
	return slope, math.Sqrt(residual / (t.n - 2) / varX), true
}

// result reports whether the lower bound is better, and whether the trial is decided. At the end of the last cycle, a trial
// of a higher limit is decided by the slope alone, one of a lower limit only if the slope is certain.
func (t *trial) result(raising bool) (steep, decided bool) {
	samples := int(t.n)
	if samples < t.cycle() {
		return false, false
	}
	last := samples >= maxCycles*t.cycle()
	slope, stdErr, ok := t.slope()
	switch {
	case !ok:
		return false, last
	case stdErr <= maxSlopeError && slope-stdErr > steepSlope:
		return true, true
	case stdErr <= maxSlopeError && slope+stdErr < steepSlope:
		return false, true
	case raising:
		return slope > steepSlope, last
	default:
		return slope-stdErr > steepSlope, last
	}
}

// expected returns the mean logarithm of the ratio that the fit gives for the higher bound.
func (t *trial) expected() mean {
	value := t.y / t.n
	if slope, _, ok := t.slope(); ok {
		value += slope * (math.Log(float64(t.high)) - t.x/t.n)
	}
	return mean{
		value: value,
		count: minSamples,
	}
}
