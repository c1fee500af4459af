package walog

import (
	"os"
	"path/filepath"
	"testing"

	"egretlane.example/egret"
)

// appendTerms appends one entry for each of the terms.
func appendTerms(t *testing.T, l *Log, terms ...uint64) {
	t.Helper()
	for _, term := range terms {
		err := l.Append(Entry{
			Term:   term,
			Offset: l.End().Offset + 1,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestCommon checks the last common position of logs that diverge at different entries.
func TestCommon(t *testing.T) {
	for _, c := range []struct {
		name        string
		here, there []uint64
		want        egret.Position
	}{
		{"equal", []uint64{1, 1, 2}, []uint64{1, 1, 2}, egret.Position{Term: 2, Offset: 3}},
		{"behind", []uint64{1, 1, 2, 2}, []uint64{1, 1}, egret.Position{Term: 1, Offset: 2}},
		{"tail of an old term", []uint64{1, 1, 3}, []uint64{1, 1, 1, 1}, egret.Position{Term: 1, Offset: 2}},
		{"tails of two terms", []uint64{1, 1, 4}, []uint64{1, 2, 2, 3}, egret.Position{Term: 1, Offset: 1}},
		{"empty", []uint64{1}, nil, egret.Position{}},
	} {
		var here, there Log
		appendTerms(t, &here, c.here...)
		appendTerms(t, &there, c.there...)
		if got := here.CommonPosition(there.Spans()); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// TestTruncate truncates a log with a file and appends to it. Slices that readers hold must not change, and
// the log must read back the same.
func TestTruncate(t *testing.T) {
	l := Log{
		Folder: t.TempDir(),
	}
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	appendTerms(t, &l, 1, 1, 1, 2)
	held := l.EntriesAfter(0)
	if err := l.Truncate(2); err != nil {
		t.Fatal(err)
	}
	appendTerms(t, &l, 3)
	if held[2].Term != 1 {
		t.Error("entries that a reader holds have changed")
	}
	if err := l.Append(Entry{Term: 2, Offset: 4}); err == nil {
		t.Error("an entry with a lower term was accepted")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	again := Log{
		Folder: l.Folder,
	}
	if err := again.Open(); err != nil {
		t.Fatal(err)
	}
	if got := again.End().String(); got != "3/3" || len(again.Spans()) != 2 {
		t.Errorf("end %s with spans %v after a restart", got, again.Spans())
	}
}

// TestBrokenLog checks that a log with a corrupt line before the last one fails to open, instead of being
// opened as a shorter log.
func TestBrokenLog(t *testing.T) {
	folder := t.TempDir()
	text := `{"term":1,"offset":1}` + "\n" + `{"term":1,"off` + "\n" + `{"term":1,"offset":3}` + "\n"
	if err := os.WriteFile(filepath.Join(folder, logFile), []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
	l := Log{
		Folder: folder,
	}
	if err := l.Open(); err == nil {
		t.Error("a broken log was opened")
	}
}
