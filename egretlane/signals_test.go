package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"egretlane.example/egret/config"
	"egretlane.example/egret/evlog"
)

// TestSignalsInSeries sends SIGTERM twice and then SIGHUP. Each of them would kill the test process if it were not
// handled.
func TestSignalsInSeries(t *testing.T) {
	repeated := make(chan os.Signal, 1)
	hup := hangups()
	ctx := withStopSignals(t.Context(), func(s os.Signal) { repeated <- s })
	reloadDone := make(chan struct{})
	go func() {
		defer close(reloadDone)
		reloadSettings(ctx, hup, "nowhere", &config.Settings{}, &evlog.Log{})
	}()
	time.Sleep(50 * time.Millisecond)
	send(t, syscall.SIGTERM)
	wait(t, ctx.Done(), "the end of the context")
	wait(t, reloadDone, "the end of reloadSettings")
	send(t, syscall.SIGTERM)
	select {
	case s := <-repeated:
		if s != syscall.SIGTERM {
			t.Errorf("got signal %s, want SIGTERM", s)
		}
	case <-time.After(5 * time.Second):
		t.Error("the second signal was not reported")
	}
	send(t, syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
}

func send(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

func wait(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatalf("timeout while waiting for %s", what)
	}
}

// TestParentCancellationEndsContext checks that the context also ends when its parent does.
func TestParentCancellationEndsContext(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	ctx := withStopSignals(parent, func(os.Signal) {})
	cancel()
	wait(t, ctx.Done(), "the end of the context")
}
