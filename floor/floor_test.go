package floor

import (
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

func at(term, offset uint64) egret.Position {
	return egret.Position{Term: term, Offset: offset}
}

func TestFloors(t *testing.T) {
	h := History{}
	h.Reset(2, at(1, 10))
	ms := func(n int) clock.Time { return clock.Time(n) * clock.Time(time.Millisecond) }
	h.Commit(ms(1000), at(2, 11))
	h.Commit(ms(2000), at(2, 12))
	h.Commit(ms(3000), at(2, 13))
	for name, test := range map[string]struct {
		kind      egret.RouteKind
		arrived   clock.Time
		staleness time.Duration
		own       Own
		want      egret.Position
	}{
		"primary sees all":               {kind: egret.RoutePrimary, arrived: ms(500), want: at(2, 13)},
		"bounded sees what is old":       {kind: egret.RouteBounded, arrived: ms(3400), staleness: 1500 * time.Millisecond, want: at(2, 11)},
		"bounded sees the base":          {kind: egret.RouteBounded, arrived: ms(1200), staleness: 1500 * time.Millisecond, want: at(1, 10)},
		"at the edge it counts":          {kind: egret.RouteBounded, arrived: ms(3500), staleness: 1500 * time.Millisecond, want: at(2, 12)},
		"session sees its own":           {kind: egret.RouteSession, arrived: ms(3400), staleness: 2500 * time.Millisecond, own: Own{Position: at(2, 13), Term: 2}, want: at(2, 13)},
		"bounded forgets the session":    {kind: egret.RouteBounded, arrived: ms(3400), staleness: 2500 * time.Millisecond, own: Own{Position: at(2, 13), Term: 2}, want: at(1, 10)},
		"an old term was rolled back":    {kind: egret.RouteSession, arrived: ms(3400), staleness: 2500 * time.Millisecond, own: Own{Position: at(1, 99), Term: 1}, want: at(1, 10)},
		"no staleness sees what is done": {kind: egret.RouteBounded, arrived: ms(3000), want: at(2, 13)},
	} {
		if got := h.Read(test.kind, test.arrived, test.staleness, test.own); got != test.want {
			t.Errorf("%s: floor %v, want %v", name, got, test.want)
		}
	}
}

// TestMergedCommitsErrOnTheSafeSide adds many commits within the resolution.
func TestMergedCommitsErrOnTheSafeSide(t *testing.T) {
	h := History{}
	h.Reset(1, at(1, 0))
	for i := range 1000 {
		h.Commit(clock.Time(i)*clock.Time(100*time.Microsecond), at(1, uint64(i+1)))
	}
	if n := len(h.commits); n > 100 {
		t.Errorf("%d entries for 100 ms", n)
	}
	for i := range 1000 {
		now := clock.Time(i) * clock.Time(100*time.Microsecond)
		if f := h.Read(egret.RouteBounded, now, 0, Own{}); f.Offset < uint64(i+1) {
			t.Fatalf("at %v the floor is %v, and %d commits were acknowledged", now, f, i+1)
		}
	}
}

// TestOldCommitsAreSummedUp keeps the history short over a long time.
func TestOldCommitsAreSummedUp(t *testing.T) {
	h := History{}
	h.Reset(1, at(1, 0))
	for i := range 10000 {
		h.Commit(clock.Time(i)*clock.Time(10*time.Millisecond), at(1, uint64(i+1)))
	}
	if n := len(h.commits); n > int(keepAge/(10*time.Millisecond))+2 {
		t.Errorf("%d entries are kept", n)
	}
	now := clock.Time(10000) * clock.Time(10*time.Millisecond)
	if f := h.Read(egret.RouteBounded, now, time.Hour, Own{}); f.IsZero() || f.Offset > 7001 {
		t.Errorf("floor %v for an hour", f)
	}
}
