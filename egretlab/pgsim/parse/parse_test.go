package parse

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"egretlane.example/egret/egretlab/pgsim/query"
)

var update = flag.Bool("update", false, "rewrite the golden file testdata/parsed")

// TestStatements parses each line of testdata/texts and compares the results with testdata/parsed. The
// flag -update rewrites that file.
func TestStatements(t *testing.T) {
	texts, err := os.ReadFile("testdata/texts")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, text := range strings.Split(strings.TrimSuffix(string(texts), "\n"), "\n") {
		fmt.Fprintf(&out, "%s\n", text)
		all, err := Statements(text)
		var e *query.Error
		if err != nil && !errors.As(err, &e) {
			t.Errorf("%s: got an error of type %T, want *query.Error", text, err)
		}
		if err != nil {
			fmt.Fprintf(&out, "\terror: %s\n", err)
		}
		for _, s := range all {
			node, err := json.Marshal(s.Node)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "\t%s %s\n\t\ttext %q\n\t\tparameters %d\n", s.Node.Command(), node, s.Text, s.Parameters)
		}
	}
	if *update {
		if err := os.WriteFile("testdata/parsed", []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/parsed")
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("results differ from testdata/parsed:\n%s", out.String())
	}
}

// FuzzStatements checks that the parser doesn't panic on any text, and that each error is a *query.Error.
func FuzzStatements(f *testing.F) {
	texts, err := os.ReadFile("testdata/texts")
	if err != nil {
		f.Fatal(err)
	}
	for _, text := range strings.Split(string(texts), "\n") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Statements(text)
		var e *query.Error
		if err != nil && !errors.As(err, &e) {
			t.Errorf("got an error of type %T, want *query.Error", err)
		}
	})
}
