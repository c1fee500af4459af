package soak

import (
	"testing"
	"time"
)

// TestCompleteLog guards against lost requests that the soak passes over, since the log of their proxy ends too early to name them.
func TestCompleteLog(t *testing.T) {
	const (
		started = `{"time":"2026-12-05T10:00:00Z","event":"process-started"}` + "\n"
		leaving = `{"time":"2026-12-05T10:00:10Z","event":"process-leaving"}` + "\n"
		ended   = `{"time":"2026-12-05T10:00:15Z","event":"process-stopped"}` + "\n"
		again   = `{"time":"2026-12-05T10:00:17Z","event":"process-started"}` + "\n"
		later   = `{"time":"2026-12-05T10:00:30Z","event":"process-stopped"}` + "\n"
		dropped = `{"time":"2026-12-05T10:00:14Z","event":"lines-dropped","cause":"statement-unanswered","lines":3}` + "\n"
	)
	stopped := time.Date(2026, 12, 5, 10, 0, 9, 0, time.UTC)
	if !completeLog(started, time.Time{}) || completeLog(started+dropped, time.Time{}) {
		t.Error("a process that wasn't stopped")
	}
	for _, c := range []struct {
		name, log string
		want      bool
	}{
		{name: "ended", log: started + leaving + ended, want: true},
		{name: "ended and started again", log: started + leaving + ended + again + later, want: true},
		{name: "killed", log: started + leaving},
		{name: "killed and started again", log: started + leaving + again + later},
		{name: "dropped lines", log: started + leaving + dropped + ended},
	} {
		if got := completeLog(c.log, stopped); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
