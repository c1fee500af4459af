package codec

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestFindings compares the findings in each file of testdata with its golden file. Set EGRET_UPDATE=1 to update
// the golden files.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("Glob = %v, %v", files, err)
	}
	for _, f := range files {
		if filepath.Ext(f) == ".golden" {
			continue
		}
		t.Run(filepath.Base(f), func(t *testing.T) {
			_, findings := Parse(filepath.Base(f), readFile(t, f))
			compareGolden(t, f+".golden", findings.String()+"\n")
		})
	}
}

func compareGolden(t *testing.T, golden string, got string) {
	t.Helper()
	if os.Getenv("EGRET_UPDATE") != "" {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := string(readFile(t, golden))
	if got != want {
		t.Errorf("%s: got\n%swant\n%s", golden, got, want)
	}
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestFormatsRoundTrip(t *testing.T) {
	want, findings := Parse("tables.yaml", readFile(t, "../../example/tables.yaml"))
	if len(findings) > 0 {
		t.Fatalf("the example has findings:\n%s", findings)
	}
	y, err := YAML(want)
	if err != nil {
		t.Fatal(err)
	}
	j, err := JSON(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range [][]byte{y, j} {
		got, findings := Parse("again", text)
		if len(findings) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("parsing the encoded tables = %+v, %v, want %+v\n%s", got, findings, want, text)
		}
	}
}

// A proxy must accept tables that a later version of egretlane has written. Tables that an operator wrote must not
// have unknown keys, which may be misspelled.
func TestStoredTablesMayHaveUnknownKeys(t *testing.T) {
	text := `{"later":1,"routes":[],"pools":[],"edits":[{"id":"e","author":"a","time":"2026-01-02T03:04:05Z","summary":"s","later":2}]}`
	got, findings := ParseStored([]byte(text))
	if findings.HasFaults() || len(got.Edits) != 1 || got.Edits[0].ID != "e" {
		t.Errorf("ParseStored = %+v, %v", got, findings)
	}
	_, findings = Parse("file", []byte(text))
	if !strings.Contains(findings.String(), `unknown key "later"`) || !findings.HasFaults() {
		t.Errorf("Parse found %v, want a fault for the unknown key", findings)
	}
}
