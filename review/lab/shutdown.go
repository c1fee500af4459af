package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// shutdownGrace is the grace_s of the deployment.
const shutdownGrace = 6 * time.Second

// transactionCaller is a kind of caller that runs one transaction of 12 statements.
type transactionCaller struct {
	// route is the route of the caller, and deadline its deadline for an operation.
	route    route
	deadline time.Duration

	// begin is the text of BEGIN, and verb that of the ten statements between BEGIN and COMMIT.
	begin, verb string

	// count is how many callers there are. They begin at equal intervals from first to last after the SIGTERM.
	count       int
	first, last time.Duration

	// pause is the pause after each answer. It is below tx_idle_ms.
	pause time.Duration
}

// shutdownCallers are the callers. Both kinds are of the deployment tapis-breizh. Their transactions are still open in the
// last second of the grace period.
var shutdownCallers = []transactionCaller{{
	route: route{
		Name:         "stock-look",
		Host:         "stock",
		Type:         "bounded",
		TimeoutMS:    3000,
		TargetMS:     1000,
		Priority:     2,
		Service:      "orders-db",
		MaxStaleness: 1500,
	},
	deadline: 15 * time.Second,
	begin:    "BEGIN READ",
	verb:     "READ",
	count:    60,
	first:    -800 * time.Millisecond,
	last:     100 * time.Millisecond,
	pause:    560 * time.Millisecond,
}, {
	route: route{
		Name:      "order-place",
		Host:      "orders",
		Type:      "primary",
		TimeoutMS: 1000,
		TargetMS:  400,
		Priority:  1,
		Service:   "orders-db",
	},
	deadline: 6 * time.Second,
	begin:    "BEGIN",
	verb:     "WRITE",
	count:    20,
	first:    250 * time.Millisecond,
	last:     750 * time.Millisecond,
	pause:    420 * time.Millisecond,
}}

// runShutdown stops a proxy with SIGTERM while its callers have transactions open, and checks that each request which the
// proxy has read and passed on is answered.
func runShutdown(ctx context.Context, r *record, trouble bool) (verdict, error) {
	o := newObserver(r)
	w := &world{
		Group: &dbsim.Group{
			Service:          "orders-db",
			Slots:            5,
			Connections:      55,
			ConnectCost:      12 * time.Millisecond,
			StatementCost:    40 * time.Millisecond,
			ReplicationDelay: 2 * time.Millisecond,
			ApplyDelay:       20 * time.Millisecond,
			PromotionDelay:   600 * time.Millisecond,
			Observer:         o,
		},
		Connections: 55,
		Proxies:     3,
		record:      r,
	}
	for _, k := range shutdownCallers {
		w.Routes = append(w.Routes, k.route)
	}
	defer w.stop()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	holder := w.holder()
	if holder == nil {
		return nil, errors.New("the service has no holder")
	}
	// A holder hands its service over and ends the transactions there at once, so another proxy is stopped.
	target := w.nodes[0]
	if target == holder {
		target = w.nodes[1]
	}
	r.logf("the holder is %s; callers at %s", holder.name, target.name)
	c := &shutdownCheck{
		world:     w,
		observer:  o,
		target:    target,
		stoppedAt: time.Now().Add(time.Second),
	}
	wg := sync.WaitGroup{}
	for _, k := range shutdownCallers {
		for i := range k.count {
			offset := k.first + (k.last-k.first)*time.Duration(i)/time.Duration(k.count)
			wg.Go(func() { c.runTransaction(k, i, offset) })
		}
	}
	time.Sleep(time.Until(c.stoppedAt))
	if trouble {
		w.terminate(target)
	}
	wg.Wait()
	r.logf("%d statements answered, %d transactions refused, %d connections ended without a breach", c.answered, c.refused, c.ended)
	if c.failed > 0 || c.refused > 10 {
		return nil, fmt.Errorf("%d sessions were not opened, %d transactions were refused", c.failed, c.refused)
	}
	return c.lost, nil
}

// shutdownCheck counts what the callers see.
type shutdownCheck struct {
	world     *world
	observer  *observer
	target    *node
	stoppedAt time.Time

	mu                               sync.Mutex
	answered, ended, refused, failed int
	lost                             verdict
}

// runTransaction opens a session, and runs one transaction that begins at the offset from the SIGTERM.
func (c *shutdownCheck) runTransaction(k transactionCaller, i int, offset time.Duration) {
	r := c.world.record
	name := fmt.Sprintf("%s caller %d", k.route.Name, i)
	s, err := c.world.connect(c.target, k.route.Host)
	if err != nil {
		r.logf("%s: no session: %v", name, err)
		c.count(&c.failed)
		return
	}
	defer s.conn.Close()
	texts := []string{k.begin}
	for n := range 10 {
		text := fmt.Sprintf("%s %s-%d-%d", k.verb, k.route.Host, i, n)
		if k.verb == "WRITE" {
			text += " data"
		}
		texts = append(texts, text)
	}
	time.Sleep(time.Until(c.stoppedAt.Add(offset)))
	began := time.Now()
	for n, text := range append(texts, "COMMIT") {
		if n > 1 {
			time.Sleep(k.pause)
		}
		id := newID()
		sent := time.Now()
		r.logf("%s sends %s %q", name, id, text)
		a, err := s.query(id, text, time.Duration(k.route.TimeoutMS)*time.Millisecond+time.Second)
		if err != nil {
			c.noteEnd(k, name, id, text, began, sent, err)
			return
		}
		r.logf("%s gets the answer to %s: rows %q signature %q error %q state %s", name, id, a.rows, a.signature, a.fault, a.state)
		c.count(&c.answered)
		if a.fault != "" {
			// A refusal that says that nothing is kept is a proper answer.
			c.count(&c.refused)
			return
		}
	}
}

func (c *shutdownCheck) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// noteEnd checks the end of a connection with a request outstanding against the rule LOST.
func (c *shutdownCheck) noteEnd(k transactionCaller, name, id, text string, began, sent time.Time, err error) {
	ended := time.Now()
	// The members report a statement when it ends.
	time.Sleep(500 * time.Millisecond)
	ranAt, passedOn := c.observer.ranAt(id)
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	sentAfter, endedAfter, ranAfter := sent.Sub(c.stoppedAt), ended.Sub(c.stoppedAt), ranAt.Sub(c.stoppedAt)
	c.world.record.logf("%s: no answer to %s %q: %v; sent %.3f s and closed %.3f s after the SIGTERM; run by a member: %t",
		name, id, text, err, sentAfter.Seconds(), endedAfter.Seconds(), passedOn)
	excused := !closed ||
		// Planned work counts until 1 s after grace_s.
		endedAfter > shutdownGrace+time.Second ||
		// The route's timeout or the caller's deadline was reached.
		ended.Sub(sent) >= time.Duration(k.route.TimeoutMS)*time.Millisecond || ended.Sub(began) >= k.deadline ||
		// The member was at work in the last sixth of grace_s on a request sent within 3 s of the SIGTERM.
		ranAfter > shutdownGrace*5/6 && sentAfter <= 3*time.Second
	if excused || !passedOn {
		// A request that was not passed on may not have been read.
		c.count(&c.ended)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, fmt.Sprintf("LOST: %s %s %q was sent %.3f s after the SIGTERM of %s, was run by a member, and the connection ended without an answer %.3f s after the SIGTERM",
		name, id, text, sentAfter.Seconds(), c.target.name, endedAfter.Seconds()))
}
