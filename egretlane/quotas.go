package main

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/quota"
)

// loanCheckInterval is how often the buckets are checked for tokens to borrow. It is a fraction of the least time between two
// loans.
const loanCheckInterval = 50 * time.Millisecond

// maxLenders is how many other services a service borrows from, so that the holders of a large fleet don't all connect to each
// other.
const maxLenders = 16

// tokenPool asks other processes for tokens. A link.Pool implements it.
type tokenPool interface {
	Lend(ctx context.Context, a netip.AddrPort, service string, wanted []quota.Amount) ([]quota.Amount, error)
}

// quotaMetrics counts what quotas refuse and move. Its methods must not block.
type quotaMetrics interface {
	// CountQuotaRefusal counts an operation of a workspace in the configuration, or of another one if that is "".
	CountQuotaRefusal(workspace string)

	// CountLoan counts a message that borrows tokens, with those that it has got.
	CountLoan(borrowed float64)

	// CountLent counts tokens that were lent to another process.
	CountLent(tokens float64)
}

// quotas has the ledgers of the services that this process holds. Its exported fields are set before its use.
type quotas struct {
	// Self is the address at which this process serves its peers, and Pool asks others for tokens.
	Self netip.AddrPort
	Pool tokenPool

	// HolderAddress returns the address of a service's holder, and false if none is known.
	HolderAddress func(service string) (netip.AddrPort, bool)

	// Settings relate quotas to the bound.
	Settings quota.Settings

	Metrics  quotaMetrics
	EventLog *evlog.Log

	// mu guards the fields below, and the ledgers.
	mu     sync.Mutex
	tables *egret.Tables

	// services are those of the configuration, and applied is their number that the ledgers use.
	services quota.Services
	applied  int

	// names are the services of the configuration, sorted.
	names []string

	// meters has the services that this process holds.
	meters map[string]*meter
}

// meter counts the operations of a service that this process holds. It implements egret.Meter.
type meter struct {
	quotas  *quotas
	service string
	lease   interface{ Valid() bool }

	// ledger is nil while the service is not in the configuration.
	ledger *quota.Ledger
}

// configure applies a configuration.
func (q *quotas) configure(t *egret.Tables) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tables = t
	q.names = nil
	for _, p := range t.Pools {
		q.names = append(q.names, p.Name)
	}
	slices.Sort(q.names)
	now := clock.Now()
	q.services.Set(now, q.names)
	for _, m := range q.meters {
		o, known := q.services.Opening(now, m.service, false, 0)
		switch {
		case !known:
			// Other services get the share. If this one returns, it begins like an added one.
			m.ledger = nil
		case m.ledger == nil:
			m.ledger = quota.NewLedger(o)
		}
	}
	q.apply()
}

// apply configures all ledgers. The caller holds mu.
func (q *quotas) apply() {
	now := clock.Now()
	q.applied = q.services.Count(now)
	for _, m := range q.meters {
		q.applyTo(now, m)
	}
}

// applyTo configures a ledger. The caller holds mu.
func (q *quotas) applyTo(now clock.Time, m *meter) {
	if m.ledger == nil {
		return
	}
	m.ledger.Configure(now, quota.Configuration{
		Settings:   q.Settings,
		Services:   q.applied,
		Workspaces: q.tables.Workspaces,
		Required:   q.tables.HasWorkspaces,
	})
	for _, s := range m.ledger.States(now) {
		if s.Depth < 1 || s.Rate <= 0 {
			q.EventLog.Event("quota-too-small").Str("service", m.service).Str("workspace", s.Workspace).Float64("depth", s.Depth).
				Float64("rate", s.Rate).Msg("the service's share of the quota is less than one operation or isn't refilled, so that operations are refused")
		}
	}
}

