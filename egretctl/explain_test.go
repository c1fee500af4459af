package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplainGolden tells three failures from logs of a run: a refusal as not run, an unknown outcome
// behind a lost answer, and a statement that was served late behind a failover.
func TestExplainGolden(t *testing.T) {
	for _, id := range []string{"0013c5a3294e7b85", "06325bb36cd2de09", "00df03a8e0c12c9a"} {
		out, errs := bytes.Buffer{}, bytes.Buffer{}
		status := run(context.Background(), []string{"egretctl", "explain", id, filepath.Join("testdata", "explain.log")}, strings.NewReader(""), &out, &errs)
		if status != exitOK {
			t.Fatalf("%s: status %d, %s", id, status, errs.String())
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
	out, errs := bytes.Buffer{}, bytes.Buffer{}
	status := run(context.Background(), []string{"egretctl", "explain", "nobody"}, strings.NewReader("no log line\n{}\n"), &out, &errs)
	if status != exitFailed || !strings.Contains(errs.String(), "nobody") {
		t.Errorf("status %d, %s", status, errs.String())
	}
}

func TestExplainNeedsAnID(t *testing.T) {
	if status := run(context.Background(), []string{"egretctl", "explain"}, strings.NewReader(""), &bytes.Buffer{}, &bytes.Buffer{}); status != exitUsage {
		t.Errorf("status %d", status)
	}
}
