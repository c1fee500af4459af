package group

import (
	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/internal/report"
)

// causeQuota is the cause of refusals for a used up quota in the report. Others are named for their fault.
const causeQuota = "quota"

// Report returns the state of the service for operators, without the buckets of quotas.
func (l *Lane) Report() report.Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := report.Service{
		Service:  l.Service,
		Waiting:  l.queue.Len(),
		Members:  []report.Member{},
		Buckets:  []report.Bucket{},
		Refusals: l.refusals.List(),
	}
	if l.hasPrimary {
		r.Primary = l.primary
	}
	for _, v := range l.views {
		m := l.members[v.ID]
		c := m.conns.Counts()
		r.Members = append(r.Members, report.Member{
			Member:  v.ID,
			Limit:   m.limit.Learned(),
			Slots:   v.Slots,
			Running: v.Running,
			Idle:    c.Idle,
			Opening: c.Opening,
			InUse:   c.InUse,
		})
	}
	return r
}

// refusedByMeter counts the operation against the quota of its workspace. It returns the answer and true if the operation must
// not run.
func (l *Lane) refusedByMeter(w *egret.StatementRequest, arrived clock.Time) (egret.Answer, bool) {
	fault := l.meter(w)
	if fault.Kind == egret.FaultNone {
		return egret.Answer{}, false
	}
	cause := fault.Kind.String()
	if fault.Kind == egret.FaultBusy {
		cause = causeQuota
	}
	return l.refuse(w, fault, cause, arrived), true
}
