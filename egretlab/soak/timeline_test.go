package soak

import (
	"testing"
	"time"
)

func TestTimeline(t *testing.T) {
	l := timeline{}
	for i := range 100 {
		l.note(100*time.Millisecond, time.Duration(i+1)*time.Millisecond, true)
	}
	l.note(700*time.Millisecond, time.Second, false)
	l.note(2600*time.Millisecond, time.Hour, true)
	moments, whole := l.result()
	if len(moments) != 6 || moments[0].Served != 100 || moments[1].Failed != 1 || moments[5].Served != 1 {
		t.Fatalf("%+v", moments)
	}
	if m := moments[0]; m.Median < 49*time.Millisecond || m.Median > 51*time.Millisecond || m.High < 98*time.Millisecond || m.High > 100*time.Millisecond {
		t.Errorf("median %s, high %s of 1 to 100 ms", m.Median, m.High)
	}
	if whole.Served != 101 || whole.Failed != 1 {
		t.Errorf("%+v", whole)
	}
	if gap := longestGap(moments); gap != 2*time.Second {
		t.Errorf("gap of %s, want 2s", gap)
	}
}
