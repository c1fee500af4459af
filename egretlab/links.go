package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret/egretlab/links"
)

// linksCommand returns the command that simulates the network.
func linksCommand() *cli.Command {
	planFile := ""
	operatorListen := ""
	return &cli.Command{
		Name:  "links",
		Usage: "simulate the network: latency, shared bandwidth between regions, and link cuts",
		Flags: []cli.Flag{
			textFlag(&planFile, "plan", "EGRETLAB_PLAN", "", "`FILE` with the links, as written by egretlab plan"),
			textFlag(&operatorListen, "operator-listen", "EGRETLAB_OPERATOR_LISTEN", "127.0.0.1:7003",
				"`ADDRESS` (IP:port) to listen on for operators (HTTP): /cut, /heal, /bytes, /live and /ready"),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runLinks(ctx, planFile, operatorListen)
		},
	}
}

func runLinks(ctx context.Context, planFile, operatorListen string) error {
	data, err := os.ReadFile(planFile)
	if err != nil {
		return errors.Annotate(err, "reading the links file")
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
