package floor

import (
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

func position(term, offset uint64) egret.Position {
	return egret.Position{Term: term, Offset: offset}
}

func TestFloors(t *testing.T) {
	h := History{}
	h.Reset(2, position(1, 10))
	ms := func(n int) clock.Time { return clock.Time(n) * clock.Time(time.Millisecond) }
	h.RecordCommit(ms(1000), position(2, 11))
	h.RecordCommit(ms(2000), position(2, 12))
	h.RecordCommit(ms(3000), position(2, 13))
	for name, test := range map[string]struct {
		consistency egret.Consistency
		arrived     clock.Time
		staleness   time.Duration
		own         SessionCommit
		want        egret.Position
	}{
		"primary sees all commits":                       {consistency: egret.ConsistencyPrimary, arrived: ms(500), want: position(2, 13)},
		"bounded sees commits older than the staleness":  {consistency: egret.ConsistencyBounded, arrived: ms(3400), staleness: 1500 * time.Millisecond, want: position(2, 11)},
		"bounded sees the base before any commit":        {consistency: egret.ConsistencyBounded, arrived: ms(1200), staleness: 1500 * time.Millisecond, want: position(1, 10)},
		"staleness includes its end":                     {consistency: egret.ConsistencyBounded, arrived: ms(3500), staleness: 1500 * time.Millisecond, want: position(2, 12)},
		"session sees its own commit":                    {consistency: egret.ConsistencySession, arrived: ms(3400), staleness: 2500 * time.Millisecond, own: SessionCommit{Position: position(2, 13), Term: 2}, want: position(2, 13)},
		"bounded ignores the session's commit":           {consistency: egret.ConsistencyBounded, arrived: ms(3400), staleness: 2500 * time.Millisecond, own: SessionCommit{Position: position(2, 13), Term: 2}, want: position(1, 10)},
		"session's commit of an earlier term is ignored": {consistency: egret.ConsistencySession, arrived: ms(3400), staleness: 2500 * time.Millisecond, own: SessionCommit{Position: position(1, 99), Term: 1}, want: position(1, 10)},
		"zero staleness sees commits at the arrival":     {consistency: egret.ConsistencyBounded, arrived: ms(3000), want: position(2, 13)},
	} {
		if got := h.ReadFloor(test.consistency, test.arrived, test.staleness, test.own); got != test.want {
			t.Errorf("%s: floor %v, want %v", name, got, test.want)
		}
	}
}

// TestMergedCommitsErrOnTheSafeSide adds several commits in each merge interval. The history has to stay short, and
// no floor may be below a commit that was acknowledged before the read arrived.
func TestMergedCommitsErrOnTheSafeSide(t *testing.T) {
	h := History{}
	h.Reset(1, position(1, 0))
	for i := range 1000 {
		h.RecordCommit(clock.Time(i)*clock.Time(100*time.Microsecond), position(1, uint64(i+1)))
	}
	if n := len(h.commits); n > 100 {
		t.Errorf("%d entries for commits in 100 ms, want at most 100", n)
	}
	for i := range 1000 {
		now := clock.Time(i) * clock.Time(100*time.Microsecond)
		if f := h.ReadFloor(egret.ConsistencyBounded, now, 0, SessionCommit{}); f.Offset < uint64(i+1) {
			t.Fatalf("at %v the floor is %v, below %d acknowledged commits", now, f, i+1)
		}
	}
}

// TestOldCommitsMergeIntoBase adds commits for longer than the retention. The history has to stay short, and a read
// that accepts data older than the retention has to get a floor from the base.
func TestOldCommitsMergeIntoBase(t *testing.T) {
	h := History{}
	h.Reset(1, position(1, 0))
	for i := range 10000 {
		h.RecordCommit(clock.Time(i)*clock.Time(10*time.Millisecond), position(1, uint64(i+1)))
	}
	if n := len(h.commits); n > int(retention/(10*time.Millisecond))+2 {
		t.Errorf("%d entries are kept beyond the retention", n)
	}
	now := clock.Time(10000) * clock.Time(10*time.Millisecond)
	if f := h.ReadFloor(egret.ConsistencyBounded, now, time.Hour, SessionCommit{}); f.IsZero() || f.Offset > 7001 {
		t.Errorf("floor %v for a staleness of an hour, want the base", f)
	}
}
