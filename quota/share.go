package quota

import (
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

const (
	// DefaultWindow is the length of the sliding window that bounds are stated for, unless the settings have another one.
	DefaultWindow = 5 * time.Second

	// ServicesDelay is how long a larger number of services stays in use after it has fallen, and how long the buckets of an
	// added service stay empty: twice the time until a configuration is in force at all processes.
	ServicesDelay = 10 * time.Second
)

// Settings relate the quotas of workspaces to the bound on their operations: in any Window, a workspace runs at most
// (Rate x Window + Burst) x (1 + Overage) + Slack operations.
type Settings struct {
	// Window is the length of the sliding window. It is above zero.
	Window time.Duration

	// Overage is a fraction of the quota and Slack a number of operations. Both are at least zero.
	Overage, Slack float64
}

// share is the part of a workspace's quota that belongs to one service: tokens per second, and the most that a bucket
// holds.
type share struct {
	rate, depth float64
}

// share returns the share of one of n services. Half of the overage and a quarter of the slack are left for requests that
// proxies repeat and for changes of the configuration. A bucket that holds less than a token admits nothing, so that the
// depth is at least one token where the window has as many. What it gains is taken from the rate, so that no window
// exceeds the bound.
func (s Settings) share(q egret.Quota, n int) share {
	rate := q.Rate * (1 + s.Overage/2)
	depth := q.Burst*(1+s.Overage/2) + s.Slack*3/4
	if services := float64(n); depth < services {
		total := rate*s.Window.Seconds() + depth
		depth = min(services, total)
		rate = (total - depth) / s.Window.Seconds()
	}
	return share{
		rate:  rate / float64(n),
		depth: depth / float64(n),
	}
}

// Services are the services that share the quotas. Processes learn of a change at different times. A larger number takes effect
// at once, a smaller one after ServicesDelay, and the buckets of a service that was added begin to fill after ServicesDelay, so
// that the shares in use never add up to more than the quota. The zero Services has none yet.
type Services struct {
	counts []serviceCount

	// addedAt has the services of the newest configuration, with the time at which they were added, or zero for those of
	// the first configuration that this process has seen.
	addedAt map[string]clock.Time
}

// serviceCount is a number of services that is in use until a time, or for good if that is zero.
type serviceCount struct {
	n     int
	until clock.Time
}

// Set sets the names of the services of a new configuration.
func (s *Services) Set(now clock.Time, names []string) {
	former := s.addedAt
	s.addedAt = map[string]clock.Time{}
	for _, name := range names {
		at, known := former[name]
		if former != nil && !known {
			at = now
		}
		s.addedAt[name] = at
	}
	last := len(s.counts) - 1
	if last >= 0 && s.counts[last].n == len(names) {
		return
	}
	if last >= 0 {
		s.counts[last].until = now.Add(ServicesDelay)
	}
	s.counts = append(s.counts, serviceCount{
		n: len(names),
	})
}

// Count returns the number in use, which is at least one.
func (s *Services) Count(now clock.Time) int {
	most := 1
	kept := s.counts[:0]
	for _, c := range s.counts {
		if c.until == 0 || now < c.until {
			most = max(most, c.n)
			kept = append(kept, c)
		}
	}
	s.counts = kept
	return most
}

// Opening returns how the buckets of a service begin that this process holds from now on. first says that no process has ever
// held it, unusedSince is a time since which no other has used it, or zero. It reports false if the service is not in the
// configuration, so that its buckets stay empty.
func (s *Services) Opening(now clock.Time, service string, first bool, unusedSince clock.Time) (Opening, bool) {
	addedAt, known := s.addedAt[service]
	o := Opening{
		At:         now,
		Full:       first && addedAt == 0,
		RefillFrom: now,
	}
	if unusedSince != 0 {
		o.RefillFrom = min(now, unusedSince)
	}
	if addedAt != 0 {
		o.RefillFrom = max(now, addedAt.Add(ServicesDelay))
	}
	return o, known
}
