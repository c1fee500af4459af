// Program reviewlab runs one case of the review: it starts a small deployment on loopback addresses, causes the case's
// disruption, and checks a rule from what callers, members and the platform see.
//
//	reviewlab CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runTimeout ends a case that hangs.
const runTimeout = 115 * time.Second

// exitDelay is the time from the end of the context to the end of the program.
const exitDelay = time.Second

// verdict is the result of a case: the breaches of the rule that were seen.
type verdict []string

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, r *record, trouble bool) (verdict, error){
	"shutdown":    runShutdown,
	"sync-loss":   runSyncLoss,
	"late-order":  runLateOrder,
	"lost-intent": runLostIntent,
	"gone-member": runGoneMember,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil || os.Getenv("EGRETLANE") == "" {
		fmt.Fprintln(os.Stderr, "usage: EGRETLANE=PROGRAM reviewlab CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	r := &record{
		out:     out,
		started: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() {
		// The processes of the case have been killed by then; the case itself may sleep.
		time.Sleep(exitDelay)
		os.Exit(2)
	})
	found, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		r.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, f := range found {
		r.logf("BROKEN: %s", f)
	}
	fmt.Println("breaches:", len(found))
	if len(found) > 0 {
		return 1
	}
	return 0
}
