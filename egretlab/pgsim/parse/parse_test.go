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

var update = flag.Bool("update", false, "write the golden file")

// TestStatements reads the texts in testdata/texts, one on each line, and compares what comes of them.
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
			t.Errorf("%s: error of type %T", text, err)
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
		t.Errorf("other than testdata/parsed:\n%s", out.String())
	}
}

// FuzzStatements checks that no text makes the parser fail in another way than with an *query.Error.
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
			t.Errorf("error of type %T", err)
		}
	})
}
