package limit

import (
	"math"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// minSamples is how many samples a mean needs before it is used.
	minSamples = 32

	// recentSamples is how many samples choose the lower bound of a trial. They are few, because a trial begins soon
	// after the change.
	recentSamples = 8

	// minRise is by how much the mean logarithm of the ratio at full load must exceed that at low load before a trial.
	// It is above three standard errors of the difference for a log-normal spread of 0.7.
	minRise = 0.47

	// unknownRise is the rise from which the first trial of a member is chosen if its low load is unknown, and unknownDelay
	// how long it must have been full before. A backlog after a change of the holder has mostly gone by then.
	unknownRise  = 1.1
	unknownDelay = 2 * time.Second

	// fullGap is the time without samples at full load after which a member counts as newly full.
	fullGap = 500 * time.Millisecond

	// fullShare is the part of the bound that must run for a sample to count as one at full load. It is below the
	// share that is left when a round trip delays the next statement.
	fullShare = 0.75

	// maxSampleRatio and its inverse bound the ratio of a sample.
	maxSampleRatio = 100.0

	// firstRaiseDelay is the delay from a reduction to the first trial of a higher limit. It doubles with each trial
	// that fails, up to maxRaiseDelay.
	firstRaiseDelay = 500 * time.Millisecond
	maxRaiseDelay   = 4 * time.Second

	// evidenceAge is how long a limit is kept without samples at full load, which are the ones that could change it.
	evidenceAge = 10 * time.Second

	// refusalInterval is the least time between two reductions because of refusals: refusals of statements that ran
	// together have one cause.
	refusalInterval = 100 * time.Millisecond

	// raiseAnswers is how many answers for each statement of the bound raise a limit that refusals have set by one.
	raiseAnswers = 8

	// idleSamples is how many consecutive samples without waiting statements end a trial.
	idleSamples = 16
)

// Limit is the learned limit of one member. Once Slots is set, the zero value of the other fields is ready to use. It
// is not safe for concurrent use.
type Limit struct {
	// Slots is how many statements the member runs at once, as it announces. It may change at any time.
	Slots int

	// learned is the limit, or zero while there is none.
	learned int

	// probe is how many statements may run from a failure to the next answer, or zero.
	probe int

	// low and high are the mean logarithms of the ratio at no more than half of the slots, and at full load.
	low, high mean

	// recent is the mean logarithm of the ratio of the last recentSamples at full load.
	recent mean

	// trial is the comparison under way, or nil.
	trial *trial

	// raiseAt is when a higher limit may be tried, raiseDelay the delay after the next failed trial.
	raiseAt    clock.Time
	raiseDelay time.Duration

	// running is how many statements run since changedAt. usage is the integral of their number over time until then.
	running   int
	changedAt clock.Time
	usage     float64

	// lastFull is the time of the last sample at full load, fullSince that of the first one without a gap before.
	lastFull, fullSince clock.Time

	// refused is set if learned is due to refusals. refusedAt is the time of the last reduction because of them, and
	// answers counts the answers since or since the last raise.
	refused   bool
	refusedAt clock.Time
	answers   int
}

// Sample describes a statement that the member ran.
type Sample struct {
	// Ratio is the service time of the statement without the round trip, divided by the one that is expected of a
	// member without load. It is above zero.
	Ratio float64

	// Load is how many statements the member ran on average while it ran this one, itself included.
	Load float64

	// Waiting is set if statements waited for the member when this one ended.
	Waiting bool
}

// Bound returns how many statements may run on the member now. It is at least 1 and at most Slots. It differs from Learned
// during a trial.
func (l *Limit) Bound() int {
	if l.trial != nil {
		return l.clamp(l.trial.bound())
	}
	return l.Learned()
}

// Learned returns how many statements the member is assumed to run at once. It is Slots unless a limit was learned.
func (l *Limit) Learned() int {
	if l.learned == 0 {
		return l.clamp(l.Slots)
	}
	return l.clamp(l.learned)
}

// Limited reports whether a limit below the announced slots was learned.
func (l *Limit) Limited() bool {
	return l.learned != 0 && l.Learned() < l.Slots
}

// Probe returns how many statements may run until the next answer, which is one more than ran when a statement failed.
// It is zero if none has failed since the last answer.
func (l *Limit) Probe() int {
	return l.probe
}

// SetRunning records how many statements run on the member from now on.
func (l *Limit) SetRunning(now clock.Time, n int) {
	l.usage = l.Usage(now)
	l.running, l.changedAt = n, now
}

// Usage returns the time that statements ran until now, in statements times nanoseconds. The difference of two values is
// the mean number of running statements times the duration between them.
func (l *Limit) Usage(now clock.Time) float64 {
	return l.usage + float64(l.running)*float64(now.Sub(l.changedAt))
}

