package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/ledger"
)

const (
	// Each workspace with a quota has quotaRate operations per second and a burst. A successor that began with a full bucket
	// at one of two services would exceed the bound if the burst was used before it.
	quotaRate  = 5
	quotaBurst = 40

	// quotaWindow, quotaOverage and quotaSlack are the proxies' settings of the same names.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20

	// spendPause is the pause between two operations of a caller that uses up a quota.
	spendPause = 10 * time.Millisecond
)

// limited reports whether a workspace has a quota. The first one has none: its key is used for checks of readiness and of
// routes.
func (p *Plan) limited(workspace int) bool {
	return workspace >= 1 && workspace <= p.Quotas
}

// limitWorkspace adds the quota to a workspace in the configuration.
func (s *Soak) limitWorkspace(w *configWorkspace) {
	w.Rate, w.Burst = quotaRate, quotaBurst
	s.ledger.LimitWorkspace(w.Name, ledger.Quota{
		Rate:    quotaRate,
		Burst:   quotaBurst,
		Window:  quotaWindow,
		Overage: quotaOverage,
		Slack:   quotaSlack,
	})
}

// exceedQuota sends operations of a workspace with a quota to all services, above its rate, for the event's duration.
func (s *Soak) exceedQuota(parent context.Context, e Event) {
	ctx, cancel := context.WithTimeout(parent, e.Duration)
	defer cancel()
	wg := sync.WaitGroup{}
	for i, r := range s.routes() {
		if r.public {
			continue
		}
		c := &caller{
			soak:      s,
			route:     r,
			rand:      rand.New(rand.NewPCG(uint64(e.At), uint64(i))),
			workspace: 1 + e.Target%s.Plan.Quotas,
			spends:    true,
		}
		wg.Go(func() { c.spend(ctx) })
	}
	wg.Wait()
}

// spend sends single operations until the context ends.
func (c *caller) spend(ctx context.Context) {
	for ctx.Err() == nil {
		line := c.connect(c.soak.pickProxy(c.rand))
		c.soak.ledger.CheckStartup(c.session, line)
		for strings.HasPrefix(line, "READY") && ctx.Err() == nil {
			item := fmt.Sprintf("%s-%d", c.route.database, c.rand.IntN(itemsPerDatabase))
			if err := c.execute(statement(item, c.rand.Float64() < c.route.writeRatio), time.Time{}, ""); err != nil {
				break
			}
			pause(ctx, spendPause)
		}
		if c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
		pause(ctx, reconnectDelay)
	}
}