// open returns the meter of a service whose lease has just become valid. first says that no process has ever held the
// service, and unusedSince is a time since which no other has used it, or zero.
func (q *quotas) open(service string, lease interface{ Valid() bool }, first bool, unusedSince clock.Time) *meter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	m := &meter{
		quotas:  q,
		service: service,
		lease:   lease,
	}
	if o, known := q.services.Opening(now, service, first, unusedSince); known {
		m.ledger = quota.NewLedger(o)
	}
	if q.meters == nil {
		q.meters = map[string]*meter{}
	}
	q.meters[service] = m
	q.applyTo(now, m)
	return m
}

// close forgets the meter of a service that this process no longer holds.
func (q *quotas) close(m *meter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.meters[m.service] == m {
		delete(q.meters, m.service)
	}
}

// Admit takes a token for an operation of the workspace.
func (m *meter) Admit(workspace string, priority int) egret.Fault {
	m.quotas.mu.Lock()
	v := quota.Verdict{
		Unknown: true,
	}
	if m.ledger != nil {
		v = m.ledger.Take(clock.Now(), workspace, priority)
	}
	m.quotas.mu.Unlock()
	if v.Admitted {
		return egret.Fault{}
	}
	text := "the quota of workspace " + workspace + " is used up at service " + m.service
	switch {
	case v.Unknown:
		text = "workspace " + workspace + " or service " + m.service + " is not in the configuration"
		workspace = ""
	case v.Wait >= 0:
		text += "; a token is expected in " + max(v.Wait, time.Millisecond).Round(time.Millisecond).String()
	}
	m.quotas.Metrics.CountQuotaRefusal(workspace)
	return egret.Fault{
		Kind: egret.FaultBusy,
		Text: text,
	}
}

// Return gives back the token of an operation that was sent to no member.
func (m *meter) Return(workspace string, since clock.Time) {
	m.quotas.mu.Lock()
	defer m.quotas.mu.Unlock()
	if m.ledger != nil {
		m.ledger.Return(clock.Now(), workspace, since)
	}
}

// lend takes tokens of a service for another one. If the lease has ended by then, the tokens are lost: a successor may
// already have filled buckets of its own.
func (q *quotas) lend(service string, wanted []quota.Amount) []quota.Amount {
	q.mu.Lock()
	m := q.meters[service]
	if m == nil || m.ledger == nil {
		q.mu.Unlock()
		return nil
	}
	lent := m.ledger.Lend(clock.Now(), wanted)
	q.mu.Unlock()
	if !m.lease.Valid() {
		return nil
	}
	return lent
}

// run borrows tokens until the context ends.
func (q *quotas) run(ctx context.Context) error {
	tick := time.NewTicker(loanCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			q.borrow(ctx)
		}
	}
}

// borrow starts the loans that are due, and applies a smaller number of services once it may be used.
func (q *quotas) borrow(ctx context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	if q.services.Count(now) != q.applied {
		q.apply()
	}
	for _, m := range q.meters {
		if m.ledger == nil {
			continue
		}
		loan, due := m.ledger.Plan(now, min(maxLenders, len(q.names)-1))
		if !due {
			continue
		}
		own, _ := slices.BinarySearch(q.names, m.service)
		go m.settle(ctx, m.ledger, q.names[(own+1+loan.Lender)%len(q.names)], loan.Wanted)
	}
}

// settle asks the holder of another service for tokens and adds them to the ledger.
func (m *meter) settle(ctx context.Context, ledger *quota.Ledger, lender string, wanted []quota.Amount) {
	q := m.quotas
	lent, message := []quota.Amount(nil), false
	a, known := q.HolderAddress(lender)
	switch {
	case known && a == q.Self:
		lent = q.lend(lender, wanted)
	case known:
		message = true
		// Without an answer, nothing is borrowed.
		lent, _ = q.Pool.Lend(ctx, a, lender, wanted)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	borrowed := ledger.Settle(clock.Now(), lent)
	if message {
		q.Metrics.CountLoan(borrowed)
	}
}

// Lend takes tokens from the buckets of a service's quotas for another process.
func (n *node) Lend(service string, wanted []quota.Amount) []quota.Amount {
	lent := n.quotas.lend(service, wanted)
	total := 0.0
	for _, a := range lent {
		total += a.Tokens
	}
	n.metrics.CountLent(total)
	return lent
}
