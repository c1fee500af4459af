package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"egretlane.example/egret/egretlab/sites"
)

// The shares of a session's kinds of requests, in percent.
const (
	// ownOrderPercent of the reads without a maximum age read an order of the session.
	ownOrderPercent = 30

	// otherGroupPercent of the remaining reads go to a random group instead of the session's.
	otherGroupPercent = 30

	// switchPercent of the requests are followed by a switch to another proxy.
	switchPercent = 2

	// dropTokenPercent of the switches drop the session's token.
	dropTokenPercent = 20
)

// order is an order of a session.
type order struct {
	// id is the order's key.
	id string

	// version is the number of the last acknowledged update.
	version int
}

// session is a caller that sends one request after another. Only its own goroutine uses it.
type session struct {
	// phase is the phase that the session belongs to.
	phase *Phase

	// client runs the statements.
	client Client

	// random makes the session's random choices.
	random *rand.Rand

	// number is unique in the phase.
	number int

	// group is the group of the session's orders.
	group int

	// orders are the session's acknowledged orders, with the newest last.
	orders []order

	// attempts counts the orders that were sent, whatever their outcome.
	attempts int

	// highestStock is the highest stock count that the session has read.
	highestStock int
}

// run sends requests until the context ends.
func (s *session) run(ctx context.Context) {
	defer s.client.Close()
	for s.think(ctx) {
		s.request(ctx)
		if s.chance(switchPercent) {
			s.client.SwitchProxy(!s.chance(dropTokenPercent))
		}
	}
}

// request sends one request, chosen at random by the deployment's mix.
func (s *session) request(ctx context.Context) {
	m := s.phase.Target.Set.Deployment.Mix
	n := s.random.IntN(100)
	switch {
	case n < m.Orders:
		s.placeOrder(ctx)
	case n < m.Orders+m.Schedules:
		s.updateOrder(ctx)
	case n < m.Orders+m.Schedules+m.Stock:
		s.readStock(ctx)
	case len(s.orders) > 0 && s.chance(ownOrderPercent):
		s.readOwnOrder(ctx)
	default:
		s.readCertificate(ctx)
	}
}

func (s *session) placeOrder(ctx context.Context) {
	s.attempts++
	id := fmt.Sprintf("%s-%d-%d", s.phase.keyPrefix, s.number, s.attempts)
	start := time.Now()
	_, err := s.client.Run(ctx, Statement{
		Kind:  sites.KindOrder,
		Group: s.groupName(),
		Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', '0')", id),
		Write: true,
	})
	if ctx.Err() != nil {
		return
	}
	s.phase.ledger.add(s.groupName(), id, err)
	if err != nil {
		s.phase.recorder.recordFailure(err)
		return
	}
	s.phase.recorder.recordOrder(time.Since(start))
	s.orders = append(s.orders, order{
		id: id,
	})
}

// updateOrder updates a random order of the session. It does nothing if there is none.
func (s *session) updateOrder(ctx context.Context) {
	if len(s.orders) == 0 {
		return
	}
	o := &s.orders[s.random.IntN(len(s.orders))]
	_, err := s.client.Run(ctx, Statement{
		Kind:  sites.KindSchedule,
		Group: s.groupName(),
		Query: fmt.Sprintf("UPDATE orders SET item = '%d' WHERE id = '%s'", o.version+1, o.id),
		Write: true,
	})
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.phase.recorder.recordFailure(err)
	default:
		o.version++
		s.phase.recorder.recordOther()
	}
}

// readOwnOrder reads back one of the session's three newest orders and checks that it has its last acknowledged update.
func (s *session) readOwnOrder(ctx context.Context) {
	last := len(s.orders) - 1
	o := s.orders[max(0, last-s.random.IntN(3))]
	got, ok := s.read(ctx, sites.KindCertificate, s.group, o.id)
	if !ok {
		return
	}
	version, err := strconv.Atoi(got)
	if err != nil || version < o.version {
		s.phase.recorder.recordStale(&s.phase.recorder.result.StaleOwn,
			fmt.Sprintf("order %s reads %q, want %d", o.id, got, o.version))
	}
}

// readStock reads the stock of the session's group. It checks that the read is not older than the mix's maximum age,
// nor older than an earlier read of the session.
func (s *session) readStock(ctx context.Context) {
	row := s.phase.stocks[s.group]
	start := time.Now()
	got, ok := s.read(ctx, sites.KindStock, s.group, row.id)
	if !ok {
		return
	}
	count := parseCount(got)
	age := s.phase.Target.Set.Deployment.Mix.StockAge
	if minCount := row.minCount(start.Add(-age)); count < minCount {
		s.phase.recorder.recordStale(&s.phase.recorder.result.StaleAge,
			fmt.Sprintf("stock %s reads %q, want %d for the age of %s", row.id, got, minCount, age))
	}
	if count < s.highestStock {
		s.phase.recorder.recordStale(&s.phase.recorder.result.StaleBack,
			fmt.Sprintf("stock %s reads %q after %d", row.id, got, s.highestStock))
	}
	s.highestStock = max(s.highestStock, count)
}

func (s *session) readCertificate(ctx context.Context) {
	group := s.group
	if s.chance(otherGroupPercent) {
		group = s.random.IntN(len(s.phase.stocks))
	}
	s.read(ctx, sites.KindCertificate, group, certificateID(s.random.IntN(certificateCount)))
}

// read reads a row by its key. It returns false if the read failed or the context has ended.
func (s *session) read(ctx context.Context, kind string, group int, id string) (string, bool) {
	name := s.phase.Target.Set.Group(group)
	start := time.Now()
	a, err := s.client.Run(ctx, Statement{
		Kind:  kind,
		Group: name,
		Query: fmt.Sprintf("SELECT item FROM orders WHERE id = '%s'", id),
	})
	if ctx.Err() != nil {
		return "", false
	}
	if err != nil {
		s.phase.recorder.recordFailure(err)
		return "", false
	}
	s.phase.recorder.recordRead(time.Since(start), a.Member != s.phase.primaries[name])
	return a.Value, true
}

// think waits for a random think time. It returns false if the context has ended.
func (s *session) think(ctx context.Context) bool {
	thinkTime := time.Duration(s.random.ExpFloat64() * float64(s.phase.ThinkTime))
	t := time.NewTimer(thinkTime)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// chance returns true in the given percentage of calls.
func (s *session) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

func (s *session) groupName() string {
	return s.phase.Target.Set.Group(s.group)
}
