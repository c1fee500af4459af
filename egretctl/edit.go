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
	"egretlane.example/egret/table/codec"
)

// headerPrefix is the prefix of the header lines that egretctl writes above the text. withoutHeader removes them.
const headerPrefix = "#: "

func editCommand() *cli.Command {
	return &cli.Command{
		Name:  "edit",
		Usage: "edit the tables in the store with $VISUAL, $EDITOR or vi",
		Flags: historyFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return commandError(edit(ctx, c))
		},
	}
}

// edit opens the tables in an editor until they have no faults and then applies them. The file of the draft is kept if
// the change is not applied.
func edit(ctx context.Context, c *cli.Command) error {
	s, err := newStoreAccess(c)
	if err != nil {
		return err
	}
	defer s.connection.Close()
	base, err := readTablesWithTimeout(ctx, c, s)
	if err != nil {
		return errors.Trace(err)
	}
	text, err := codec.YAML(base)
	if err != nil {
		return errors.Trace(err)
	}
	d, err := newDraft(text, base.Revision)
	if err != nil {
		return errors.Trace(err)
	}
	edited, err := d.editUntilValid(ctx, c)
	if err != nil {
		return errors.Annotatef(err, "the edited tables are kept in %s", d.path)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	err = applyProposal(ctx, c, s, base, table.Proposal{
		Tables: edited,
		Base:   base.Revision,
	})
	if err != nil {
		return errors.Annotatef(err, "the edited tables are kept in %s", d.path)
	}
	if err := os.Remove(d.path); err != nil {
		fmt.Fprintf(c.Root().ErrWriter, "the draft is left behind: %v\n", err)
	}
	return nil
}

// readTablesWithTimeout reads the tables from the store within the timeout of --timeout, which doesn't apply to the
// editor.
func readTablesWithTimeout(ctx context.Context, c *cli.Command, s *storeAccess) (*egret.Tables, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	return readTables(ctx, s)
}

// draft is the text of the tables in a temporary file that an operator edits.
type draft struct {
	// path is the path of the file.
	path string

	// text is the content of the file, without the header.
	text []byte

	// header holds the lines above the text in the file, without headerPrefix.
	header []string
}

// newDraft creates the file. The text is written to it when the editor starts.
func newDraft(text []byte, revision uint64) (*draft, error) {
	f, err := os.CreateTemp("", "egretlane-tables-*.yaml")
	if err != nil {
		return nil, errors.Annotate(err, "creating the file to edit")
	}
	d := &draft{
		path: f.Name(),
		text: text,
		header: []string{
			fmt.Sprintf("These are the tables at revision %d. They are applied when you exit the editor.", revision),
			"If you leave them unchanged, nothing is applied.",
		},
	}
	return d, errors.Trace(f.Close())
}

// editUntilValid opens the editor until the text has no faults. It returns an error if the operator leaves a text with
// faults unchanged.
func (d *draft) editUntilValid(ctx context.Context, c *cli.Command) (*egret.Tables, error) {
	for {
		before := d.text
		err := d.runEditor(ctx, c)
		if err != nil {
			return nil, errors.Trace(err)
		}
		t, findings := codec.Parse(d.path, d.text)
		if !findings.HasFaults() {
			printFindings(c.Root().ErrWriter, findings)
			return t, nil
		}
		if bytes.Equal(before, d.text) {
			return nil, d.abandon(findings)
		}
		d.setFindings(findings)
	}
}

// abandon writes the text to the file without the header, so that the line numbers of the findings are those of the
// file, and returns the findings as an error.
func (d *draft) abandon(findings codec.Findings) error {
	d.header = nil
	err := d.save()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(&codec.Error{
		Findings: findings,
	})
}

// setFindings puts the findings into the header. Their line numbers are those of the file, header included.
func (d *draft) setFindings(findings codec.Findings) {
	d.header = []string{"The tables have faults. Correct them, or exit the editor without a change to cancel the edit."}
	offset := len(findings) + len(d.header)
	for _, f := range findings {
		f.Location.File = "this file"
		if f.Location.Line > 0 {
			f.Location.Line += offset
		}
		d.header = append(d.header, f.String())
	}
}

// save writes the header and the text to the file.
func (d *draft) save() error {
	b := bytes.Buffer{}
	for _, line := range d.header {
		b.WriteString(headerPrefix + line + "\n")
	}
	b.Write(d.text)
	err := os.WriteFile(d.path, b.Bytes(), 0o600)
	return errors.Annotate(err, "writing the file to edit")
}

// runEditor writes the file, runs the editor on it and reads the text back.
func (d *draft) runEditor(ctx context.Context, c *cli.Command) error {
	err := d.save()
	if err != nil {
		return errors.Trace(err)
	}
	words := editorCommand()
	e := exec.CommandContext(ctx, words[0], append(words[1:], d.path)...)
	e.Stdin = c.Root().Reader
	e.Stdout = c.Root().Writer
	e.Stderr = c.Root().ErrWriter
	err = e.Run()
	if err != nil {
		return errors.Annotatef(err, "editor %q", words[0])
	}
	data, err := os.ReadFile(d.path)
	if err != nil {
		return errors.Annotate(err, "reading the edited file")
	}
	d.text = withoutHeader(data)
	return nil
}

// editorCommand returns the operator's editor and its arguments: $VISUAL, $EDITOR or vi.
func editorCommand() []string {
	for _, name := range []string{"VISUAL", "EDITOR"} {
		if words := strings.Fields(os.Getenv(name)); len(words) > 0 {
			return words
		}
	}
	return []string{"vi"}
}

// withoutHeader returns the data without the header lines that egretctl has written above the text.
func withoutHeader(data []byte) []byte {
	for bytes.HasPrefix(data, []byte(headerPrefix)) {
		_, rest, _ := bytes.Cut(data, []byte("\n"))
		data = rest
	}
	return data
}
