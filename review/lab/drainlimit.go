package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

const (
	// drainLimit is the drain_ms of the deployment.
	drainLimit = 7 * time.Second

	// leavingFor is for how long a member serves after its report that it is draining: drain_ms and some seconds.
	leavingFor = 12 * time.Second

	// drainCallers is the number of sessions that read and write.
	drainCallers = 12
)

// runDrainLimit replaces the primary just after both replicas were lost for good. It checks that no statement reaches the
// draining member later than drain_ms after its report.
func runDrainLimit(ctx context.Context, r *record, trouble bool) (verdict, error) {
	o := newObserver(r)
	w := &world{
		Group: &dbsim.Group{
			Service:          "orders-db",
			Slots:            5,
			Connections:      55,
			ConnectCost:      12 * time.Millisecond,
			StatementCost:    11 * time.Millisecond,
			ReplicationDelay: 2 * time.Millisecond,
			ApplyDelay:       20 * time.Millisecond,
			PromotionDelay:   600 * time.Millisecond,
			Observer:         o,
		},
		Connections: 55,
		Proxies:     3,
		Routes: []route{{
			Name:      "order-place",
			Host:      "orders",
			Type:      "primary",
			TimeoutMS: 1000,
			TargetMS:  400,
			Priority:  1,
			Service:   "orders-db",
		}},
		record: r,
	}
	defer w.stop()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	c := &drainCheck{
		world:    w,
		observer: o,
		drained:  map[string]time.Time{},
	}
	running, stopCallers := context.WithCancel(ctx)
	wg := sync.WaitGroup{}
	for i := range drainCallers {
		wg.Go(func() { c.call(running, i) })
	}
	time.Sleep(time.Second)
	if trouble {
		for _, m := range w.Group.Members[1:] {
			r.logf("disruption: %s is lost for good", m.ID())
			m.Crash()
		}
	}
	time.Sleep(100 * time.Millisecond)
	c.drain(ctx, w.Group.Members[0])
	time.Sleep(leavingFor + 3*time.Second)
	stopCallers()
	wg.Wait()
	return c.check()
}

// drainCheck has the times at which the store accepted the reports of draining members.
type drainCheck struct {
	world    *world
	observer *observer

	mu       sync.Mutex
	drained  map[string]time.Time
	answered int
}

// drain lets a member report that it is draining, and replaces it after leavingFor by a new one at its address, which gets
// its log.
func (c *drainCheck) drain(ctx context.Context, m *dbsim.Member) {
	id := m.ID()
	m.Drain()
	// The report is in the store within a poll of the heartbeat.
	at := time.Now().Add(100 * time.Millisecond)
	c.world.record.logf("planned work: %s reports draining", id)
	c.mu.Lock()
	c.drained[id] = at
	c.mu.Unlock()
	time.AfterFunc(leavingFor, func() {
		m.Crash()
		c.world.record.logf("planned work: %s exits; a new member starts at its address: %v", id, m.Start(ctx, true))
	})
}

// call reads and writes until the context ends. It opens another session after an error.
func (c *drainCheck) call(ctx context.Context, i int) {
	r := c.world.record
	for n := 0; ctx.Err() == nil; n++ {
		s, err := c.world.connect(c.world.nodes[(i+n)%len(c.world.nodes)], "orders")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for m := 0; ctx.Err() == nil; m++ {
			id := newID()
			text := fmt.Sprintf("READ item-%d", i)
			if m%2 == 0 {
				text = fmt.Sprintf("WRITE item-%d %s", i, id)
			}
			r.logf("caller %d sends %s %q", i, id, text)
			a, err := s.query(id, text, 2*time.Second)
			r.logf("caller %d gets the answer to %s: signature %q error %q %v", i, id, a.signature, a.fault, err)
			if err != nil {
				break
			}
			if a.fault == "" {
				c.mu.Lock()
				c.answered++
				c.mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.close()
	}
}

func (c *drainCheck) check() (verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered < 100 {
		return nil, fmt.Errorf("only %d statements were answered", c.answered)
	}
	c.observer.mu.Lock()
	defer c.observer.mu.Unlock()
	found := verdict{}
	for _, e := range c.observer.executions {
		drained, draining := c.drained[e.member]
		// The statement reached the member before it ran there.
		if late := e.at.Add(-200 * time.Millisecond).Sub(drained); draining && late > drainLimit {
			found = append(found, fmt.Sprintf("DRAIN: %s reached %s at least %.3f s after the store had accepted that it is draining", e.id, e.member, late.Seconds()))
		}
	}
	return found, nil
}
