package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

const (
	// syncWriters is the number of sessions that write one statement after the other.
	syncWriters = 8

	// deafFor is for how long a replica receives nothing.
	deafFor = 6 * time.Second

	// releaseGap is the time from the report of one leaving member to that of the next.
	releaseGap = time.Second

	// drainFor is for how long a draining member serves: drain_ms and a little longer.
	drainFor = 7500 * time.Millisecond
)

// runSyncLoss replaces a replica of a service with a synchronous replica, and then the primary, while the other replica
// receives nothing for a while. It checks that the member that is promoted has every acknowledged commit.
func runSyncLoss(ctx context.Context, r *record, trouble bool) (verdict, error) {
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
			SyncReplicas:     1,
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
	c := &syncCheck{
		world: w,
		acked: map[string]time.Time{},
	}
	running, stopWriters := context.WithCancel(ctx)
	wg := sync.WaitGroup{}
	for i := range syncWriters {
		wg.Go(func() { c.write(running, i) })
	}
	primary, leaving, other := w.Group.Members[0], w.Group.Members[1], w.Group.Members[2]
	time.Sleep(time.Second)
	if os.Getenv("NODRAIN") == "" {
		c.replace(ctx, leaving)
	}
	time.Sleep(releaseGap)
	if trouble {
		r.logf("disruption: %s receives nothing", other.ID())
		w.Group.SetFaults(other, dbsim.Faults{
			ReplicationStopped: true,
		})
		time.AfterFunc(deafFor, func() {
			r.logf("disruption: %s receives again", other.ID())
			w.Group.SetFaults(other, dbsim.Faults{})
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.replace(ctx, primary)
	time.Sleep(drainFor + 3*time.Second)
	stopWriters()
	wg.Wait()
	return c.check(o, trouble)
}

// syncCheck has the commits that were acknowledged.
type syncCheck struct {
	world *world

	mu    sync.Mutex
	acked map[string]time.Time
}

// replace lets a member report that it is draining. It exits after drainFor, and a new member starts at its address with its
// log.
func (c *syncCheck) replace(ctx context.Context, m *dbsim.Member) {
	r, id := c.world.record, m.ID()
	r.logf("planned work: %s reports draining", id)
	m.Drain()
	time.AfterFunc(drainFor, func() {
		m.Crash()
		r.logf("planned work: %s exits; a new member starts at its address: %v", id, m.Start(ctx, true))
	})
}

// write writes until the context ends. It opens another session after an error.
func (c *syncCheck) write(ctx context.Context, i int) {
	r := c.world.record
	for n := 0; ctx.Err() == nil; n++ {
		s, err := c.world.connect(c.world.nodes[(i+n)%len(c.world.nodes)], "orders")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			id := newID()
			text := fmt.Sprintf("WRITE item-%d %s", i, id)
			r.logf("writer %d sends %s %q", i, id, text)
			a, err := s.query(id, text, 2*time.Second)
			r.logf("writer %d gets the answer to %s: signature %q error %q %v", i, id, a.signature, a.fault, err)
			if err != nil {
				break
			}
			if a.fault == "" {
				c.mu.Lock()
				c.acked[id] = time.Now()
				c.mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.close()
	}
}

// check compares the log of the primary with the acknowledged commits.
func (c *syncCheck) check(o *observer, trouble bool) (verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	c.world.record.logf("%d commits acknowledged, %d promotions", len(c.acked), len(o.promotions))
	if trouble && len(o.promotions) == 0 {
		return nil, errors.New("no member was promoted")
	}
	if len(c.acked) < 50 {
		return nil, fmt.Errorf("only %d commits were acknowledged", len(c.acked))
	}
	kept := map[string]bool{}
	for _, e := range c.world.Group.Log() {
		kept[e.ID] = true
	}
	lost := verdict{}
	for id, at := range c.acked {
		if !kept[id] {
			lost = append(lost, fmt.Sprintf("LOST: %s at %s was acknowledged at %.3f s, and the log of the member that was promoted lacks it",
				id, o.commits[id].Position, at.Sub(c.world.record.started).Seconds()))
		}
	}
	return lost, nil
}
