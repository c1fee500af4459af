package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// withStopSignals returns a context that ends on the first SIGTERM or SIGINT. Further SIGTERMs don't cut the shutdown
// short, as signals may be repeated; each of them is passed to onRepeat. A SIGINT during the shutdown kills the
// process, as whoever sends it from a terminal wants the process to end.
func withStopSignals(ctx context.Context, onRepeat func(s os.Signal)) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		signal.Reset(syscall.SIGINT)
		cancel()
		for s := range signals {
			onRepeat(s)
		}
	}()
	return ctx
}
