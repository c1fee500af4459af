package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret"
	"egretlane.example/egret/table"
	"egretlane.example/egret/table/form"
)

// notePrefix starts the lines that egretctl puts ahead of the text. They are taken off again.
const notePrefix = "#: "

func editCommand() *cli.Command {
	return &cli.Command{
		Name:  "edit",
		Usage: "change the store's tables in the editor of $VISUAL or $EDITOR",
		Flags: noteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return commandError(edit(ctx, c))
		},
	}
}

// edit opens the tables in an editor until they have no faults and then applies them. The text is
// kept in its file whenever the change isn't made.
func edit(ctx context.Context, c *cli.Command) error {
	s, err := newSession(c)
	if err != nil {
		return err
	}
	defer s.client.Close()
	base, err := readBounded(ctx, c, s)
	if err != nil {
		return errors.Trace(err)
	}
	text, err := form.YAML(base)
	if err != nil {
		return errors.Trace(err)
	}
	d, err := newDraft(text, base.Revision)
	if err != nil {
		return errors.Trace(err)
	}
	later, err := d.revise(ctx, c)
	if err != nil {
		return errors.Annotatef(err, "the text is kept in %s", d.name)
	}
	bound, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	err = propose(bound, c, s, base, table.Proposal{
		Tables: later,
		Base:   base.Revision,
	})
	if err != nil {
		return errors.Annotatef(err, "the text is kept in %s", d.name)
	}
	return errors.Trace(os.Remove(d.name))
}

// readBounded reads the store's tables within the timeout, which doesn't count for the editor.
func readBounded(ctx context.Context, c *cli.Command, s *session) (*egret.Tables, error) {
	bound, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	return readTables(bound, s)
}

// draft is a text in a file that an operator edits.
type draft struct {
	// name is that of the file.
	name string

	// text is what the operator has written, without the notes.
	text []byte

	// notes stand ahead of the text in the file.
	notes []string
}

// newDraft puts the text in a new file.
func newDraft(text []byte, revision uint64) (*draft, error) {
	f, err := os.CreateTemp("", "egretlane-tables-*.yaml")
	if err != nil {
		return nil, errors.Annotate(err, "keeping the text")
	}
	d := &draft{
		name: f.Name(),
		text: text,
		notes: []string{
			fmt.Sprintf("These are the tables of revision %d. They are applied when the editor ends.", revision),
			"Without a change nothing is applied.",
		},
	}
	return d, errors.Trace(f.Close())
}

// revise opens the editor until the text has no faults, or until it leaves a text with faults as it is.
func (d *draft) revise(ctx context.Context, c *cli.Command) (*egret.Tables, error) {
	for {
		before := d.text
		err := d.open(ctx, c)
		if err != nil {
			return nil, errors.Trace(err)
		}
		t, findings := form.Parse(d.name, d.text)
		if !findings.HasFaults() {
			printFindings(c.Root().ErrWriter, findings)
			return t, nil
		}
		if bytes.Equal(before, d.text) {
			return nil, d.giveUp(findings)
		}
		d.report(findings)
	}
}

// giveUp leaves the text in the file, without the notes, so that the findings' lines are the file's.
func (d *draft) giveUp(findings form.Findings) error {
	d.notes = nil
	err := d.save()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(&form.Error{
		Findings: findings,
	})
}

// report puts the findings into the notes. Lines count as in the file, below the notes.
func (d *draft) report(findings form.Findings) {
	d.notes = []string{"The tables have faults. Leave the text as it is to give up."}
	offset := len(findings) + len(d.notes)
	for _, f := range findings {
		f.Place.File = "this file"
		if f.Place.Line > 0 {
			f.Place.Line += offset
		}
		d.notes = append(d.notes, f.String())
	}
}

// save writes the notes and the text to the file.
func (d *draft) save() error {
	b := bytes.Buffer{}
	for _, n := range d.notes {
		b.WriteString(notePrefix + n + "\n")
	}
	b.Write(d.text)
	err := os.WriteFile(d.name, b.Bytes(), 0o600)
	return errors.Annotate(err, "keeping the text")
}

// open writes the file, runs the editor and reads the file.
func (d *draft) open(ctx context.Context, c *cli.Command) error {
	err := d.save()
	if err != nil {
		return errors.Trace(err)
	}
	words := editorCommand()
	e := exec.CommandContext(ctx, words[0], append(words[1:], d.name)...)
	e.Stdin = c.Root().Reader
	e.Stdout = c.Root().Writer
	e.Stderr = c.Root().ErrWriter
	err = e.Run()
	if err != nil {
		return errors.Annotatef(err, "editor %q", words[0])
	}
	data, err := os.ReadFile(d.name)
	if err != nil {
		return errors.Annotate(err, "reading the text back")
	}
	d.text = withoutNotes(data)
	return nil
}

// editorCommand returns the words of the operator's editor.
func editorCommand() []string {
	for _, name := range []string{"VISUAL", "EDITOR"} {
		if words := strings.Fields(os.Getenv(name)); len(words) > 0 {
			return words
		}
	}
	return []string{"vi"}
}

// withoutNotes takes off the lines that egretctl has put ahead of the text.
func withoutNotes(data []byte) []byte {
	for bytes.HasPrefix(data, []byte(notePrefix)) {
		_, rest, _ := bytes.Cut(data, []byte("\n"))
		data = rest
	}
	return data
}
