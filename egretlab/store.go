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

// storeCommand returns the command that runs the stand-in for the platform's key-value service.
func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a stand-in of the platform's key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "listen",
				Usage:   "`ADDRESS` for the store's calls",
				Value:   "127.0.0.1:6400",
				Sources: cli.EnvVars("EGRETLAB_LISTEN"),
			},
			&cli.StringFlag{
				Name:    "operator-listen",
				Usage:   "`ADDRESS` for /fault, /stats, /live and /ready",
				Value:   "127.0.0.1:6410",
				Sources: cli.EnvVars("EGRETLAB_OPERATOR_LISTEN"),
			},
			&cli.IntFlag{
				Name:    "writes-per-second",
				Usage:   "bound on changes, 0 for none",
				Value:   storeWritesPerSecond,
				Sources: cli.EnvVars("EGRETLAB_WRITES_PER_SECOND"),
			},
			&cli.IntFlag{
				Name:    "reads-per-second",
				Usage:   "bound on gets and watches, 0 for none",
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
