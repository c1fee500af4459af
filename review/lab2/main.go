// Command lab2 plays the cases of the second review: it starts the proxies as processes, with stand-ins of the platform, of
// the databases and of the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the longest time that a case may take.
const maxLength = 110 * time.Second

func main() {
	cases := map[string]func(w *world, trouble bool) (bool, error){
		"sync":   syncCase,
		"routes": routesCase,
		"values": valuesCase,
		"shapes": shapesCase,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[3], os.Args[2])
	if err != nil {
		fail(err)
	}
	go closeEarly(w)
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case could not run: %v", err)
	} else {
		w.logf("result: rule broken: %v", broken)
	}
	w.close()
	switch {
	case err != nil:
		fail(err)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	default:
		fmt.Println("the rule held")
	}
}

// closeEarly ends all processes if the case takes too long or is stopped.
func closeEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	w.logf("stopped before the end")
	w.close()
	fail(fmt.Errorf("stopped before the end"))
}
