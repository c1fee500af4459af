// Package pages makes the parts of the documentation that follow from the code, so that tests can hold
// the pages against it.
//
//	want := pages.Flags("egretlane", flags)
//	got := pages.Section(text, "egretlane")
package pages

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// heading starts the line of a section's name.
const heading = "## "

// Section returns the section of a page from the line behind its heading up to the next section. It is
// empty if the page has no such section.
func Section(page, name string) string {
	_, after, _ := strings.Cut("\n"+page, "\n"+heading+name+"\n")
	section, _, _ := strings.Cut(after, "\n"+heading)
	return strings.TrimSpace(section)
}

// Replace returns the page with another text in the section, which the page must have.
func Replace(page, name, text string) string {
	before, after, _ := strings.Cut("\n"+page, "\n"+heading+name+"\n")
	_, rest, more := strings.Cut(after, "\n"+heading)
	page = before[min(len(before), 1):] + "\n" + heading + name + "\n\n" + text + "\n"
	if more {
		page += "\n" + heading + rest
	}
	return page
}

// Flags returns a table of flags. The command's name goes before each of them if it isn't empty.
func Flags(command string, flags []cli.Flag) string {
	var b strings.Builder
	b.WriteString("| flag | environment | default | meaning |\n|---|---|---|---|\n")
	b.WriteString(rows(command, flags))
	return strings.TrimSpace(b.String())
}

// Commands returns a table of the flags of a command and of those below it.
func Commands(c *cli.Command) string {
	table := Flags("", c.Flags)
	for _, sub := range c.Commands {
		table += "\n" + rows(sub.Name, sub.Flags)
		table = strings.TrimSpace(table)
	}
	return table
}

func rows(command string, flags []cli.Flag) string {
	var b strings.Builder
	for _, f := range flags {
		d, ok := f.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		name := strings.TrimSpace(command + " --" + f.Names()[0])
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, code(strings.Join(d.GetEnvVars(), ", ")), code(d.GetValue()), d.GetUsage())
	}
	return b.String()
}

// code marks a text that isn't empty as code.
func code(text string) string {
	if text == "" || text == `""` || text == "[]" {
		return ""
	}
	return "`" + text + "`"
}
