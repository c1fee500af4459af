package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/grpclog"

	"egretlane.example/egret/setup"
	"egretlane.example/egret/spans"
	"egretlane.example/egret/trail"
)

// memoryPart is the part of the VM's memory, in percent, above which the collector works harder. The
// rest is for stacks, sockets and what the collector can't free in time.
const memoryPart = 70

// flushTime bounds the sending of the last spans at the end of the process.
const flushTime = 500 * time.Millisecond

// fleetCommand runs a proxy of database groups that register themselves at the platform.
func fleetCommand() *cli.Command {
	path := ""
	return &cli.Command{
		Name:  "fleet",
		Usage: "run as one of a fleet of proxies before database groups that register themselves",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:        "settings",
				Usage:       "the settings `FILE`",
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

// serveFleet runs the proxy until it is told to stop.
func serveFleet(ctx context.Context, path string) error {
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
	s, err := setup.Load(path)
	if err != nil {
		return err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(s.Limits.MemoryMB << 20 / 100 * memoryPart)
	}
	t := &trail.Trail{
		Logger: &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: time.RFC3339Nano,
			Writer: &trail.Writer{
				Out: os.Stdout,
			},
			Context: log.NewContext(nil).Str("node", s.Node).Value(),
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
		late, cancel := context.WithTimeout(context.Background(), flushTime)
		defer cancel()
		if err := flush(late); err != nil {
			t.Event("spans-lost").Err(err).Msg("the last spans could not be sent")
		}
	}()
	n := newNode(s, t)
	ctx = untilStopped(ctx, func(s os.Signal) {
		t.Event("signal-ignored").Str("signal", s.String()).Msg("the process is stopping already")
	})
	go reread(ctx, path, s, t)
	if err := n.run(ctx); err != nil {
		return fmt.Errorf("node %s: %w", s.Node, err)
	}
	return nil
}

// rereadInterval is how often the settings file is read again, as it may change without a signal.
const rereadInterval = 5 * time.Second

// reread reads the settings file again on SIGHUP and from time to time. Faulty settings change nothing.
func reread(ctx context.Context, path string, s *setup.Settings, t *trail.Trail) {
	hup := make(chan os.Signal, 1)
	// It stays so while the process stops, as an unhandled SIGHUP would end it at once.
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(rereadInterval)
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
		fresh, err := setup.Load(path)
		if err != nil {
			t.Event("settings-refused").Err(err).Msg("the settings file can't be used; the settings stay")
			continue
		}
		if signalled || fresh.LogRate != rate {
			t.Event("settings-reread").Bool("signalled", signalled).Int("log-rate", fresh.LogRate).Msg("the settings were read again")
			t.SetRate(fresh.LogRate)
			rate = fresh.LogRate
		}
	}
}
