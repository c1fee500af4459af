package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret"
	"egretlane.example/egret/table"
	"egretlane.example/egret/table/codec"
)

// maxSummaryItems is the maximum number of differences that a summary lists.
const maxSummaryItems = 3

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "replace the tables in the store with those in a file; fails if another edit came first",
		ArgsUsage: "FILE",
		Flags: append(historyFlags(),
			&cli.Uint64Flag{
				Name:        "expect-revision",
				HideDefault: true,
				Usage:       "apply only if the tables have this `REVISION`, 0 if there are none; if not set, the one read when the command starts",
			},
			&cli.StringFlag{
				Name:  "edit-id",
				Usage: "`ID` of the edit, generated if not set; set it to repeat an apply whose outcome is unknown",
			},
		),
		Action: withStore(apply),
	}
}

// historyFlags returns the flags for the author and the summary of an edit in the history.
func historyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "author",
			Usage:   "`NAME` of the author in the history; if not set, the operating system user",
			Sources: cli.EnvVars("EGRETCTL_AUTHOR"),
		},
		&cli.StringFlag{
			Name:  "summary",
			Usage: "`TEXT` that describes the edit in the history; if not set, a summary of the differences",
		},
	}
}

func apply(ctx context.Context, c *cli.Command, s *storeAccess) error {
	proposed, err := readTablesArgument(c)
	if faults, ok := errors.AsType[*faultsError](err); ok {
		return &exitError{
			status: exitFaults,
			err:    errors.Errorf("%v, nothing was changed", faults),
		}
	}
	if err != nil {
		return errors.Trace(err)
	}
	base, err := s.editor.Read(ctx)
	hasExpected := c.IsSet("expect-revision")
	if errors.HasType[*codec.Error](err) && !hasExpected {
		return &exitError{
			status: exitFailed,
			err:    errors.Annotatef(err, "the tables in the store have faults; use --expect-revision %d to replace them", base.Revision),
		}
	}
	if err != nil && !errors.HasType[*codec.Error](err) {
		return errors.Annotate(err, "nothing was changed: reading the tables")
	}
	revision := base.Revision
	if hasExpected {
		revision = c.Uint64("expect-revision")
	}
	return applyProposal(ctx, c, s, base, table.Proposal{
		Tables: proposed,
		Base:   revision,
		Edit: egret.Edit{
			ID: c.String("edit-id"),
		},
	})
}

// applyProposal fills in the edit of the proposal and applies it. base holds the tables read from the store before the
// change, and is the base of the differences that are printed.
func applyProposal(ctx context.Context, c *cli.Command, s *storeAccess, base *egret.Tables, p table.Proposal) error {
	out := c.Root().Writer
	differences := table.Diff(base, p.Tables)
	if len(differences) == 0 && base.Revision == p.Base && base.Revision != 0 {
		fmt.Fprintf(out, "no difference: the tables stay at revision %d\n", base.Revision)
		return nil
	}
	if p.Edit.ID == "" {
		p.Edit.ID = rand.Text()
	}
	p.Edit.Author = authorName(c)
	p.Edit.Time = time.Now()
	p.Edit.Summary = c.String("summary")
	if p.Edit.Summary == "" {
		p.Edit.Summary = summarizeDifferences(differences)
	}
	applied, err := s.editor.Apply(ctx, p)
	if errors.HasType[*table.OutcomeError](err) {
		return &exitError{
			status: exitUnknown,
			err:    errors.Errorf("%v\nto resolve this, apply the same file again with --edit-id %s --expect-revision %d", err, p.Edit.ID, p.Base),
		}
	}
	if err != nil {
		return errors.Trace(err)
	}
	if applied.FoundInHistory {
		fmt.Fprintf(out, "edit %s has been applied; the tables are at revision %d\n", p.Edit.ID, applied.Revision)
		return nil
	}
	printDifferences(out, differences)
	fmt.Fprintf(out, "applied as revision %d, edit %s\n", applied.Revision, p.Edit.ID)
	return nil
}

// authorName returns the name of the author for the history: the flag, or else the name of the operating system user.
func authorName(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// summarizeDifferences describes the differences in one line: a single one in full, several by the parts of the tables.
func summarizeDifferences(differences []table.Difference) string {
	if len(differences) == 0 {
		return "no difference"
	}
	if len(differences) == 1 {
		return differences[0].String()
	}
	parts := []string{}
	for _, d := range differences[:min(len(differences), maxSummaryItems)] {
		parts = append(parts, string(d.Sign)+" "+d.Part)
	}
	if more := len(differences) - len(parts); more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}
