package main

import (
	"fmt"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// syncCase: with one synchronous replica, a replica receives nothing for a while, the primary goes dark meanwhile, and the other
// replica crashes at the same time and starts again under its ID, knowing nothing of before.
func syncCase(w *world, trouble bool) (bool, error) {
	g := w.addGroup("dele69a", 4, 32, 8*time.Millisecond)
	g.SyncReplicas = 1
	for _, m := range g.Members {
		w.relays[m] = newRelay(m.Listen)
	}
	if err := w.startPlatform(); err != nil {
		return false, err
	}
	w.writeConfig([]routeConfig{{
		Name:     "order-entry",
		Host:     "levo940",
		Kind:     "primary",
		Timeout:  800,
		Target:   300,
		Priority: 1,
		Service:  "dele69a",
	}})
	if err := w.startProxies(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	mu := sync.Mutex{}
	acknowledged := []dbsim.Commit{}
	stop := make(chan struct{})
	wg := sync.WaitGroup{}
	for i := range 6 {
		wg.Go(func() {
			w.writeOrders(w.proxies[i%3], i, stop, func(c dbsim.Commit) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged = append(acknowledged, c)
			})
		})
	}
	primary, replica, deaf := g.Members[0], g.Members[1], g.Members[2]
	time.Sleep(2 * time.Second)
	w.logf("members: %s receives nothing from now on", deaf.ID())
	g.SetFaults(deaf, dbsim.Faults{ReplicationStopped: true})
	time.Sleep(1500 * time.Millisecond)
	w.logf("members: %s goes dark", primary.ID())
	w.relays[primary].setDark(true)
	primary.Crash()
	dark := time.Now()
	if trouble {
		w.logf("members: %s crashes", replica.ID())
		replica.Crash()
		replica.EraseLog()
		time.Sleep(400 * time.Millisecond)
		if err := replica.Start(w.ctx, false); err != nil {
			return false, err
		}
		w.logf("members: %s runs again, with an empty log", replica.ID())
	}
	time.Sleep(time.Until(dark.Add(4500 * time.Millisecond)))
	g.SetFaults(deaf, dbsim.Faults{})
	w.logf("members: %s receives again", deaf.ID())
	time.Sleep(time.Until(dark.Add(6800 * time.Millisecond)))
	if err := primary.Start(w.ctx, false); err != nil {
		return false, err
	}
	w.relays[primary].setDark(false)
	w.logf("members: %s is back with its log", primary.ID())
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()

	w.mu.Lock()
	promotions := append([]dbsim.Promotion{}, w.promos...)
	w.mu.Unlock()
	lost := 0
	for _, p := range promotions {
		for _, c := range acknowledged {
			if c.Position.Term < p.Term && c.Position.Offset > p.KeptEntries {
				lost++
				w.logf("LOST: %s %d.%d was acknowledged, and isn't in the log of %s, which leads term %d from entry %d", c.ID, c.Position.Term, c.Position.Offset, p.Member, p.Term, p.KeptEntries)
			}
		}
	}
	w.logf("%d commits acknowledged, %d promotions, %d commits lost", len(acknowledged), len(promotions), lost)
	if len(acknowledged) < 100 {
		return false, fmt.Errorf("only %d commits", len(acknowledged))
	}
	return lost > 0, nil
}

// writeOrders writes one order after the other until stop is closed, and reports those that were acknowledged.
func (w *world) writeOrders(p *proxyProcess, n int, stop <-chan struct{}, acknowledged func(c dbsim.Commit)) {
	var c *client
	defer func() {
		if c != nil {
			c.conn.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		if c == nil {
			opened, err := open(p, "levo940")
			if err != nil {
				continue
			}
			c = opened
		}
		id := newID()
		a, err := c.do(id, fmt.Sprintf("WRITE 1%x%x o%d", n, i, i), 3*time.Second)
		if err != nil {
			w.logf("session %d: %s has no answer: %v", n, id, err)
			c.conn.Close()
			c = nil
			continue
		}
		w.logf("session %d: %s WRITE answered %q %q", n, id, a.signature, a.code)
		if a.code != "" {
			continue
		}
		if commit, found := w.commitOf(id); found {
			acknowledged(commit)
		}
	}
}
