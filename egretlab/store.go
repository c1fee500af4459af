package main

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/egretlab/kvsim"
)

// The default rate limits, which are those of the platform's key-value service.
const (
	storeWritesPerSecond = 500
	storeReadsPerSecond  = 2000
)

// storeCommand returns the command that simulates the platform's key-value service.
func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "simulate the platform's key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "listen",
				Usage:   "`ADDRESS` (IP:port) to listen on for store requests (gRPC)",
				Value:   "127.0.0.1:6400",
				Sources: cli.EnvVars("EGRETLAB_LISTEN"),
			},
			&cli.StringFlag{
				Name:    "operator-listen",
				Usage:   "`ADDRESS` (IP:port) to listen on for operators (HTTP): /fault, /stats, /live and /ready",
				Value:   "127.0.0.1:6410",
				Sources: cli.EnvVars("EGRETLAB_OPERATOR_LISTEN"),
			},
			&cli.IntFlag{
				Name:    "writes-per-second",
				Usage:   "maximum `NUMBER` of writes per second; 0 disables the limit",
				Value:   storeWritesPerSecond,
				Sources: cli.EnvVars("EGRETLAB_WRITES_PER_SECOND"),
			},
			&cli.IntFlag{
				Name:    "reads-per-second",
				Usage:   "maximum `NUMBER` of gets and watches per second; 0 disables the limit",
				Value:   storeReadsPerSecond,
				Sources: cli.EnvVars("EGRETLAB_READS_PER_SECOND"),
			},
		},
		Action: runStore,
	}
}

func runStore(ctx context.Context, c *cli.Command) error {
	s := &kvsim.Server{
		WritesPerSecond: c.Int("writes-per-second"),
		ReadsPerSecond:  c.Int("reads-per-second"),
	}
	errs := settingErrors{}
	var err error
	s.Listener, err = listen(ctx, c.String("listen"))
	errs.add("listen", err)
	s.Operator, err = listen(ctx, c.String("operator-listen"))
	errs.add("operator-listen", err)
	err = errs.err()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.Run(ctx))
}

// listen opens a TCP listener at an address of the form IP:port.
func listen(ctx context.Context, address string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Annotatef(err, "address %q", address)
	}
	c := net.ListenConfig{}
	l, err := c.Listen(ctx, "tcp", a.String())
	return l, errors.Annotatef(err, "listening on %s", a)
}
