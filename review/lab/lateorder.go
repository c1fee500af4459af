package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

const (
	// slowPeriod is for how long the platform is slow, and slowCall how long it takes then to carry out a call.
	slowPeriod = 2500 * time.Millisecond
	slowCall   = 4 * time.Second

	// orderRounds is how often the primary is replaced. The platform is slow each time.
	orderRounds = 9

	// settleFor is the pause after a replacement. The members agree on the primary meanwhile.
	settleFor = 1500 * time.Millisecond

	// orderWriters is the number of sessions that write one statement after the other.
	orderWriters = 8
)

// runLateOrder replaces the primary several times while the platform is slow, so that the failover call gets no answer in
// time and is carried out seconds later. It checks that no write is acknowledged that was committed at a primary after the promotion of
// another one has taken effect.
func runLateOrder(ctx context.Context, r *record, trouble bool) (verdict, error) {
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
		Spares:      1,
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
	slowUntil := time.Time{}
	mu := sync.Mutex{}
	w.Promote = func(member string) bool {
		mu.Lock()
		slow := time.Now().Before(slowUntil)
		mu.Unlock()
		if slow {
			time.Sleep(slowCall)
			r.logf("the platform carries out the slow call for %s", member)
		}
		return w.Group.Promote(member)
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
	defer stopWriters()
	wg := sync.WaitGroup{}
	for i := range orderWriters {
		wg.Go(func() { c.write(running, i) })
	}
	spare := w.Group.Members[len(w.Group.Members)-1]
	for range orderRounds {
		primary := w.Group.Primary()
		if primary == nil {
			return nil, errors.New("the group has no primary")
		}
		err := spare.Start(ctx, true)
		r.logf("planned work: a new member %s starts: %v", spare.ID(), err)
		time.Sleep(time.Second)
		if trouble {
			mu.Lock()
			slowUntil = time.Now().Add(slowPeriod)
			mu.Unlock()
			r.logf("disruption: the platform is slow for %v", slowPeriod)
		}
		r.logf("planned work: %s reports draining", primary.ID())
		primary.Drain()
		time.Sleep(drainFor)
		r.logf("planned work: %s exits", primary.ID())
		primary.Crash()
		spare = primary
		time.Sleep(settleFor)
	}
	stopWriters()
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(o.promotions) == 0 || len(c.acked) < 50 {
		return nil, fmt.Errorf("%d promotions, %d commits acknowledged", len(o.promotions), len(c.acked))
	}
	found := verdict{}
	for id := range c.acked {
		if commit := o.commits[id]; commit.Superseded {
			found = append(found, fmt.Sprintf("ONE: %s was committed at %s of %s after another member had been promoted, and acknowledged", id, commit.Position, commit.Member))
		}
	}
	return found, nil
}
