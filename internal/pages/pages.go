// Package pages generates the parts of documentation pages that are derived from code, so that tests can compare the
// pages with the code.
//
//	want := pages.FlagTable("egretlane", flags)
//	got := pages.Section(text, "egretlane")
package pages

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// headingPrefix is the Markdown prefix of a section's heading.
const headingPrefix = "## "

// Section returns the text of a section of a page: from the line after its heading up to the next section. It is empty
// if the page has no such section.
func Section(page, name string) string {
	_, after, _ := strings.Cut("\n"+page, "\n"+headingPrefix+name+"\n")
	section, _, _ := strings.Cut(after, "\n"+headingPrefix)
	return strings.TrimSpace(section)
}

// ReplaceSection returns the page with the text of a section replaced. The page must have the section.
func ReplaceSection(page, name, text string) string {
	before, after, _ := strings.Cut("\n"+page, "\n"+headingPrefix+name+"\n")
	_, rest, hasNext := strings.Cut(after, "\n"+headingPrefix)
	page = before[min(len(before), 1):] + "\n" + headingPrefix + name + "\n\n" + text + "\n"
	if hasNext {
		page += "\n" + headingPrefix + rest
	}
	return page
}

// FlagTable returns a Markdown table of flags. Each flag is preceded by the command's name if that is not empty.
func FlagTable(command string, flags []cli.Flag) string {
	var b strings.Builder
	b.WriteString("| flag | environment | default | meaning |\n|---|---|---|---|\n")
	b.WriteString(flagRows(command, flags))
	return strings.TrimSpace(b.String())
}

// CommandTable returns a Markdown table of the flags of a command and of its sub-commands.
func CommandTable(c *cli.Command) string {
	table := FlagTable("", c.Flags)
	for _, sub := range c.Commands {
		table += "\n" + flagRows(sub.Name, sub.Flags)
		table = strings.TrimSpace(table)
	}
	return table
}

// flagRows returns the rows of a table of flags. Flags without documentation are left out.
func flagRows(command string, flags []cli.Flag) string {
	var b strings.Builder
	for _, f := range flags {
		d, ok := f.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		name := strings.TrimSpace(command + " --" + f.Names()[0])
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, inlineCode(strings.Join(d.GetEnvVars(), ", ")), inlineCode(d.GetValue()), d.GetUsage())
	}
	return b.String()
}

// inlineCode returns a text as Markdown code, or "" if the text is an empty value.
func inlineCode(text string) string {
	if text == "" || text == `""` || text == "[]" {
		return ""
	}
	return "`" + text + "`"
}
