package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"egretlane.example/egret/table/codec"
)

// tablesPage is the page that describes each key of the tables and each exit status, and has an example.
const tablesPage = "../docs/TABLES.md"

// knownKeysPattern matches the list of known keys in a finding about an unknown key.
var knownKeysPattern = regexp.MustCompile(`\(known: ([^)]+)\)`)

// TestTablesPage checks that the example on the page has no findings, and that the page names each key of the tables
// and each exit status. The help text has to name the exit statuses, too.
func TestTablesPage(t *testing.T) {
	data, err := os.ReadFile(tablesPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	_, after, _ := strings.Cut(page, "```yaml\n")
	example, _, _ := strings.Cut(after, "```")
	if _, found := codec.Parse("the example", []byte(example)); len(found) > 0 {
		t.Errorf("findings in the example of %s:\n%v", tablesPage, found)
	}
	const unknown = `{x: 1, routes: [{x: 1}], pools: [{x: 1, weights: [{x: 1}], groups: [{x: 1, members: [{x: 1}]}]}]}`
	_, found := codec.Parse("unknown", []byte(unknown))
	lists := knownKeysPattern.FindAllStringSubmatch(found.String(), -1)
	if len(lists) != 6 {
		t.Fatalf("findings with %d lists of known keys, want 6:\n%v", len(lists), found)
	}
	for _, l := range lists[1:] {
		for key := range strings.SplitSeq(l[1], ", ") {
			if !strings.Contains(page, fmt.Sprintf("\n| `%s` |", key)) {
				t.Errorf("%s does not describe the key %s", tablesPage, key)
			}
		}
	}
	for _, status := range []exitStatus{exitOK, exitFailed, exitUsage, exitFaults, exitConflict, exitUnknown, exitPartial} {
		if !strings.Contains(page, fmt.Sprintf("\n| %d |", status)) || !strings.Contains(description, fmt.Sprintf("\n  %d  ", status)) {
			t.Errorf("the exit status %d is missing in %s or in the help", status, tablesPage)
		}
	}
}
