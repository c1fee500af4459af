package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// limitMemory kills each process that has more memory than its machine, as the platform does, until the returned function is
// called.
func (w *world) limitMemory() func() {
	stop := make(chan struct{})
	wg := sync.WaitGroup{}
	for _, p := range w.proxies {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				mb := p.residentMB()
				p.peakMB.Store(max(mb, p.peakMB.Load()))
				if mb > int64(w.memoryMB) {
					p.kills.Add(1)
					p.signal(syscall.SIGKILL)
					w.logf("platform: %s has %d MB of %d MB and is killed", p.name, mb, w.memoryMB)
					time.Sleep(restartDelay / 2)
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// valuesCase: a small crowd of sessions that set values of legal size and then read.
func valuesCase(w *world, trouble bool) (bool, error) {
	const proxies, perProxy, values, length = 9, 3, 13, 75 * time.Second
	w.quiet = true
	routes := []routeConfig{}
	for _, service := range []string{"dele69a", "huve24b", "rimo31c"} {
		w.addGroup(service, 2, 16, 8*time.Millisecond)
		routes = append(routes, stockRoute("stock-"+service, "h"+service, service))
	}
	if err := w.startPlatform(); err != nil {
		return false, err
	}
	w.writeConfig(routes)
	if err := w.startProxies(proxies); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	end := w.limitMemory()
	size := 1000
	if trouble {
		// A message has 1 MiB at most.
		size = 1000 * 1000
	}
	value := strings.Repeat("v", size)
	served, refused, closed := atomic.Int64{}, atomic.Int64{}, atomic.Int64{}
	began := time.Now()
	until := began.Add(length)
	wg := sync.WaitGroup{}
	for i := range proxies * perProxy {
		wg.Go(func() {
			for n := i; time.Now().Before(until); n++ {
				// The callers work on one database after the other.
				phase := min(int(time.Since(began)*3/length), 2)
				end := began.Add(length * time.Duration(phase+1) / 3)
				if !w.valuesSession(w.proxies[n%proxies], routes[phase].Host, i, values, value, end, &served, &refused) {
					closed.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	end()
	w.logf("%d sessions at a time: %d reads served, %d refused, %d sessions closed or refused", proxies*perProxy, served.Load(), refused.Load(), closed.Load())
	ends, machines := int64(0), 0
	for _, p := range w.proxies {
		n := p.kills.Load() + p.exits.Load()
		ends += n
		if n >= 3 {
			machines++
		}
		w.logf("%s: at most %d MB of %d MB; killed for its memory %d times, ended otherwise %d times", p.name, p.peakMB.Load(), w.memoryMB, p.kills.Load(), p.exits.Load())
	}
	w.logf("processes ended by themselves %d times; three times or more on %d machines", ends, machines)
	if served.Load() == 0 {
		return false, fmt.Errorf("no read was served")
	}
	return machines >= 2, nil
}

// valuesSession runs one session until the time, or until it is closed, which makes it return false.
func (w *world) valuesSession(p *proxyProcess, database string, i, values int, value string, until time.Time, served, refused *atomic.Int64) bool {
	c, err := open(p, database)
	if err != nil {
		return false
	}
	defer c.conn.Close()
	for v := range values {
		if a, err := c.do(newID(), fmt.Sprintf("SET v%d %s", v, value), 20*time.Second); err != nil || a.code != "" {
			return false
		}
	}
	for time.Now().Before(until) {
		a, err := c.do(newID(), fmt.Sprintf("READ 1%x", i), 5*time.Second)
		switch {
		case err != nil:
			return false
		case a.code != "":
			refused.Add(1)
			time.Sleep(20 * time.Millisecond)
		default:
			served.Add(1)
		}
	}
	return true
}
