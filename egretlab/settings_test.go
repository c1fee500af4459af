package main

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretlane.example/egret/internal/pages"
)

// settingsPage has a section that is generated from the flags. With UPDATE_GOLDEN=1 the test updates it.
const settingsPage = "../docs/SETTINGS.md"

func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	want := pages.CommandTable(rootCommand())
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		data = []byte(pages.ReplaceSection(string(data), "egretlab", want))
		if err := os.WriteFile(settingsPage, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(want, pages.Section(string(data), "egretlab")); diff != "" {
		t.Errorf("%s differs from the flags (-flags +page):\n%s", settingsPage, diff)
	}
}
