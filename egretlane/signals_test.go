package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"egretlane.example/egret/setup"
	"egretlane.example/egret/trail"
)

// TestSignalsInSeries sends SIGTERM twice and then SIGHUP, each of which would end the test's process if
// nobody took it.
func TestSignalsInSeries(t *testing.T) {
	again := make(chan os.Signal, 1)
	ctx := untilStopped(t.Context(), func(s os.Signal) { again <- s })
	rereading := make(chan struct{})
	go func() {
		defer close(rereading)
		reread(ctx, "nowhere", &setup.Settings{}, &trail.Trail{})
	}()
	time.Sleep(50 * time.Millisecond)
	send(t, syscall.SIGTERM)
	wait(t, ctx.Done(), "the end of the context")
	wait(t, rereading, "the end of rereading")
	send(t, syscall.SIGTERM)
	select {
	case s := <-again:
		if s != syscall.SIGTERM {
			t.Errorf("got %s", s)
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
		t.Fatalf("no %s", what)
	}
}

// TestParentEndsTheProcess checks that the context also ends with its parent.
func TestParentEndsTheProcess(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	ctx := untilStopped(parent, func(os.Signal) {})
	cancel()
	wait(t, ctx.Done(), "end of the context")
}
