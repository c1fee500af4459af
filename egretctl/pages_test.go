package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"egretlane.example/egret/table/form"
)

// tablesPage explains each key of the tables, and has an example.
const tablesPage = "../docs/TABLES.md"

// knownKeys matches the keys in a finding about an unknown one.
var knownKeys = regexp.MustCompile(`\(known: ([^)]+)\)`)

func TestTablesPage(t *testing.T) {
	data, err := os.ReadFile(tablesPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	_, after, _ := strings.Cut(page, "```yaml\n")
	example, _, _ := strings.Cut(after, "```")
	if _, found := form.Parse("the example", []byte(example)); len(found) > 0 {
		t.Errorf("the example of %s:\n%v", tablesPage, found)
	}
	const unknown = `{x: 1, routes: [{x: 1}], pools: [{x: 1, weights: [{x: 1}], groups: [{x: 1, members: [{x: 1}]}]}]}`
	_, found := form.Parse("unknown", []byte(unknown))
	lists := knownKeys.FindAllStringSubmatch(found.String(), -1)
	if len(lists) != 6 {
		t.Fatalf("%d lists of keys, want 6:\n%v", len(lists), found)
	}
	for _, l := range lists[1:] {
		for key := range strings.SplitSeq(l[1], ", ") {
			if !strings.Contains(page, fmt.Sprintf("\n| `%s` |", key)) {
				t.Errorf("%s lacks the key %s", tablesPage, key)
			}
		}
	}
	for _, status := range []exitStatus{exitOK, exitFailed, exitUsage, exitFaults, exitConflict, exitUnknown, exitPartial} {
		if !strings.Contains(page, fmt.Sprintf("\n| %d |", status)) || !strings.Contains(description, fmt.Sprintf("\n  %d  ", status)) {
			t.Errorf("the exit status %d is not in %s and in the help", status, tablesPage)
		}
	}
}
