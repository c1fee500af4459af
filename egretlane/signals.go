package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// untilStopped returns a context that ends when the process is told to stop. Signals may come in series:
// further SIGTERMs don't cut short what the first one began, and each is reported. Only an interrupt does,
// once the process is stopping, as whoever is at the terminal wants it to end.
func untilStopped(ctx context.Context, again func(s os.Signal)) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	told := make(chan os.Signal, 4)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		signal.Reset(syscall.SIGINT)
		cancel()
		for s := range told {
			again(s)
		}
	}()
	return ctx
}
