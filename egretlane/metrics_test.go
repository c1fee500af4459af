package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// operationsPage is the page that has to name every metric, and no metric that does not exist.
const operationsPage = "../docs/OPERATIONS.md"

var (
	metricName = regexp.MustCompile(`\begretlane_[a-z_]*[a-z]`)
	quotedName = regexp.MustCompile(`"(egretlane_[a-z_]*[a-z])"`)

	// shortName matches the names of counters to which their package adds a prefix and "_total".
	shortName = regexp.MustCompile(`\bcounters?\("([a-z]+)"`)
)

func TestOperationsPageNamesMetrics(t *testing.T) {
	data, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	known := metricNames(t)
	for _, name := range metricName.FindAllString(string(data), -1) {
		if !slices.Contains(known, name) && !slices.Contains(known, strings.TrimSuffix(name, "_bucket")) {
			t.Errorf("%s names %s, which doesn't exist", operationsPage, name)
		}
	}
	for _, name := range known {
		if !strings.Contains(string(data), "`"+name+"`") && !strings.Contains(string(data), "`"+name+"{") {
			t.Errorf("%s lacks %s", operationsPage, name)
		}
	}
}

// metricNames returns the names of all metrics in the source files.
func metricNames(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "egretlab/") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range quotedName.FindAllStringSubmatch(string(data), -1) {
			names = append(names, m[1])
		}
		for _, m := range shortName.FindAllStringSubmatch(string(data), -1) {
			names = append(names, "egretlane_"+filepath.Base(filepath.Dir(path))+"_"+m[1]+"_total")
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(names) < 30 {
		t.Fatalf("only %d metrics found", len(names))
	}
	return names
}
