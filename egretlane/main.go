// Command egretlane is the proxy. One process runs on each entry VM, and all processes have the same role.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/grpclog"
)

func main() {
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "egretlane:", err)
		os.Exit(1)
	}
}

func rootCommand() *cli.Command {
	s := &flagValues{}
	return &cli.Command{
		Name:                  "egretlane",
		Usage:                 "database proxy with session consistency",
		Flags:                 s.flags(),
		Commands:              []*cli.Command{fleetCommand()},
		EnableShellCompletion: true,
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serve(ctx, s)
		},
	}
}

// serve runs the proxy until a signal stops it.
func serve(ctx context.Context, s *flagValues) error {
	hup := hangups()
	// gRPC would write log lines in a format of its own. The failures that they report are counted in metrics.
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
	c, err := s.config()
	if err != nil {
		return err
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 / 100 * memoryLimitPercent)
	}
	p, err := newProxy(c)
	if err != nil {
		return err
	}
	ctx = withStopSignals(ctx, func(s os.Signal) {
		log.Warn().Str("signal", s.String()).Msg("signal ignored: a shutdown is already in progress")
	})
	go func() {
		for range hup {
			log.Warn().Msg("signal ignored: settings are read at the start only")
		}
	}()
	return p.run(ctx)
}
