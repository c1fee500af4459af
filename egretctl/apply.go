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
	"egretlane.example/egret/table/form"
)

// maxSummaryParts bounds what a summary lists.
const maxSummaryParts = 3

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put the tables of a file in the store, if nobody has changed them meanwhile",
		ArgsUsage: "FILE",
		Flags: append(noteFlags(),
			&cli.Uint64Flag{
				Name:  "expect-revision",
				Usage: "`REVISION` that the change was made from; that of the store at the start if not set",
			},
			&cli.StringFlag{
				Name:  "edit-id",
				Usage: "`ID` of the edit; set it to repeat an apply whose outcome is unknown",
			},
		),
		Action: withSession(apply),
	}
}

// noteFlags are the flags of what the history says of an edit.
func noteFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "author",
			Usage:   "`NAME` for the history; that of the user if not set",
			Sources: cli.EnvVars("EGRETCTL_AUTHOR"),
		},
		&cli.StringFlag{
			Name:  "summary",
			Usage: "`TEXT` for the history; made from the difference if not set",
		},
	}
}

func apply(ctx context.Context, c *cli.Command, s *session) error {
	later, err := readArgument(c)
	if err != nil {
		return errors.Trace(err)
	}
	base, err := s.editor.Read(ctx)
	expected := c.IsSet("expect-revision")
	if errors.HasType[*form.Error](err) && !expected {
		return &exitError{
			status: exitFailed,
			err:    errors.Annotatef(err, "the store's tables have faults; --expect-revision %d replaces them", base.Revision),
		}
	}
	if err != nil && !errors.HasType[*form.Error](err) {
		return errors.Annotate(err, "nothing was changed")
	}
	revision := base.Revision
	if expected {
		revision = c.Uint64("expect-revision")
	}
	return propose(ctx, c, s, base, table.Proposal{
		Tables: later,
		Base:   revision,
		Edit: egret.Edit{
			ID: c.String("edit-id"),
		},
	})
}

// propose completes the edit and makes the change. The base is what the store had at the start.
func propose(ctx context.Context, c *cli.Command, s *session, base *egret.Tables, p table.Proposal) error {
	out := c.Root().Writer
	found := table.Diff(base, p.Tables)
	if len(found) == 0 && base.Revision == p.Base && base.Revision != 0 {
		fmt.Fprintf(out, "no difference: the tables stay at revision %d\n", base.Revision)
		return nil
	}
	if p.Edit.ID == "" {
		p.Edit.ID = rand.Text()
	}
	p.Edit.Author = author(c)
	p.Edit.Time = time.Now()
	p.Edit.Summary = c.String("summary")
	if p.Edit.Summary == "" {
		p.Edit.Summary = summary(found)
	}
	applied, err := s.editor.Apply(ctx, p)
	if errors.HasType[*table.OutcomeError](err) {
		return &exitError{
			status: exitUnknown,
			err:    errors.Errorf("%v\nto settle it, apply the same file with --edit-id %s --expect-revision %d", err, p.Edit.ID, p.Base),
		}
	}
	if err != nil {
		return errors.Trace(err)
	}
	if applied.ReadBack {
		fmt.Fprintf(out, "edit %s has taken effect: the tables have revision %d\n", p.Edit.ID, applied.Revision)
		return nil
	}
	printDifferences(out, found)
	fmt.Fprintf(out, "applied as revision %d, edit %s\n", applied.Revision, p.Edit.ID)
	return nil
}

// author returns the name for the history.
func author(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// summary says in one line what differs: a single difference in full, else the parts.
func summary(found []table.Difference) string {
	if len(found) == 0 {
		return "no difference"
	}
	if len(found) == 1 {
		return found[0].String()
	}
	parts := []string{}
	for _, d := range found[:min(len(found), maxSummaryParts)] {
		parts = append(parts, string(d.Sign)+" "+d.Part)
	}
	if more := len(found) - len(parts); more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}
