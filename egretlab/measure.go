package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/egretlab/load"
)

// measureSettings are the flags of the measure command. Most are texts, so that all errors in them are reported
// together.
type measureSettings struct {
	// set selects the running set.
	set setSettings

	// duration is the measured duration of each phase.
	duration string

	// policy is the name of a policy, or "all".
	policy string

	// lags are the replication lags to set, as durations separated by commas.
	lags string

	// seed, sessions and failures are whole numbers.
	seed, sessions, failures string

	// think is the mean think time between a session's requests.
	think string

	// format is the output format: table or json.
	format string

	// failure is the kind of failure to cause, or empty to compare the policies.
	failure string

	// store is the state of the store during the failures: up or down.
	store string

	// slow is the duration of a run with slow primaries, or empty.
	slow string

	// commit is the measured commit. It is copied into the report.
	commit string

	// cost is true if the overhead of the proxies is measured.
	cost bool
}

// measureCommand returns the command that runs a load against a running set and prints a report.
func measureCommand() *cli.Command {
	s := &measureSettings{}
	return &cli.Command{
		Name:  "measure",
		Usage: "run a load against a running set of processes and report what callers observe",
		Flags: s.flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return s.run(ctx)
		},
	}
}

func (s *measureSettings) flags() []cli.Flag {
	return append(s.set.flags(),
		textFlag(&s.duration, "duration", "EGRETLAB_DURATION", "20s", "`DURATION` of each phase"),
		textFlag(&s.policy, "policy", "EGRETLAB_POLICY", "all", "routing `POLICY` to measure: all, egretlane, primary-only or pin-after-write"),
		textFlag(&s.lags, "lag", "EGRETLAB_LAG", "10ms,200ms,2s", "comma-separated `DURATIONS` of the replication lag to measure with"),
		textFlag(&s.seed, "seed", "EGRETLAB_SEED", "1", "`SEED` of the callers' random choices"),
		textFlag(&s.sessions, "sessions", "EGRETLAB_SESSIONS", "1500", "`NUMBER` of concurrent callers"),
		textFlag(&s.think, "think", "EGRETLAB_THINK", "1s", "mean `DURATION` between a caller's requests"),
		textFlag(&s.format, "format", "EGRETLAB_FORMAT", "table", "output `FORMAT`: table or json"),
		textFlag(&s.failures, "failures", "EGRETLAB_FAILURES", "10", "`NUMBER` of failures to cause, with --failure"),
		textFlag(&s.failure, "failure", "EGRETLAB_FAILURE", "", "`KIND` of failure to cause: killed, frozen, cut, cut-domain or cut-one-region; if empty, the policies are compared instead"),
		textFlag(&s.store, "store", "EGRETLAB_STORE", "up", "`STATE` of the store during the failures: up or down"),
		textFlag(&s.slow, "slow-primaries", "EGRETLAB_SLOW_PRIMARIES", "", "`DURATION` of a run with slow but live primaries, which counts the promotions; takes precedence over --failure"),
		textFlag(&s.commit, "commit", "EGRETLAB_COMMIT", "", "measured `COMMIT`, to be named in the report"),
		&cli.BoolFlag{
			Name:        "cost",
			Usage:       "measure the overhead of the proxies compared with direct connections; takes precedence over --slow-primaries and --failure",
			Sources:     cli.EnvVars("EGRETLAB_COST"),
			Destination: &s.cost,
		},
	)
}

// run performs the selected measurement and prints its report. Cost takes precedence over slow primaries, and these
// over failures.
func (s *measureSettings) run(ctx context.Context) error {
	r, err := s.runner()
	if err != nil {
		return errors.Trace(err)
	}
	report := load.Report{
		Deployment: s.set.deployment,
		Seed:       r.Seed,
		Commit:     s.commit,
	}
	switch {
	case s.cost:
		err = r.MeasureCost(ctx, &report)
	case s.slow != "":
		err = r.MeasureSlowPrimaries(ctx, &report)
	case s.failure != "":
		err = r.MeasureFailover(ctx, &report)
	default:
		err = r.ComparePolicies(ctx, &report)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if s.format == "json" {
		return errors.Trace(report.JSON(os.Stdout))
	}
	return errors.Trace(report.Table(os.Stdout))
}

// runner validates the settings and returns a runner that has them.
func (s *measureSettings) runner() (*load.Runner, error) {
	errs := &settingErrors{}
	set, err := s.set.set()
	errs.add("deployment", err)
	r := &load.Runner{
		Target: &load.Target{
			Set:  set,
			HTTP: &http.Client{},
		},
		Policies:     s.parsePolicies(errs),
		Lags:         s.parseLags(errs),
		Duration:     parseDuration(errs, "duration", s.duration),
		Seed:         uint64(parseNumber(errs, "seed", s.seed)),
		Sessions:     int(parseNumber(errs, "sessions", s.sessions)),
		ThinkTime:    parseDuration(errs, "think", s.think),
		FailureCount: int(parseNumber(errs, "failures", s.failures)),
		FailureKind:  load.FailureKind(s.failure),
		StoreDown:    s.store == "down",
	}
	if s.slow != "" {
		r.SlowDuration = parseDuration(errs, "slow-primaries", s.slow)
	}
	if s.store != "up" && s.store != "down" {
		errs.add("store", errors.NewNotValid(nil, fmt.Sprintf("%q is not one of up, down", s.store)))
	}
	if s.format != "table" && s.format != "json" {
		errs.add("format", errors.NewNotValid(nil, fmt.Sprintf("%q is not one of table, json", s.format)))
	}
	if s.failure != "" {
		errs.add("failure", r.FailureKind.Check())
	}
	return r, errs.err()
}

func (s *measureSettings) parsePolicies(errs *settingErrors) []load.Policy {
	if s.policy == "all" {
		return load.Policies()
	}
	for _, p := range load.Policies() {
		if string(p) == s.policy {
			return []load.Policy{p}
		}
	}
	errs.add("policy", errors.NewNotValid(nil, fmt.Sprintf("%q is not one of all, egretlane, primary-only, pin-after-write", s.policy)))
	return nil
}

func (s *measureSettings) parseLags(errs *settingErrors) []time.Duration {
	lags := []time.Duration{}
	for text := range strings.SplitSeq(s.lags, ",") {
		lags = append(lags, parseDuration(errs, "lag", text))
	}
	return lags
}
