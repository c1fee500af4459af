package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/egretlab/vmsim"
)

// vmListDelay is the default age of the list that callers see.
const vmListDelay = 2 * time.Second

// vmsCommand returns the command that runs the stand-in for the platform's list of VMs.
func vmsCommand() *cli.Command {
	return &cli.Command{
		Name:  "vms",
		Usage: "run a stand-in of the platform's list of VMs",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "listen",
				Usage:   "`ADDRESS` for /vms, /leaving, /fault, /live and /ready",
				Value:   "127.0.0.1:6401",
				Sources: cli.EnvVars("EGRETLAB_LISTEN"),
			},
			&cli.DurationFlag{
				Name:    "delay",
				Usage:   "how old the list is that callers see",
				Value:   vmListDelay,
				Sources: cli.EnvVars("EGRETLAB_DELAY"),
			},
		},
		Action: runVMs,
	}
}

func runVMs(ctx context.Context, c *cli.Command) error {
	listener, err := listen(ctx, c.String("listen"))
	if err != nil {
		return errors.Trace(err)
	}
	s := &vmsim.Server{
		Listener: listener,
		Delay:    c.Duration("delay"),
	}
	return errors.Trace(s.Run(ctx))
}
