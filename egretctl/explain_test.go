package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplainGolden checks the output for three requests in the log of a run: one refused as not run, one with an
// unknown outcome because the answer was lost, and one served late because of a failover.
func TestExplainGolden(t *testing.T) {
	for _, id := range []string{"0013c5a3294e7b85", "06325bb36cd2de09", "00df03a8e0c12c9a"} {
		out, errOut := bytes.Buffer{}, bytes.Buffer{}
		status := run(context.Background(), []string{"egretctl", "explain", id, filepath.Join("testdata", "explain.log")}, strings.NewReader(""), &out, &errOut)
		if status != exitOK {
			t.Fatalf("%s: exit status %d, output %s", id, status, errOut.String())
		}
		golden := filepath.Join("testdata", "explain-"+id+".golden")
		if os.Getenv("UPDATE_GOLDEN") != "" {
			if err := os.WriteFile(golden, out.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if out.String() != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", id, out.String(), want)
		}
	}
}

func TestExplainUnknownRequest(t *testing.T) {
	out, errOut := bytes.Buffer{}, bytes.Buffer{}
	status := run(context.Background(), []string{"egretctl", "explain", "nobody"}, strings.NewReader("no log line\n{}\n"), &out, &errOut)
	if status != exitFailed || !strings.Contains(errOut.String(), "nobody") {
		t.Errorf("exit status %d, output %s", status, errOut.String())
	}
}

func TestExplainNeedsAnID(t *testing.T) {
	if status := run(context.Background(), []string{"egretctl", "explain"}, strings.NewReader(""), &bytes.Buffer{}, &bytes.Buffer{}); status != exitUsage {
		t.Errorf("exit status %d, want exitUsage", status)
	}
}

func TestExplainOfAnUnreadableFile(t *testing.T) {
	out := bytes.Buffer{}
	missing := filepath.Join(t.TempDir(), "missing.log")
	got := run(t.Context(), []string{"egretctl", "explain", "0013c5a3294e7b85", missing}, strings.NewReader(""), &out, &out)
	if got != exitFailed {
		t.Errorf("exit status %d, want %d\n%s", got, exitFailed, out.String())
	}
}
