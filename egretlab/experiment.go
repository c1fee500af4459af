package main

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret/egretlab/soak"
)

// experiment is the file of an experiment: a load and its faults, for several variants.
type experiment struct {
	// Seed is that of the callers, Length the time of each run.
	Seed   uint64        `yaml:"seed"`
	Length time.Duration `yaml:"length"`

	// Proxies, Services and Callers are how many of each run. Callers are those of each route.
	Proxies  int `yaml:"proxies"`
	Services int `yaml:"services"`
	Callers  int `yaml:"callers"`

	// Events are the faults and the planned work, ordered by time.
	Events []soak.Event `yaml:"events"`

	// Variants are run one after the other.
	Variants []variant `yaml:"variants"`
}

// variant is a version of the proxy, or a setting.
type variant struct {
	// Name is unique.
	Name string `yaml:"name"`

	// Program is the file of the proxy.
	Program string `yaml:"program"`

	// LogRate is the setting of that name, or 0 for the default.
	LogRate int `yaml:"log-rate"`
}

// outcome is what came of a variant.
type outcome struct {
	Variant string       `json:"variant"`
	Report  *soak.Report `json:"report"`
}

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "run a load and its faults against several variants; writes a table, JSON and a plot",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "folder",
				Usage:   "`FOLDER` for settings, logs, outcome.json and plot.png",
				Value:   ".run/experiment",
				Sources: cli.EnvVars("EGRETLAB_FOLDER"),
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.NotValidf("%d arguments, one FILE is needed", c.Args().Len())
			}
			return runExperiment(ctx, c.Args().First(), c.String("folder"), os.Stdout)
		},
	}
}

// readExperiment reads and checks the file of an experiment.
func readExperiment(path string) (*experiment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "the experiment")
	}
	defer func() {
		_ = f.Close()
	}()
	e := &experiment{
		Length:   soakLength,
		Proxies:  soakProxies,
		Services: soakServices,
		Callers:  soakCallers,
	}
	d := yaml.NewDecoder(f)
	d.KnownFields(true)
	if err := d.Decode(e); err != nil {
		return nil, errors.Annotatef(err, "the experiment in %s", path)
	}
	return e, errors.Annotatef(stderrors.Join(e.faults()...), "the experiment in %s", path)
}

// faults returns all that is wrong, each with its place.
func (e *experiment) faults() []error {
	faults := []error{}
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	check(e.Length > 0 && e.Proxies > 0 && e.Services > 0 && e.Callers > 0, "length, proxies, services and callers: must be above zero")
	for i, v := range e.Events {
		check(slices.Contains(soak.Kinds(), v.Kind), "events[%d].kind: %q is none of %v", i, v.Kind, soak.Kinds())
		check(v.At >= 0 && v.At+v.For <= e.Length, "events[%d].at: doesn't end within the length %s", i, e.Length)
		check(i == 0 || v.At >= e.Events[i-1].At, "events[%d].at: before the event ahead of it", i)
		check(v.Target >= 0, "events[%d].target: must not be negative", i)
	}
	check(len(e.Variants) > 0, "variants: none")
	names := map[string]bool{}
	for i, v := range e.Variants {
		check(v.Name != "" && !names[v.Name] && filepath.Base(v.Name) == v.Name, "variants[%d].name: %q is empty, no name of a folder, or not unique", i, v.Name)
		check(v.Program != "", "variants[%d].program: a file is missing", i)
		check(v.LogRate >= 0, "variants[%d].log-rate: must not be negative", i)
		names[v.Name] = true
	}
	return faults
}

func runExperiment(ctx context.Context, path, folder string, out io.Writer) error {
	e, err := readExperiment(path)
	if err != nil {
		return err
	}
	outcomes := []outcome{}
	for _, v := range e.Variants {
		r, err := e.run(ctx, v, filepath.Join(folder, v.Name))
		if err != nil {
			return errors.Annotatef(err, "variant %s", v.Name)
		}
		outcomes = append(outcomes, outcome{
			Variant: v.Name,
			Report:  r,
		})
	}
	data, err := json.MarshalIndent(outcomes, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "outcome.json"), data, 0o600); err != nil {
		return errors.Trace(err)
	}
	if err := plotOutcomes(outcomes, filepath.Join(folder, "plot.png")); err != nil {
		return errors.Trace(err)
	}
	if err := writeTable(out, outcomes); err != nil {
		return errors.Trace(err)
	}
	return broken(outcomes)
}

// broken returns an error with the broken promises of all variants, or nil.
func broken(outcomes []outcome) error {
	faults := []error{}
	for _, o := range outcomes {
		for _, v := range o.Report.Violations {
			faults = append(faults, fmt.Errorf("%s: %s after %s: %s", o.Variant, v.Rule, v.At.Round(time.Millisecond), v.What))
		}
	}
	return stderrors.Join(faults...)
}

// run plays the experiment with a variant.
func (e *experiment) run(ctx context.Context, v variant, folder string) (*soak.Report, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	s := &soak.Soak{
		Program: v.Program,
		Folder:  folder,
		Plan: &soak.Plan{
			Seed:   e.Seed,
			Length: e.Length,
			Events: e.Events,
		},
		Proxies:  e.Proxies,
		Services: e.Services,
		Callers:  e.Callers,
		LogRate:  v.LogRate,
	}
	return s.Run(ctx)
}

func writeTable(out io.Writer, outcomes []outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tserved\tfailed\tmedian\t99%\tgap\tpromotions\tbroken promises\tprocessor\tper 1,000 served")
	for _, o := range outcomes {
		r := o.Report
		perThousand := time.Duration(0)
		if r.Whole.Served > 0 {
			perThousand = r.Processor * 1000 / time.Duration(r.Whole.Served)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", o.Variant, r.Whole.Served, r.Whole.Failed,
			r.Whole.Median.Round(10*time.Microsecond), r.Whole.High.Round(100*time.Microsecond), r.Gap, r.Promotions, len(r.Violations),
			r.Processor.Round(10*time.Millisecond), perThousand.Round(10*time.Microsecond))
	}
	return w.Flush()
}
