package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret/egretlab/links"
)

// linksCommand returns the command that runs the stand-in for the network.
func linksCommand() *cli.Command {
	planFile := ""
	operatorListen := ""
	return &cli.Command{
		Name:  "links",
		Usage: "run a stand-in of the network: latency, a shared rate between regions, cuts",
		Flags: []cli.Flag{
			textFlag(&planFile, "plan", "EGRETLAB_PLAN", "", "`FILE` with the links, as egretlab plan writes it"),
			textFlag(&operatorListen, "operator-listen", "EGRETLAB_OPERATOR_LISTEN", "127.0.0.1:7003",
				"`ADDRESS` for /cut, /heal, /bytes, /live and /ready"),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runLinks(ctx, planFile, operatorListen)
		},
	}
}

func runLinks(ctx context.Context, planFile, operatorListen string) error {
	data, err := os.ReadFile(planFile)
	if err != nil {
		return errors.Annotate(err, "reading the links")
	}
	r := &links.Relay{}
	if err := yaml.Unmarshal(data, &r.Plan); err != nil {
		return errors.Annotatef(err, "decoding the links in %s", planFile)
	}
	operator, err := listen(ctx, operatorListen)
	if err != nil {
		return errors.Trace(err)
	}
	defer serveOperators(operator, r.Handler())()
	return errors.Trace(r.Run(ctx))
}
