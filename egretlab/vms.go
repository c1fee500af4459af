package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/egretlab/vmsim"
)

// vmListDelay is the default delay until callers see a change of the list.
const vmListDelay = 2 * time.Second

// vmsCommand returns the command that simulates the platform's list of VMs.
func vmsCommand() *cli.Command {
	return &cli.Command{
		Name:  "vms",
		Usage: "simulate the platform's list of VMs",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "listen",
				Usage:   "`ADDRESS` (IP:port) to listen on (HTTP): /vms, /leaving, /fault, /live and /ready",
				Value:   "127.0.0.1:6401",
				Sources: cli.EnvVars("EGRETLAB_LISTEN"),
			},
			&cli.DurationFlag{
				Name:    "delay",
				Usage:   "`DURATION` until callers see a change of the list",
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
