package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/egretlab/soak"
)

// The default size of a soak: a few dozen callers and as many proxies as one machine runs without strain.
const (
	soakProxies  = 5
	soakServices = 2
	soakCallers  = 6
	soakLength   = 40 * time.Second
)

// soakCommand returns the command that runs proxies against the simulated platform while faults are injected.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run proxy processes under injected faults and verify what callers and members observe",
		Flags: []cli.Flag{
			&cli.Uint64Flag{
				Name:    "seed",
				Usage:   "first `SEED`; 0 derives it from the current time",
				Sources: cli.EnvVars("EGRETLAB_SEED"),
			},
			&cli.IntFlag{
				Name:    "seeds",
				Usage:   "`NUMBER` of consecutive seeds to run",
				Value:   1,
				Sources: cli.EnvVars("EGRETLAB_SEEDS"),
			},
			&cli.DurationFlag{
				Name:    "length",
				Usage:   "`DURATION` of each run",
				Value:   soakLength,
				Sources: cli.EnvVars("EGRETLAB_LENGTH"),
			},
			&cli.IntFlag{
				Name:    "proxies",
				Usage:   "`NUMBER` of proxies",
				Value:   soakProxies,
				Sources: cli.EnvVars("EGRETLAB_PROXIES"),
			},
			&cli.IntFlag{
				Name:    "services",
				Usage:   "`NUMBER` of database groups, each with three members",
				Value:   soakServices,
				Sources: cli.EnvVars("EGRETLAB_SERVICES"),
			},
			&cli.IntFlag{
				Name:    "callers",
				Usage:   "`NUMBER` of callers per route",
				Value:   soakCallers,
				Sources: cli.EnvVars("EGRETLAB_CALLERS"),
			},
			&cli.StringSliceFlag{
				Name:    "kind",
				Usage:   "`KIND` of fault or planned maintenance to inject; repeatable; all kinds if not set",
				Sources: cli.EnvVars("EGRETLAB_KIND"),
			},
			&cli.BoolFlag{
				Name:    "rolling",
				Usage:   "only rolling restarts that overlap, hang-ups and changes of the configuration",
				Sources: cli.EnvVars("EGRETLAB_ROLLING"),
			},
			&cli.StringFlag{
				Name:    "program",
				Usage:   "executable `FILE` of the proxy",
				Value:   ".bin/egretlane",
				Sources: cli.EnvVars("EGRETLAB_PROGRAM"),
			},
			&cli.StringFlag{
				Name:    "folder",
				Usage:   "output `FOLDER` for settings, logs and reports",
				Value:   ".run/soak",
				Sources: cli.EnvVars("EGRETLAB_FOLDER"),
			},
		},
		Action: runSoak,
	}
}

// runSoak runs the seeds in turn. It returns an error if any run had a violation.
func runSoak(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	kinds, err := parseKinds(c.StringSlice("kind"))
	if err != nil {
		return err
	}
	failedSeeds := 0
	for i := range uint64(c.Int("seeds")) {
		if ctx.Err() != nil {
			break
		}
		violations, err := soakSeed(ctx, c, seed+i, kinds)
		if err != nil {
			return errors.Annotatef(err, "seed %d", seed+i)
		}
		if violations > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Errorf("%d of %d seeds had violations", failedSeeds, c.Int("seeds"))
	}
	return nil
}

// parseKinds returns the kinds of events with the given names.
func parseKinds(names []string) ([]soak.Kind, error) {
	errs := settingErrors{}
	kinds := []soak.Kind{}
	for _, name := range names {
		if !slices.Contains(soak.Kinds(), soak.Kind(name)) {
			errs.add("kind", errors.NewNotValid(nil, fmt.Sprintf("%q is not one of %v", name, soak.Kinds())))
		}
		kinds = append(kinds, soak.Kind(name))
	}
	return kinds, errs.err()
}

// soakSeed runs a soak with the seed and returns the number of violations.
func soakSeed(ctx context.Context, c *cli.Command, seed uint64, kinds []soak.Kind) (int, error) {
	folder := filepath.Join(c.String("folder"), fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return 0, errors.Trace(err)
	}
	events, err := os.Create(filepath.Join(folder, "events.log"))
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() {
		_ = events.Close()
	}()
	plan := soak.NewPlan(seed, c.Duration("length"), kinds...)
	if c.Bool("rolling") {
		plan = soak.NewRollingPlan(seed, c.Duration("length"))
	}
	s := &soak.Soak{
		Program:  c.String("program"),
		Folder:   folder,
		Plan:     plan,
		Proxies:  c.Int("proxies"),
		Services: c.Int("services"),
		Callers:  c.Int("callers"),
		Log: func(format string, args ...any) {
			// The report counts, not the log of events: a failed write to the log doesn't fail the run.
			_, _ = fmt.Fprintf(events, format+"\n", args...)
		},
	}
	report, err := s.Run(ctx)
	if err != nil {
		return 0, errors.Trace(err)
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.json"), data, 0o600); err != nil {
		return 0, errors.Trace(err)
	}
	fmt.Printf("seed %d: %d events, %d of %d statements served, %d promotions, %d violations\n",
		seed, len(report.Plan.Events), report.Served, report.Sent, report.Promotions, len(report.Violations))
	for _, v := range report.Violations[:min(len(report.Violations), 5)] {
		fmt.Printf("  %s after %s: %s\n", v.Rule, v.At.Round(time.Millisecond), v.Detail)
	}
	return len(report.Violations), nil
}
