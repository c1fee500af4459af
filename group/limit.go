package group

import (
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/limit"
)

// MemberLimit is how many statements a member is assumed to run at once.
type MemberLimit struct {
	// Member is the ID of the member.
	Member string

	// Slots is how many statements the member announces to run at once, and Limit how many it is assumed to.
	Slots, Limit int
}

// Limits returns the limits of the members, in the order of IDs.
func (l *Lane) Limits() []MemberLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []MemberLimit{}
	for _, v := range l.views {
		out = append(out, MemberLimit{
			Member: v.ID,
			Slots:  v.Slots,
			Limit:  l.members[v.ID].limit.Learned(),
		})
	}
	return out
}

// usageOf returns the current time, and the time that statements ran on the member until now; see limit.Limit.Usage.
func (l *Lane) usageOf(m *member) (clock.Time, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	return now, m.limit.Usage(now)
}

// loadSince returns how many statements ran on the member on average since usageOf returned the given values.
func (l *Lane) loadSince(m *member, began clock.Time, usage float64) float64 {
	now, later := l.usageOf(m)
	return (later - usage) / float64(max(1, now.Sub(began)))
}

// limitAfterAnswer updates the member's limit from the service time of a statement. load includes the statements on their
// way to or from the member. The caller holds mu.
func (l *Lane) limitAfterAnswer(m *member, k costKey, service time.Duration, load float64) {
	ratio, known := l.baseline.Ratio(k, service)
	if !known {
		m.limit.Alive()
		l.applyLimit(m)
		return
	}
	present := float64(l.costs.expected(k)) * max(1, m.view.Slowness)
	m.limit.Answered(clock.Now(), limit.Sample{
		Ratio:   ratio,
		Load:    load * present / (present + float64(m.view.RoundTrip)),
		Waiting: l.queue.Len() > 0,
	})
	l.applyLimit(m)
}

// limitAfterFault updates the member's limit from an answer with a fault.
func (l *Lane) limitAfterFault(m *member, kind egret.FaultKind, load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == egret.FaultBusy {
		m.limit.Refused(clock.Now(), load)
	} else {
		m.limit.Alive()
	}
	l.applyLimit(m)
}

// limitAfterFailure updates the member's limit after a statement or a connection without an answer. The caller holds mu.
func (l *Lane) limitAfterFailure(m *member) {
	m.limit.Failed(m.view.Running)
	l.applyLimit(m)
}

// applyLimit passes the member's limit to the queue, and logs the beginning and the end of a learned limit. The caller
// holds mu.
func (l *Lane) applyLimit(m *member) {
	limited := m.view.Capacity > 0 && m.view.Capacity < m.view.Slots
	m.view.Limit, m.view.Capacity, m.view.Probe = m.limit.Bound(), m.limit.Learned(), m.limit.Probe()
	if m.limit.Limited() == limited {
		return
	}
	name, text := "member-limited", "the member is assumed to run fewer statements at once than it announces"
	if limited {
		name, text = "member-unlimited", "the member is assumed to run as many statements at once as it announces"
	}
	l.EventLog.Event(name).Str("service", l.Service).Str("member", m.id).Int("limit", m.view.Capacity).
		Int("slots", m.view.Slots).Float64("slowness", m.view.Slowness).Msg(text)
}
