package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/sites"
)

const (
	// probeInterval is the time between two orders. The probe doesn't wait for the outcome of earlier orders.
	probeInterval = 20 * time.Millisecond

	// probeBacklog is the number of acknowledgments that a subscriber's channel holds. Others are dropped.
	probeBacklog = 64
)

// acknowledgment has the times of an acknowledged order.
type acknowledgment struct {
	// sentAt is when the order was sent, receivedAt when its acknowledgment arrived.
	sentAt, receivedAt time.Time
}

// probe places orders in a group at a fixed rate, through all proxies.
type probe struct {
	// target is the running set.
	target *Target

	// group is the name of the group.
	group string

	// keyPrefix makes the keys of the orders unique.
	keyPrefix string

	// ledger records the outcomes of the orders.
	ledger *ledger

	mu sync.Mutex

	// idle has the clients that have no order in progress, with the one that is idle for longest first.
	idle []*proxyClient

	// acknowledged is the subscriber's channel, or nil.
	acknowledged chan acknowledgment
}

// run places orders until the context ends. It returns when all have an outcome.
func (p *probe) run(ctx context.Context, seed uint64) {
	wg := sync.WaitGroup{}
	defer p.closeAll()
	defer wg.Wait()
	proxies := p.target.Set.Proxies()
	for n := 0; ctx.Err() == nil; n++ {
		c := p.takeIdle()
		if c == nil {
			c = &proxyClient{
				target: p.target,
				random: rand.New(rand.NewPCG(seed, uint64(n))),
				region: proxies[n%len(proxies)].Domain.Region,
			}
		}
		wg.Go(func() {
			p.place(ctx, c, fmt.Sprintf("%s-%d", p.keyPrefix, n))
			p.putIdle(c)
		})
		sleep(ctx, probeInterval)
	}
}

// takeIdle returns the client that has been idle for longest. It returns nil, so that a new client is opened, while
// fewer than two clients per proxy are idle.
func (p *probe) takeIdle() *proxyClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) < 2*len(p.target.Set.Proxies()) {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

func (p *probe) putIdle(c *proxyClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *probe) closeAll() {
	for _, c := range p.idle {
		c.Close()
	}
}

// place places an order and records its outcome.
func (p *probe) place(ctx context.Context, c Client, id string) {
	sent := time.Now()
	// The end of the run doesn't cancel orders in progress, since the audit needs their outcome.
	_, err := c.Run(context.WithoutCancel(ctx), Statement{
		Kind:  sites.KindOrder,
		Group: p.group,
		Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', 'probe')", id),
		Write: true,
	})
	p.ledger.add(p.group, id, err)
	if err != nil {
		return
	}
	p.publish(acknowledgment{
		sentAt:     sent,
		receivedAt: time.Now(),
	})
}

// publish sends an acknowledgment to the subscriber. It drops it if there is none or its channel is full.
func (p *probe) publish(a acknowledgment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acknowledged == nil {
		return
	}
	select {
	case p.acknowledged <- a:
	default:
	}
}

// firstSince waits for the first acknowledgment of an order that was sent at t or later, and returns when it arrived.
// It returns false if the context ends before.
func (p *probe) firstSince(ctx context.Context, t time.Time) (time.Time, bool) {
	acknowledged := p.subscribe()
	for {
		select {
		case a := <-acknowledged:
			if !a.sentAt.Before(t) {
				return a.receivedAt, true
			}
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}

// subscribe returns a channel that gets all further acknowledgments. It replaces an earlier subscriber.
func (p *probe) subscribe() <-chan acknowledgment {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acknowledged = make(chan acknowledgment, probeBacklog)
	return p.acknowledged
}
