package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret"
	"egretlane.example/egret/table"
	"egretlane.example/egret/table/codec"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check the tables in files without connecting to the store",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return usageError("validate requires at least one FILE, or - for standard input")
			}
			return commandError(validate(c))
		},
	}
}

func validate(c *cli.Command) error {
	faults := codec.Findings{}
	for _, name := range c.Args().Slice() {
		_, findings, err := readTablesFile(c, name)
		if err != nil {
			return errors.Trace(err)
		}
		printFindings(c.Root().Writer, findings)
		faults = append(faults, findings.Faults()...)
	}
	if len(faults) > 0 {
		return &exitError{
			status: exitFaults,
			err:    errors.Errorf("%s found", quantity(len(faults), "fault")),
		}
	}
	fmt.Fprintln(c.Root().Writer, "no faults")
	return nil
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the tables in the store",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "format",
				Usage: "output `FORMAT`: yaml or json",
				Value: "yaml",
			},
		},
		Action: withStore(get),
	}
}

func get(ctx context.Context, c *cli.Command, s *storeAccess) error {
	t, err := readTables(ctx, s)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := encodeTables(t, c.String("format"))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.Root().Writer.Write(data)
	return errors.Trace(err)
}

// encodeTables encodes the tables as YAML or JSON.
func encodeTables(t *egret.Tables, format string) ([]byte, error) {
	switch format {
	case "yaml":
		return yamlWithRevision(t)
	case "json":
		return codec.JSON(t)
	default:
		return nil, usageError("--format: %q is neither yaml nor json", format)
	}
}

// yamlWithRevision encodes the tables as YAML, with the revision in a comment at the top.
func yamlWithRevision(t *egret.Tables) ([]byte, error) {
	data, err := codec.YAML(t)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(fmt.Appendf(nil, "# Revision %d.\n", t.Revision), data...), nil
}

// readTables returns the tables in the store. It returns an error if there are none.
func readTables(ctx context.Context, s *storeAccess) (*egret.Tables, error) {
	t, err := s.editor.Read(ctx)
	if err != nil {
		return t, errors.Trace(err)
	}
	if t.Revision == 0 {
		return nil, errors.NotFoundf("store key %q: tables", s.editor.Key)
	}
	return t, nil
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show the changes that applying a file would make",
		ArgsUsage: "FILE",
		Action:    withStore(diff),
	}
}

func diff(ctx context.Context, c *cli.Command, s *storeAccess) error {
	proposed, err := readTablesArgument(c)
	if err != nil {
		return errors.Trace(err)
	}
	current, err := s.editor.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	printDifferences(c.Root().Writer, table.Diff(current, proposed))
	return nil
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:   "history",
		Usage:  "list the recent edits of the tables, newest first",
		Action: withStore(history),
	}
}

func history(ctx context.Context, c *cli.Command, s *storeAccess) error {
	t, err := readTables(ctx, s)
	if err != nil {
		return errors.Trace(err)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tAUTHOR\tEDIT\tSUMMARY")
	for _, e := range t.Edits {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Time.UTC().Format(time.RFC3339), e.Author, e.ID, e.Summary)
	}
	return errors.Trace(w.Flush())
}

// readTablesArgument reads the file that is the only argument. It returns an error if the tables have faults.
func readTablesArgument(c *cli.Command) (*egret.Tables, error) {
	if c.Args().Len() != 1 {
		return nil, usageError("%s requires exactly one FILE, or - for standard input", c.Name)
	}
	t, findings, err := readTablesFile(c, c.Args().First())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return t, errors.Trace(checkFindings(c, findings))
}

// checkFindings prints the findings and returns an error if there are faults.
func checkFindings(c *cli.Command, findings codec.Findings) error {
	printFindings(c.Root().ErrWriter, findings)
	if !findings.HasFaults() {
		return nil
	}
	return &exitError{
		status: exitFaults,
		err: &faultsError{
			count: len(findings.Faults()),
		},
	}
}

// faultsError is the error of a file of tables that has faults.
type faultsError struct {
	// count is above zero.
	count int
}

// Error returns how many faults were found.
func (e *faultsError) Error() string {
	return quantity(e.count, "fault") + " found"
}

// readTablesFile reads and parses a file of tables, or standard input if the name is stdinName.
func readTablesFile(c *cli.Command, name string) (*egret.Tables, codec.Findings, error) {
	if name == stdinName {
		data, err := io.ReadAll(io.LimitReader(c.Root().Reader, codec.MaxBytes+1))
		if err != nil {
			return nil, nil, errors.Annotate(err, "reading standard input")
		}
		t, findings := codec.Parse("stdin", data)
		return t, findings, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, errors.Annotate(err, "reading tables")
	}
	t, findings := codec.Parse(name, data)
	return t, findings, nil
}

func printFindings(w io.Writer, findings codec.Findings) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
}

func printDifferences(w io.Writer, differences []table.Difference) {
	for _, d := range differences {
		fmt.Fprintln(w, d)
	}
	if len(differences) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}

// quantity returns a number with its noun in the singular or plural.
func quantity(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
