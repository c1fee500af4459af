package pages

import "testing"

// TestSections checks that Section finds the sections of a page and that ReplaceSection changes only the section named.
func TestSections(t *testing.T) {
	const page = "# Title\n\n## one\n\nfirst\n\n## two\n\nsecond\n"
	for name, want := range map[string]string{"one": "first", "two": "second", "three": ""} {
		if got := Section(page, name); got != want {
			t.Errorf("Section(%s) = %q, want %q", name, got, want)
		}
	}
	for _, name := range []string{"one", "two"} {
		changed := ReplaceSection(page, name, "new")
		if got := Section(changed, name); got != "new" {
			t.Errorf("after Replace(%s) the section is %q, want \"new\"", name, got)
		}
		if back := ReplaceSection(changed, name, Section(page, name)); back != page {
			t.Errorf("Replace(%s) with the former text gives %q, want the former page", name, back)
		}
	}
}
