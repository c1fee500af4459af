// Command egretlab has the stand-ins of the platform that egretlane is tried against: the store, the
// list of VMs and the database member.
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
		Usage:                 "stand-ins of the platform for trials of egretlane",
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

// findings collects the faults of a program's settings, so that all are reported together.
type findings struct {
	// all holds one line for each fault.
	all []string
}

// add notes the fault of a setting, unless err is nil.
func (f *findings) add(setting string, err error) {
	if err != nil {
		f.all = append(f.all, fmt.Sprintf("--%s: %s", setting, err))
	}
}

// err returns all faults as one error, or nil.
func (f *findings) err() error {
	if len(f.all) == 0 {
		return nil
	}
	return errors.New("faults in the settings:\n  " + strings.Join(f.all, "\n  "))
}
