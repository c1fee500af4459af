package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"egretlane.example/egret/egretlab/sites"
)

// Parts of a session's habits, in percent.
const (
	// ownPercent of the look-ups without a stated age read an order of the session.
	ownPercent = 30

	// awayPercent of the other look-ups go to another group than the session's.
	awayPercent = 30

	// roamPercent of the requests are followed by a move to another proxy.
	roamPercent = 2

	// barePercent of the moves hand no token on.
	barePercent = 20
)

// order is an order of a session.
type order struct {
	// id is the order's key.
	id string

	// version is the number of the last acknowledged change.
	version int
}

// session is one caller at work. Its own goroutine uses it.
type session struct {
	// phase is what the session belongs to.
	phase *Phase

	// client runs the statements.
	client Client

	// random makes the choices.
	random *rand.Rand

	// number is unique in the phase.
	number int

	// group is the group of the session's orders.
	group int

	// orders are the session's acknowledged orders, the newest last.
	orders []order

	// made counts the orders that were tried.
	made int

	// seen has the highest stock count read.
	seen int
}

// run works until the context ends.
func (s *session) run(ctx context.Context) {
	defer s.client.Close()
	for s.think(ctx) {
		s.work(ctx)
		if s.chance(roamPercent) {
			s.client.Roam(!s.chance(barePercent))
		}
	}
}

// work does one request of the deployment's mix.
func (s *session) work(ctx context.Context) {
	m := s.phase.Target.Set.Deployment.Mix
	n := s.random.IntN(100)
	switch {
	case n < m.Orders:
		s.place(ctx)
	case n < m.Orders+m.Schedules:
		s.schedule(ctx)
	case n < m.Orders+m.Schedules+m.Stock:
		s.lookUpStock(ctx)
	case len(s.orders) > 0 && s.chance(ownPercent):
		s.lookUpOwn(ctx)
	default:
		s.lookUpCertificate(ctx)
	}
}

func (s *session) place(ctx context.Context) {
	s.made++
	id := fmt.Sprintf("%s-%d-%d", s.phase.tag, s.number, s.made)
	start := time.Now()
	_, err := s.client.Run(ctx, Ask{
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
		s.phase.tally.fail(err)
		return
	}
	s.phase.tally.order(time.Since(start))
	s.orders = append(s.orders, order{
		id: id,
	})
}

// schedule changes an order of the session.
func (s *session) schedule(ctx context.Context) {
	if len(s.orders) == 0 {
		return
	}
	o := &s.orders[s.random.IntN(len(s.orders))]
	_, err := s.client.Run(ctx, Ask{
		Kind:  sites.KindSchedule,
		Group: s.groupName(),
		Query: fmt.Sprintf("UPDATE orders SET item = '%d' WHERE id = '%s'", o.version+1, o.id),
		Write: true,
	})
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.phase.tally.fail(err)
	default:
		o.version++
		s.phase.tally.other()
	}
}

// lookUpOwn reads back one of the session's newest orders.
func (s *session) lookUpOwn(ctx context.Context) {
	last := len(s.orders) - 1
	o := s.orders[max(0, last-s.random.IntN(3))]
	got, ok := s.read(ctx, sites.KindCertificate, s.group, o.id)
	if !ok {
		return
	}
	version, err := strconv.Atoi(got)
	if err != nil || version < o.version {
		s.phase.tally.stale(&s.phase.tally.result.StaleOwn,
			fmt.Sprintf("order %s reads %q, want %d", o.id, got, o.version))
	}
}

func (s *session) lookUpStock(ctx context.Context) {
	t := s.phase.stocks[s.group]
	start := time.Now()
	got, ok := s.read(ctx, sites.KindStock, s.group, t.id)
	if !ok {
		return
	}
	count := parseCount(got)
	age := s.phase.Target.Set.Deployment.Mix.StockAge
	if least := t.least(start.Add(-age)); count < least {
		s.phase.tally.stale(&s.phase.tally.result.StaleAge,
			fmt.Sprintf("stock %s reads %q, want %d for the age of %s", t.id, got, least, age))
	}
	if count < s.seen {
		s.phase.tally.stale(&s.phase.tally.result.StaleBack,
			fmt.Sprintf("stock %s reads %q after %d", t.id, got, s.seen))
	}
	s.seen = max(s.seen, count)
}

func (s *session) lookUpCertificate(ctx context.Context) {
	group := s.group
	if s.chance(awayPercent) {
		group = s.random.IntN(len(s.phase.stocks))
	}
	s.read(ctx, sites.KindCertificate, group, certificate(s.random.IntN(certificates)))
}

// read looks a row up. It returns false if there was no answer.
func (s *session) read(ctx context.Context, kind string, group int, id string) (string, bool) {
	name := s.phase.Target.Set.Group(group)
	start := time.Now()
	a, err := s.client.Run(ctx, Ask{
		Kind:  kind,
		Group: name,
		Query: fmt.Sprintf("SELECT item FROM orders WHERE id = '%s'", id),
	})
	if ctx.Err() != nil {
		return "", false
	}
	if err != nil {
		s.phase.tally.fail(err)
		return "", false
	}
	s.phase.tally.read(time.Since(start), a.Member != s.phase.primaries[name])
	return a.Value, true
}

// think waits before the next request. It returns false if the context has ended.
func (s *session) think(ctx context.Context) bool {
	wait := time.Duration(s.random.ExpFloat64() * float64(s.phase.Think))
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *session) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

func (s *session) groupName() string {
	return s.phase.Target.Set.Group(s.group)
}
