// Command egretlab is the test bench of egretlane. It simulates the parts of the platform that a proxy depends
// on (the key-value store, the list of VMs, database members and the network), measures what callers get from a running
// set of processes, and runs soaks and experiments under injected faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "egretlab:", err)
		stop()
		os.Exit(1)
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "egretlab",
		Usage:                 "simulate egretlane's platform, measure proxies and test them under faults",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			storeCommand(),
			vmsCommand(),
			memberCommand(),
			demoCommand(),
			planCommand(),
			linksCommand(),
			measureCommand(),
			soakCommand(),
			experimentCommand(),
		},
	}
}

// settingErrors collects the errors in a program's settings, so that all are reported together.
type settingErrors struct {
	// lines has one line for each error.
	lines []string
}

// add records an error in a setting. It does nothing if err is nil.
func (s *settingErrors) add(setting string, err error) {
	if err != nil {
		s.lines = append(s.lines, fmt.Sprintf("--%s: %s", setting, err))
	}
}

// err returns all recorded errors as one, or nil if there are none.
func (s *settingErrors) err() error {
	if len(s.lines) == 0 {
		return nil
	}
	return errors.New("invalid settings:\n  " + strings.Join(s.lines, "\n  "))
}
