// Command egretctl is the command-line tool for operators of egretlane. It checks and changes the tables and shows the
// state of the proxies.
package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
)

// Timeouts of the calls of a command.
const (
	// defaultTimeout bounds all calls of a command together, except that edit applies it to reading the tables and to
	// applying them separately.
	defaultTimeout = 30 * time.Second

	// callTimeout bounds one call to the store, which may be slow.
	callTimeout = 10 * time.Second

	// statusTimeout bounds one call for the status of a proxy or of the store.
	statusTimeout = 5 * time.Second
)

const description = `Operators control egretlane through two tables: routes and pools. They are stored as one value in the
platform's store, with a revision that increases with each change.

Exit statuses:
  0  success
  1  failure; the tables were not changed
  2  invalid usage
  3  the tables have faults
  4  conflict; another edit changed the tables first
  5  outcome unknown; run apply again with the flags that are printed
  6  some proxies returned no status`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)))
}

// run runs a command line and returns the exit status.
func run(ctx context.Context, args []string, in io.Reader, out io.Writer, errOut io.Writer) exitStatus {
	c := rootCommand()
	c.Reader = in
	c.Writer = out
	c.ErrWriter = errOut
	err := c.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(errOut, "egretctl: %v\n", err)
	}
	return exitStatusOf(err)
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "egretctl",
		Usage:                 "manage the tables of egretlane and inspect its proxies",
		Description:           description,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        ignoreError,
		Action:                rejectUnknownCommand,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "store",
				Usage:   "`ADDRESS` of the platform's store, as IP:port",
				Value:   "127.0.0.1:6400",
				Sources: cli.EnvVars("EGRETCTL_STORE"),
			},
			&cli.StringFlag{
				Name:    "tables-key",
				Usage:   "`KEY` of the tables in the store",
				Value:   "egretlane/tables",
				Sources: cli.EnvVars("EGRETCTL_TABLES_KEY"),
			},
			&cli.DurationFlag{
				Name:    "timeout",
				Usage:   "maximum time for a command's calls to the store and the proxies",
				Value:   defaultTimeout,
				Sources: cli.EnvVars("EGRETCTL_TIMEOUT"),
			},
		},
		Commands: []*cli.Command{
			validateCommand(),
			getCommand(),
			applyCommand(),
			diffCommand(),
			editCommand(),
			historyCommand(),
			statusCommand(),
			explainCommand(),
		},
	}
}

// ignoreError replaces the exit handler of the library, as run returns the exit status.
func ignoreError(context.Context, *cli.Command, error) {}

// rejectUnknownCommand returns an error for an unknown command, and shows the help if there is no command.
func rejectUnknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("unknown command %q; see egretctl --help", c.Args().First())
	}
	return errors.Trace(cli.ShowAppHelp(c))
}

// storeAccess gives a command access to the store.
type storeAccess struct {
	// editor reads and changes the tables.
	editor *table.Editor

	// connection is closed at the end of the command.
	connection io.Closer
}

// newStoreAccess returns the access to the store. The connection is opened at the first call.
func newStoreAccess(c *cli.Command) (*storeAccess, error) {
	a, err := netip.ParseAddrPort(c.String("store"))
	if err != nil {
		return nil, usageError("--store: %v", err)
	}
	client := &store.Client{
		Address: a,
		Timeout: callTimeout,
	}
	return &storeAccess{
		editor: &table.Editor{
			Store: client,
			Key:   c.String("tables-key"),
		},
		connection: client,
	}, nil
}

// withStore returns an action that calls run with access to the store, within the timeout of --timeout.
func withStore(run func(ctx context.Context, c *cli.Command, s *storeAccess) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := newStoreAccess(c)
		if err != nil {
			return err
		}
		defer s.connection.Close()
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		return commandError(run(ctx, c, s))
	}
}
