package load

import (
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

func TestAuditFindsLostDoubledAndFalselyNotRun(t *testing.T) {
	entry := func(id string) walog.Entry {
		return walog.Entry{
			Changes: []walog.Change{
				{
					Operation: walog.Insert,
					ID:        id,
				},
			},
		}
	}
	runs := countInserts([]walog.Entry{entry("kept"), entry("twice"), entry("twice"), entry("ran")})
	a := Audit{}
	for _, o := range []orderOutcome{
		{id: "kept"},
		{id: "lost"},
		{id: "twice"},
		{id: "ran", failure: &egret.Failure{Outcome: egret.OutcomeNotRun}},
		{id: "absent", failure: &egret.Failure{Outcome: egret.OutcomeNotRun}},
		{id: "open", failure: &egret.Failure{Outcome: egret.OutcomeUnknown}},
		{id: "there", failure: &egret.Failure{Outcome: egret.OutcomeRejected, Code: codeUniqueViolation}},
	} {
		a.count(o, runs[o.id])
	}
	want := Audit{
		Placed:       3,
		Lost:         1,
		Duplicated:   2,
		NotRun:       2,
		NotRunButRan: 1,
		Unknown:      1,
	}
	if a != want {
		t.Errorf("audit %+v, want %+v", a, want)
	}
}

func TestStockOfAStatedAge(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &stock{
		changes: []stockChange{
			{count: 1, at: start},
			{count: 2, at: start.Add(time.Second)},
			{count: 3, at: start.Add(2 * time.Second)},
		},
	}
	for _, tt := range []struct {
		at   time.Duration
		want int
	}{
		{at: 0, want: 0},
		{at: 500 * time.Millisecond, want: 1},
		{at: 1500 * time.Millisecond, want: 2},
		{at: time.Hour, want: 3},
	} {
		if got := s.minCount(start.Add(tt.at)); got != tt.want {
			t.Errorf("minCount(%s) = %d, want %d", tt.at, got, tt.want)
		}
	}
}

func TestMedian(t *testing.T) {
	if got := median([]float64{9, 1, 5, 3}); got != 4 {
		t.Errorf("median = %v, want 4", got)
	}
}