// Failed records that a statement or a connection got no answer while the given number of other statements ran.
func (l *Limit) Failed(others int) {
	l.probe = max(0, others) + 1
	l.trial = nil
}

// Alive records an answer that isn't a sample, such as one with a fault.
func (l *Limit) Alive() {
	l.probe = 0
}

// Refused records that the member had no room for a statement, with how many of this process it was running.
func (l *Limit) Refused(now clock.Time, load float64) {
	l.probe = 0
	l.answers = 0
	if l.refusedAt != 0 && now.Sub(l.refusedAt) < refusalInterval {
		return
	}
	running := min(float64(l.Bound()), max(1, load))
	l.trial = nil
	l.set(now, int(running*3/4))
	l.refused = true
	l.refusedAt = now
	l.lastFull = now
}

// Answered records a statement that the member ran.
func (l *Limit) Answered(now clock.Time, s Sample) {
	l.probe = 0
	y := math.Log(min(max(s.Ratio, 1/maxSampleRatio), maxSampleRatio))
	full := s.Waiting && s.Load > fullShare*float64(l.Bound())
	if full {
		if l.lastFull == 0 || now.Sub(l.lastFull) > fullGap {
			l.fullSince = now
		}
		l.lastFull = now
	}
	if l.learned != 0 && now.Sub(l.lastFull) > evidenceAge {
		l.clear()
	}
	if l.trial != nil {
		l.trial.add(s, y)
		l.finishTrial(now)
		return
	}
	switch {
	case full:
		l.high.add(y, minSamples)
		l.recent.add(y, recentSamples)
		l.answers++
		l.react(now)
	case s.Load <= float64(l.Slots)/2:
		l.low.add(y, minSamples)
	}
}

// react raises the limit or starts a trial, if the samples at full load give cause for it.
func (l *Limit) react(now clock.Time) {
	bound := l.Learned()
	if l.refused && l.learned != 0 {
		if l.answers >= raiseAnswers*bound {
			l.answers = 0
			l.set(now, bound+1)
		}
		return
	}
	if l.high.count < minSamples {
		return
	}
	known := l.low.count >= minSamples
	switch rise := l.high.value - l.low.value; {
	case bound > 1 && !known && now.Sub(l.fullSince) > unknownDelay:
		l.trial = newTrial(lowerBound(bound, unknownRise), bound)
	case bound > 1 && known && rise > minRise:
		l.trial = newTrial(lowerBound(bound, max(l.recent.value-l.low.value, minRise)), bound)
	case known && rise < -minRise:
		l.low = l.high
	case l.learned != 0 && now >= l.raiseAt:
		l.trial = newTrial(bound, bound+1)
	}
}

// lowerBound returns the bound that a trial compares with the present one. It is about the load from which the member
// slows down if the whole rise is due to load, at a service time that is proportional to the square of the load. At
// least half of the bound stays in use.
func lowerBound(bound int, rise float64) int {
	n := int(math.Round(float64(bound) * math.Exp(-rise/2)))
	return min(max(n, bound/2, 1), bound-1)
}

// finishTrial ends the trial if it is decided, and applies its result.
func (l *Limit) finishTrial(now clock.Time) {
	t := l.trial
	if t.idle >= idleSamples {
		l.trial = nil
		l.high = mean{}
		return
	}
	raising := t.low == l.Learned()
	steep, decided := t.result(raising)
	if !decided {
		return
	}
	l.trial = nil
	switch {
	case raising && steep:
		l.raiseDelay = min(2*max(l.raiseDelay, firstRaiseDelay/2), maxRaiseDelay)
		l.raiseAt = now.Add(l.raiseDelay)
	case raising:
		l.raiseDelay = 0
		l.set(now, t.high)
		l.raiseAt = now
	case steep:
		l.set(now, t.low)
	default:
		l.low = t.expected()
	}
	l.high = mean{}
}

// set changes the learned limit. A limit of at least Slots is none.
func (l *Limit) set(now clock.Time, n int) {
	if n >= l.Slots {
		l.clear()
		return
	}
	if l.learned == 0 || n < l.learned {
		l.raiseAt = now.Add(max(l.raiseDelay, firstRaiseDelay))
	}
	l.learned = max(1, n)
	l.high = mean{}
}

// clear removes the learned limit.
func (l *Limit) clear() {
	l.learned, l.raiseDelay, l.refused = 0, 0, false
	l.trial = nil
	l.high = mean{}
}

func (l *Limit) clamp(n int) int {
	return max(1, min(n, l.Slots))
}

// mean is a moving average. The first samples have equal weight.
type mean struct {
	value float64
	count int
}

// add adds a sample to the mean of about the last n.
func (m *mean) add(y float64, n int) {
	m.count = min(m.count+1, n)
	m.value += (y - m.value) / float64(m.count)
}
