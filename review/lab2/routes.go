package main

import (
	"fmt"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// routesCase: a session commits on a service, the route of its database goes to another service and back, and the session reads
// what it has committed.
func routesCase(w *world, trouble bool) (bool, error) {
	const lag, lagged = 8 * time.Millisecond, 1200 * time.Millisecond
	w.addGroup("dele69a", 4, 32, lag)
	w.addGroup("huve24b", 4, 32, lag)
	if err := w.startPlatform(); err != nil {
		return false, err
	}
	// Each version has one route of the database. A version that removes it adds another one.
	routes := func(service string) []routeConfig {
		return []routeConfig{stockRoute("stock-check-"+service, "hucu512", service)}
	}
	w.writeConfig(routes("dele69a"))

	mu := sync.Mutex{}
	required, stale, checked := map[string]dbsim.Commit{}, 0, 0
	w.hooks = append(w.hooks, func(r dbsim.Execution) {
		mu.Lock()
		defer mu.Unlock()
		c, found := required[r.ID]
		if !found || !r.Reads || r.Service != c.Service {
			return
		}
		checked++
		if !r.Holds(c.Position) {
			stale++
			w.logf("STALE: %s ran %s %q without %d.%d, which the session had committed with %s", r.Member, r.ID, r.Text, c.Position.Term, c.Position.Offset, c.ID)
		}
	})
	if err := w.startProxies(3); err != nil {
		return false, err
	}
	sessions := []*client{}
	for i := range 12 {
		c, err := open(w.proxies[i%3], "hucu512")
		if err != nil {
			return false, err
		}
		sessions = append(sessions, c)
	}
	// Each session works on both services for a while, so that connections are open.
	for _, service := range []string{"huve24b", "dele69a"} {
		w.writeConfig(routes(service))
		time.Sleep(1500 * time.Millisecond)
		for i, c := range sessions {
			for range 3 {
				if _, err := c.do(newID(), fmt.Sprintf("READ 1%x", i), 5*time.Second); err != nil {
					return false, err
				}
			}
		}
	}
	for round := range 6 {
		w.logf("round %d", round)
		w.setApplyDelay("dele69a", lagged)
		time.Sleep(100 * time.Millisecond)
		data := make([]string, len(sessions))
		commits := make([]dbsim.Commit, len(sessions))
		for i, c := range sessions {
			id := newID()
			data[i] = fmt.Sprintf("d%d-%d", round, i)
			a, err := c.do(id, fmt.Sprintf("WRITE 2%x %s", i, data[i]), 5*time.Second)
			if err != nil {
				return false, err
			}
			commit, found := w.commitOf(id)
			w.logf("session %d: %s WRITE 2%x %s answered %q %q", i, id, i, data[i], a.signature, a.code)
			if a.code != "" || !found {
				continue
			}
			commits[i] = commit
		}
		if trouble {
			w.writeConfig(routes("huve24b"))
		}
		time.Sleep(330 * time.Millisecond)
		for i, c := range sessions {
			id := newID()
			a, err := c.do(id, fmt.Sprintf("READ 3%x", i), 5*time.Second)
			if err != nil {
				return false, err
			}
			w.logf("session %d: %s READ 3%x answered %q %q", i, id, i, a.signature, a.code)
		}
		if trouble {
			w.writeConfig(routes("dele69a"))
		}
		time.Sleep(330 * time.Millisecond)
		for i, c := range sessions {
			if commits[i].ID == "" {
				continue
			}
			id := newID()
			mu.Lock()
			required[id] = commits[i]
			mu.Unlock()
			a, err := c.do(id, fmt.Sprintf("READ 2%x", i), 5*time.Second)
			if err != nil {
				return false, err
			}
			w.logf("session %d: %s READ 2%x answered %q %q %q, written was %q", i, id, i, a.rows, a.signature, a.code, data[i])
		}
		w.setApplyDelay("dele69a", lag)
		time.Sleep(2 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	w.logf("%d reads checked, %d stale", checked, stale)
	if checked == 0 {
		return false, fmt.Errorf("no read was checked")
	}
	return stale > 0, nil
}

// stockRoute returns a route like stock-check of the site bregonzi-sieve.
func stockRoute(name, host, service string) routeConfig {
	return routeConfig{
		Name:     name,
		Host:     host,
		Kind:     "session",
		Timeout:  800,
		Target:   500,
		Priority: 2,
		Service:  service,
		MaxAge:   2500,
	}
}
