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

// experiment is the content of an experiment file: one load and one schedule of faults, run against several variants.
type experiment struct {
	// Seed seeds the callers' random choices. Length is the duration of each run.
	Seed   uint64        `yaml:"seed"`
	Length time.Duration `yaml:"length"`

	// Proxies and Services are the numbers of proxies and of database groups. Callers is the number per route.
	Proxies  int `yaml:"proxies"`
	Services int `yaml:"services"`
	Callers  int `yaml:"callers"`

	// Events are the faults and the planned maintenance, ordered by time.
	Events []soak.Event `yaml:"events"`

	// Variants run one after another.
	Variants []variant `yaml:"variants"`
}

// variant is a build of the proxy and its settings, which is compared with the other variants.
type variant struct {
	// Name is unique and usable as the name of a folder.
	Name string `yaml:"name"`

	// Program is the path of the proxy's executable.
	Program string `yaml:"program"`

	// LogRate is the proxy's log-rate setting. 0 leaves the proxy's default.
	LogRate int `yaml:"log-rate"`
}

// outcome is the report of one variant's run.
type outcome struct {
	Variant string       `json:"variant"`
	Report  *soak.Report `json:"report"`
}

// experimentCommand returns the command that runs an experiment file.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare variants of the proxy under the same load and faults; prints a table and writes JSON and a plot",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "folder",
				Usage:   "output `FOLDER` for settings, logs, outcome.json and plot.png",
				Value:   ".run/experiment",
				Sources: cli.EnvVars("EGRETLAB_FOLDER"),
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.NewNotValid(nil, fmt.Sprintf("expected one FILE argument, got %d", c.Args().Len()))
			}
			return runExperiment(ctx, c.Args().First(), c.String("folder"), os.Stdout)
		},
	}
}

// readExperiment reads and validates an experiment file. Missing sizes get the defaults of the
// soak command.
func readExperiment(path string) (*experiment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "opening the experiment file")
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
		return nil, errors.Annotatef(err, "decoding the experiment file %s", path)
	}
	return e, errors.Annotatef(stderrors.Join(e.validate()...), "validating the experiment file %s", path)
}

// validate returns all errors in the values, each with the key that it is about.
func (e *experiment) validate() []error {
	errs := []error{}
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(e.Length > 0 && e.Proxies > 0 && e.Services > 0 && e.Callers > 0, "length, proxies, services and callers: must be positive")
	for i, event := range e.Events {
		check(slices.Contains(soak.Kinds(), event.Kind), "events[%d].kind: %q is not one of %v", i, event.Kind, soak.Kinds())
		check(event.At >= 0 && event.At+event.Duration <= e.Length, "events[%d].at: event does not end within the length of %s", i, e.Length)
		check(i == 0 || event.At >= e.Events[i-1].At, "events[%d].at: earlier than the previous event", i)
		check(event.Target >= 0, "events[%d].target: must not be negative", i)
	}
	check(len(e.Variants) > 0, "variants: at least one is required")
	names := map[string]bool{}
	for i, v := range e.Variants {
		check(v.Name != "" && !names[v.Name] && filepath.Base(v.Name) == v.Name, "variants[%d].name: %q is empty, duplicated, or not a valid folder name", i, v.Name)
		check(v.Program != "", "variants[%d].program: must not be empty", i)
		check(v.LogRate >= 0, "variants[%d].log-rate: must not be negative", i)
		names[v.Name] = true
	}
	return errs
}

// runExperiment runs the variants in turn, writes outcome.json, plot.png and the table, and returns an error if any run
// had a violation.
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
	return joinViolations(outcomes)
}

// joinViolations returns the violations of all variants as one error, or nil if there are none.
func joinViolations(outcomes []outcome) error {
	errs := []error{}
	for _, o := range outcomes {
		for _, v := range o.Report.Violations {
			errs = append(errs, fmt.Errorf("%s: %s after %s: %s", o.Variant, v.Rule, v.At.Round(time.Millisecond), v.Detail))
		}
	}
	return stderrors.Join(errs...)
}

// run runs the load and the faults against one variant. The folder gets its settings and logs.
func (e *experiment) run(ctx context.Context, v variant, folder string) (*soak.Report, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	s := &soak.Soak{
		Program: v.Program,
		Folder:  folder,
		Plan: &soak.Plan{
			StatementTimeout: soak.DefaultStatementTimeout,
			Seed:             e.Seed,
			Duration:         e.Length,
			Events:           e.Events,
		},
		Proxies:  e.Proxies,
		Services: e.Services,
		Callers:  e.Callers,
		LogRate:  v.LogRate,
	}
	return s.Run(ctx)
}

// writeTable writes one row per variant.
func writeTable(out io.Writer, outcomes []outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tserved\tfailed\tmedian\t99%\tgap\tpromotions\tbroken promises\tprocessor\tper 1,000 served")
	for _, o := range outcomes {
		r := o.Report
		perThousand := time.Duration(0)
		if r.Total.Served > 0 {
			perThousand = r.CPUTime * 1000 / time.Duration(r.Total.Served)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", o.Variant, r.Total.Served, r.Total.Failed,
			r.Total.Median.Round(10*time.Microsecond), r.Total.P99.Round(100*time.Microsecond), r.LongestGap, r.Promotions, len(r.Violations),
			r.CPUTime.Round(10*time.Millisecond), perThousand.Round(10*time.Microsecond))
	}
	return w.Flush()
}
