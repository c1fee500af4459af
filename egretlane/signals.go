package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// hangups returns a channel that receives SIGHUP from now on. The signal is handled for the rest of the process, also during the
// shutdown, as it would kill the process otherwise.
func hangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

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
