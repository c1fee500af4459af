package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
	"egretlane.example/egret/egretlab/keysim"
)

const (
	// refuseFor is for how long the store turns the holder's machine away, and partitionFor for how long the primary is
	// partitioned.
	refuseFor    = 9 * time.Second
	partitionFor = 7 * time.Second

	// intentWriters is the number of sessions that write one statement after the other.
	intentWriters = 8
)

// runLostIntent lets the store turn the holder away while the primary is partitioned from the holder and from its replicas,
// and then stops the holder with SIGTERM. It checks that no write is acknowledged that was committed at a primary after the
// promotion of another one has taken effect.
func runLostIntent(ctx context.Context, r *record, trouble bool) (verdict, error) {
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
		Partitions:  true,
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
	defer stopWriters()
	wg := sync.WaitGroup{}
	for i := range intentWriters {
		wg.Go(func() { c.write(running, i) })
	}
	time.Sleep(time.Second)
	first := w.Group.Primary()
	r.logf("planned work: %s reports draining", first.ID())
	first.Drain()
	time.Sleep(drainFor)
	first.Crash()
	time.Sleep(500 * time.Millisecond)
	r.logf("planned work: %s has exited; a new member starts at its address: %v", first.ID(), first.Start(ctx, true))
	time.Sleep(3 * time.Second)
	holder, primary := w.holder(), w.Group.Primary()
	if holder == nil || primary == nil {
		return nil, errors.New("the service has no holder or no primary")
	}
	r.logf("the holder is %s, the primary %s", holder.name, primary.ID())
	if trouble && os.Getenv("NOSTORE") == "" {
		r.logf("disruption: the store turns %s away with 503", holder.name)
		w.store.SetFault(holder.name, keysim.Fault{
			Mode: keysim.ModeRefuse,
		})
		time.AfterFunc(refuseFor, func() {
			r.logf("disruption: the store serves %s again", holder.name)
			w.store.SetFault(holder.name, keysim.Fault{})
		})
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble && os.Getenv("NOCUT") == "" {
		l := w.link(holder.name, primary.Listen)
		r.logf("disruption: %s is partitioned from its replicas and from %s", primary.ID(), holder.name)
		l.cut()
		w.Group.SetFaults(primary, dbsim.Faults{
			Isolated: true,
		})
		time.AfterFunc(partitionFor, func() {
			w.Group.SetFaults(primary, dbsim.Faults{})
			r.logf("disruption: the partition of %s ends: %v", primary.ID(), l.open())
		})
	}
	time.Sleep(2700 * time.Millisecond)
	if os.Getenv("NOSTOP") == "" {
		r.logf("planned work: %s is stopped", holder.name)
		w.terminate(holder)
	}
	time.Sleep(10 * time.Second)
	stopWriters()
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.logf("%d commits acknowledged, %d promotions", len(c.acked), len(o.promotions))
	if len(c.acked) < 50 {
		return nil, fmt.Errorf("only %d commits were acknowledged", len(c.acked))
	}
	found := verdict{}
	for id := range c.acked {
		if commit := o.commits[id]; commit.Superseded {
			found = append(found, fmt.Sprintf("ONE: %s was committed at %s of %s after another member had been promoted, and acknowledged", id, commit.Position, commit.Member))
		}
	}
	return found, nil
}
