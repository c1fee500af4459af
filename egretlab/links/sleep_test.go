package links

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

func TestSignalsDoNotShortenASleep(t *testing.T) {
	thread := make(chan int)
	done := make(chan time.Duration)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		thread <- syscall.Gettid()
		early := time.Duration(0)
		for range 50 {
			due := time.Now().Add(preciseSleepLimit)
			sleepUntil(due)
			early = max(early, time.Until(due))
		}
		done <- early
	}()
	id := <-thread
	for {
		select {
		case early := <-done:
			if early > 0 {
				t.Errorf("a sleep ended %s early", early)
			}
			return
		case <-time.After(100 * time.Microsecond):
		}
		// The signal with which the runtime preempts goroutines.
		if err := syscall.Tgkill(syscall.Getpid(), id, syscall.SIGURG); err != nil {
			t.Fatal(err)
		}
	}
}
