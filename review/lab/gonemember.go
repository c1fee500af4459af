package main

import (
	"context"
	"os"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

const (
	// behindFor is for how long a replica receives nothing before the primary crashes.
	behindFor = 3 * time.Second

	// crashFor is for how long the crashed primary is down.
	crashFor = 7 * time.Second

	// crashPhase is how long after its last heartbeat the replica is lost.
	crashPhase = time.Second
)

// runGoneMember lets one replica of a service with a synchronous replica receive nothing for a while. Then the other replica is
// lost for good, and the primary crashes and comes back with its log. It checks that the member that is promoted has every
// acknowledged commit.
func runGoneMember(ctx context.Context, r *record, trouble bool) (verdict, error) {
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
		Connections:      55,
		Proxies:          3,
		MissedHeartbeats: 3,
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
	for i := range syncWriters {
		wg.Go(func() { c.write(running, i) })
	}
	primary, synced, behind := w.Group.Members[0], w.Group.Members[1], w.Group.Members[2]
	time.Sleep(2 * time.Second)
	if trouble {
		r.logf("disruption: %s receives nothing", behind.ID())
		w.Group.SetFaults(behind, dbsim.Faults{
			ReplicationStopped: true,
		})
		time.AfterFunc(deafFor, func() {
			r.logf("disruption: %s receives again", behind.ID())
			w.Group.SetFaults(behind, dbsim.Faults{})
		})
	}
	time.Sleep(behindFor)
	for w.sinceHeartbeat(synced) < crashPhase || w.sinceHeartbeat(synced) > heartbeatInterval {
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		for _, m := range []*dbsim.Member{primary, synced} {
			if m == synced && os.Getenv("NOREPLICA") != "" {
				continue
			}
			r.logf("disruption: %s crashes", m.ID())
			m.Crash()
			if m == synced {
				// It is lost for good.
				continue
			}
			time.AfterFunc(crashFor, func() {
				r.logf("disruption: %s starts again: %v", m.ID(), m.Start(ctx, false))
			})
		}
	}
	time.Sleep(crashFor + 3*time.Second)
	stopWriters()
	wg.Wait()
	return c.check(o, trouble)
}
