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
	// probers is how many orders of a group are tried at once.
	probers = 24

	// probeInterval is the time between two orders of a prober.
	probeInterval = 240 * time.Millisecond
)

// acknowledged is an order that was placed.
type acknowledged struct {
	// sent and at are when the order was sent and acknowledged.
	sent, at time.Time
}

// probe places orders in a group all the time, through all proxies.
type probe struct {
	// target is the set.
	target *Target

	// group is the name of the group.
	group string

	// tag makes the orders' keys unique.
	tag string

	// ledger takes the orders.
	ledger *ledger

	mu sync.Mutex

	// placed gets each acknowledged order while someone waits.
	placed chan acknowledged
}

// run places orders until the context ends.
func (p *probe) run(ctx context.Context, seed uint64) {
	wg := sync.WaitGroup{}
	defer wg.Wait()
	proxies := p.target.Set.Proxies()
	for n := range probers {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			c := &proxied{
				target: p.target,
				random: r,
				region: proxies[n%len(proxies)].Domain.Region,
			}
			defer c.Close()
			pause(ctx, time.Duration(n)*probeInterval/probers)
			for i := 0; ctx.Err() == nil; i++ {
				p.place(ctx, c, fmt.Sprintf("%s-%d-%d", p.tag, n, i))
				pause(ctx, probeInterval)
			}
		})
	}
}

func (p *probe) place(ctx context.Context, c Client, id string) {
	sent := time.Now()
	// The end of the run doesn't break orders off: their outcome is needed.
	_, err := c.Run(context.WithoutCancel(ctx), Ask{
		Kind:  sites.KindOrder,
		Group: p.group,
		Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', 'probe')", id),
		Write: true,
	})
	p.ledger.add(p.group, id, err)
	if err != nil {
		return
	}
	p.tell(acknowledged{
		sent: sent,
		at:   time.Now(),
	})
}

func (p *probe) tell(a acknowledged) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placed == nil {
		return
	}
	select {
	case p.placed <- a:
	default:
	}
}

// first returns when the first order was acknowledged that was sent at t or later.
func (p *probe) first(ctx context.Context, t time.Time) (time.Time, bool) {
	placed := p.listen()
	for {
		select {
		case a := <-placed:
			if !a.sent.Before(t) {
				return a.at, true
			}
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}

// listen returns a channel that gets the acknowledged orders from now on.
func (p *probe) listen() <-chan acknowledged {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed = make(chan acknowledged, probers)
	return p.placed
}
