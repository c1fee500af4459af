package group

import (
	"time"

	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

const (
	// singleReserveDivisor bounds the connections that transactions leave to single statements: at most
	// 1/singleReserveDivisor of all.
	singleReserveDivisor = 4

	// connIntervalAge is for how long an estimate of member.connInterval is used.
	connIntervalAge = 10 * time.Millisecond
)

// refreshTransactions updates the connections that transactions may use, and the time after which one is expected to become
// free if some statements have to wait for one. FreeConns of the member's view is up to date. Transactions leave a connection for each slot to single statements,
// as they may keep theirs without running anything. The caller holds mu.
func (l *Lane) refreshTransactions(now clock.Time, m *member) {
	reserve := min(m.view.Slots, l.connections/singleReserveDivisor)
	m.view.FreeTransactions = min(m.view.FreeConns, l.connections-reserve-m.transactions)
	if m.view.FreeTransactions > 0 && !m.conns.Reserved() {
		m.view.ConnInterval, m.connIntervalAt = 0, 0
		return
	}
	if m.connIntervalAt == 0 || now.Sub(m.connIntervalAt) > connIntervalAge {
		m.connInterval, m.connIntervalAt = m.estimateConnInterval(now, l.queue.MeanCost(), m.view.FreeConns > 0 && m.view.FreeTransactions <= 0), now
	}
	m.view.ConnInterval = m.connInterval
}

// estimateConnInterval returns the time after which one of the used connections is expected to become free, of all or only
// of those that transactions hold. A connection is expected to be used for as long as it has been, and at least minUse. The caller holds mu.
func (m *member) estimateConnInterval(now clock.Time, minUse time.Duration, transactionsOnly bool) time.Duration {
	perSecond := 0.0
	for c := range m.inUse {
		if c.transaction || !transactionsOnly {
			perSecond += 1 / max(minUse, now.Sub(c.acquired)).Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// assignConn counts the connection that the item will use. The caller holds mu.
func (m *member) assignConn(now clock.Time, it *sched.Item) {
	if it.Need == sched.NeedMember {
		return
	}
	m.conns.Assign(now, it.Workspace)
	m.view.FreeConns--
	if m.conns.Shared() {
		m.view.Connection = m.connection
	}
	if it.Opens {
		m.transactions++
		m.view.FreeTransactions--
	}
}

// useConn records that the item got its connection.
func (l *Lane) useConn(c *conn, it *sched.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.acquired = clock.Now()
	c.transaction = it.Opens
}

// unassignConn undoes the part of assignConn that getConn doesn't, for an item that got no connection.
func (l *Lane) unassignConn(m *member, it *sched.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.Opens {
		m.transactions--
	}
}

// endTransaction records that no transaction holds the connection. The caller holds the lane's mu.
func (c *conn) endTransaction() {
	if c.transaction {
		c.transaction = false
		c.member.transactions--
	}
}
