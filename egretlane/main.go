// Command egretlane is the proxy. One process runs on each entry VM, and all are alike.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/grpclog"
)

func main() {
	s := &Settings{}
	c := &cli.Command{
		Name:                  "egretlane",
		Usage:                 "database proxy with session consistency",
		Flags:                 s.flags(),
		Commands:              []*cli.Command{fleetCommand()},
		EnableShellCompletion: true,
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serve(ctx, s)
		},
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "egretlane:", err)
		os.Exit(1)
	}
}

// serve runs the proxy until it is told to stop.
func serve(ctx context.Context, s *Settings) error {
	// gRPC's own lines would stand beside the log's; what they report is counted.
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
	c, err := s.config()
	if err != nil {
		return err
	}
	p, err := newProxy(c)
	if err != nil {
		return err
	}
	ctx = untilStopped(ctx, func(s os.Signal) {
		log.Warn().Str("signal", s.String()).Msg("the process is stopping already")
	})
	return p.run(ctx)
}
