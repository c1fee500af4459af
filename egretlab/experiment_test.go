package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/soak"
)

// TestInvalidExperimentReportsAllErrors checks that all errors in an experiment file are reported together, each with
// its key.
func TestInvalidExperimentReportsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e.yaml")
	text := "length: 5s\nevents:\n- {at: 1s, kind: nothing}\n- {at: 0s, for: 9s, kind: kill-proxy, target: -1}\nvariants: [{name: a/b}]\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := readExperiment(path)
	if err == nil {
		t.Fatal("no error for a file with errors")
	}
	for _, key := range []string{"events[0].kind", "events[1].at: event does not end", "events[1].at: earlier", "events[1].target", "variants[0].name", "variants[0].program"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("%q is missing in %v", key, err)
		}
	}
	if err := os.WriteFile(path, []byte("lasts: 5s\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readExperiment(path); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("unknown key: got error %v, want one with the line", err)
	}
}

func TestExampleExperimentsAreValid(t *testing.T) {
	for _, name := range []string{"experiment", "demo-platform"} {
		if _, err := readExperiment("../example/" + name + ".yaml"); err != nil {
			t.Error(err)
		}
	}
}

func TestOutcomes(t *testing.T) {
	r := &soak.Report{
		Total: soak.Interval{
			Served: 4000,
			Failed: 2,
			Median: 1234 * time.Microsecond,
			P99:    12345 * time.Microsecond,
		},
		Intervals: []soak.Interval{{
			Served: 4000,
		}, {
			At:     time.Second,
			Failed: 2,
		}},
		LongestGap: time.Second,
		Promotions: 1,
		CPUTime:    2 * time.Second,
	}
	outcomes := []outcome{{
		Variant: "now",
		Report:  r,
	}}
	table := bytes.Buffer{}
	if err := writeTable(&table, outcomes); err != nil {
		t.Fatal(err)
	}
	want := "variant  served  failed  median  99%     gap  promotions  broken promises  processor  per 1,000 served\n" +
		"now      4000    2       1.23ms  12.3ms  1s   1           0                2s         500ms\n"
	if table.String() != want {
		t.Errorf("got\n%swant\n%s", table.String(), want)
	}
	path := filepath.Join(t.TempDir(), "plot.png")
	if err := plotOutcomes(outcomes, path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(data, []byte("\x89PNG")) {
		t.Errorf("plot.png is no PNG file: %v", err)
	}
}
