package soak

import (
	"testing"
	"time"
)

func TestTimeline(t *testing.T) {
	l := timeline{}
	for i := range 100 {
		l.record(100*time.Millisecond, time.Duration(i+1)*time.Millisecond, true)
	}
	l.record(700*time.Millisecond, time.Second, false)
	l.record(2600*time.Millisecond, time.Hour, true)
	intervals, total := l.result()
	if len(intervals) != 6 || intervals[0].Served != 100 || intervals[1].Failed != 1 || intervals[5].Served != 1 {
		t.Fatalf("%+v", intervals)
	}
	if m := intervals[0]; m.Median < 49*time.Millisecond || m.Median > 51*time.Millisecond || m.P99 < 98*time.Millisecond || m.P99 > 100*time.Millisecond {
		t.Errorf("median %s, high %s of 1 to 100 ms", m.Median, m.P99)
	}
	if total.Served != 101 || total.Failed != 1 {
		t.Errorf("%+v", total)
	}
	if gap := longestGap(intervals); gap != 2*time.Second {
		t.Errorf("gap of %s, want 2s", gap)
	}
}
