package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/grpclog"

	"egretlane.example/egret/config"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/spans"
)

// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the VM's memory. The rest is for
// stacks, sockets and garbage that the collector cannot free in time.
const memoryLimitPercent = 70

// spanFlushTimeout bounds the export of the last spans when the process ends.
const spanFlushTimeout = 100 * time.Millisecond

// logFlushTimeout bounds the writing of the last log lines when the process ends.
const logFlushTimeout = 100 * time.Millisecond

// fleetCommand returns the subcommand that runs a proxy for database groups whose members register with the platform.
func fleetCommand() *cli.Command {
	path := ""
	return &cli.Command{
		Name:  "fleet",
		Usage: "run one proxy of a fleet, for database groups whose members register with the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:        "settings",
				Usage:       "path of the settings `FILE` (YAML)",
				Sources:     cli.EnvVars(environmentPrefix + "CONFIG"),
				Required:    true,
				Destination: &path,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serveFleet(ctx, path)
		},
	}
}

// serveFleet runs the proxy until a signal stops it.
func serveFleet(ctx context.Context, path string) error {
	hup := hangups()
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
	s, err := config.Load(path)
	if err != nil {
		return err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(s.Limits.MemoryMB << 20 / 100 * memoryLimitPercent)
	}
	writer := &evlog.Writer{
		Out: os.Stdout,
	}
	// Without a flush the lines about the end of the process would be lost.
	defer writer.Flush(logFlushTimeout)
	eventLog := &evlog.Log{
		Logger: &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: time.RFC3339Nano,
			Writer:     writer,
			Context:    log.NewContext(nil).Str("node", s.Node).Value(),
		},
		Rate: s.LogRate,
	}
	flush, err := spans.Provider{
		Export: s.Trace.Export,
		Node:   s.Node,
		Ratio:  s.Trace.Ratio,
	}.Install(ctx)
	if err != nil {
		return err
	}
	defer func() {
		flushCtx, cancel := context.WithTimeout(context.Background(), spanFlushTimeout)
		defer cancel()
		if err := flush(flushCtx); err != nil {
			eventLog.Event("spans-lost").Err(err).Msg("could not export the last spans")
		}
	}()
	n := newNode(s, eventLog)
	ctx = withStopSignals(ctx, func(s os.Signal) {
		eventLog.Event("signal-ignored").Str("signal", s.String()).Msg("signal ignored: a shutdown is already in progress")
	})
	go reloadSettings(ctx, hup, path, s, eventLog)
	if err := n.run(ctx); err != nil {
		return fmt.Errorf("node %s: %w", s.Node, err)
	}
	return nil
}

// settingsReloadInterval is how often the settings file is reloaded, as it may change without a SIGHUP.
const settingsReloadInterval = 5 * time.Second

// reloadSettings reloads the settings file on each signal of hup and at regular intervals, and applies the log rate. An invalid
// file changes nothing.
func reloadSettings(ctx context.Context, hup <-chan os.Signal, path string, s *config.Settings, eventLog *evlog.Log) {
	tick := time.NewTicker(settingsReloadInterval)
	defer tick.Stop()
	rate := s.LogRate
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		reloaded, err := config.Load(path)
		if err != nil {
			eventLog.Event("settings-refused").Err(err).Msg("invalid settings file; the current settings stay in use")
			continue
		}
		if signalled || reloaded.LogRate != rate {
			eventLog.Event("settings-reread").Bool("signalled", signalled).Int("log-rate", reloaded.LogRate).Msg("settings reloaded")
			eventLog.SetRate(reloaded.LogRate)
			rate = reloaded.LogRate
		}
	}
}
