package limit

import (
	"math"
	"time"
)

const (
	// minBaseline is how many service times of a kind of statement the baseline needs before others are compared with it.
	minBaseline = 48

	// baselineSamples is over how many service times of a kind the baseline averages. A member's change of speed must not
	// become the baseline before it is tried.
	baselineSamples = 512

	// maxKinds is how many kinds are kept. Beyond it all are dropped, as routes come and go with the configuration.
	maxKinds = 1024
)

// Baseline holds the mean service time of each kind of statement over all members, in logarithms. Statements of different
// kinds become comparable by it. The zero Baseline is empty and ready to use.
type Baseline[K comparable] struct {
	means map[K]mean
}

// Ratio returns the ratio of a service time to the mean of its kind, and adds it to the mean. It returns false while the
// kind has too few samples. The service time must be above zero.
func (b *Baseline[K]) Ratio(kind K, service time.Duration) (float64, bool) {
	if b.means == nil {
		b.means = map[K]mean{}
	}
	m, found := b.means[kind]
	if !found && len(b.means) >= maxKinds {
		clear(b.means)
	}
	y := math.Log(float64(service))
	ratio, known := math.Exp(y-m.value), m.count >= minBaseline
	m.add(y, baselineSamples)
	b.means[kind] = m
	return ratio, known
}
