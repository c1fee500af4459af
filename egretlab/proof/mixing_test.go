package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// transactionSettings are the sizes of the proof that transactions don't mix.
const (
	mixCallers      = 16
	mixTransactions = 200
)

// mixer runs transactions of two orders each. Both carry the transaction's name.
type mixer struct {
	c *cluster

	// committed counts the transactions that were acknowledged, vanished those left open.
	committed atomic.Int64
	vanished  atomic.Int64
	cancelled atomic.Int64
	failed    atomic.Int64

	mu sync.Mutex

	// left are the names of transactions that were left open.
	left []string
}

// one runs a transaction through a proxy. Some vanish in the middle, some are cancelled through
// another proxy.
func (m *mixer) one(proxy int, name string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := m.c.dialProxy(ctx, proxy, "")
	if err != nil {
		m.failed.Add(1)
		time.Sleep(connectPause)
		return
	}
	defer conn.Close(ctx)
	if !m.steps(ctx, conn, "BEGIN /*kind='order'*/", insertOf(name, "a")) {
		m.leave(name)
		return
	}
	switch random.IntN(6) {
	case 0:
		m.vanish(conn, name)
		return
	case 1:
		m.cancelLater(ctx, conn, proxy)
		m.leave(name)
		return
	}
	if m.steps(ctx, conn, insertOf(name, "b"), "COMMIT") {
		m.committed.Add(1)
	}
}

func insertOf(name string, part string) string {
	return fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s/%s', '%s')", name, part, name)
}

// steps runs statements until one fails.
func (m *mixer) steps(ctx context.Context, conn *pgconn.PgConn, statements ...string) bool {
	for _, sql := range statements {
		if _, err := run(ctx, conn, sql); err != nil {
			m.failed.Add(1)
			return false
		}
	}
	return true
}

// vanish drops the connection without a word.
func (m *mixer) vanish(conn *pgconn.PgConn, name string) {
	m.vanished.Add(1)
	m.leave(name)
	_ = conn.Conn().Close()
}

// leave notes that a transaction ended without a commit.
func (m *mixer) leave(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = append(m.left, name)
}

// cancelLater cancels a long statement through another proxy, and then leaves.
func (m *mixer) cancelLater(ctx context.Context, conn *pgconn.PgConn, proxy int) {
	other := m.c.proxies[(proxy+1)%len(m.c.proxies)]
	time.AfterFunc(20*time.Millisecond, func() {
		_ = sendCancel(other.address.String(), conn)
	})
	_, err := run(ctx, conn, "SELECT pg_sleep(2)")
	if codeOf(err) == "57014" {
		m.cancelled.Add(1)
	}
	_, _ = run(ctx, conn, "ROLLBACK")
}

// TestTransactionsNeverMix runs many transactions over few connections. An entry of the log is one
// commit: it must hold both orders of one transaction and nothing else.
func TestTransactionsNeverMix(t *testing.T) {
	t.Parallel()
	const seed = 41
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Slots:       4,
		Connections: 8,
	})
	m := &mixer{
		c: c,
	}
	m.drive(seed, 0, mixTransactions)
	killed := make(chan struct{})
	time.AfterFunc(200*time.Millisecond, func() {
		c.proxies[1].kill()
		close(killed)
	})
	m.drive(seed, mixTransactions, mixTransactions)
	<-killed
	m.wantLeftRolledBack(t)
	c.waitEqualLogs()
	h := c.history(nil)
	if mixed := mixedEntries(h.final); len(mixed) > 0 {
		t.Errorf("entries that hold parts of other transactions: %v", mixed)
	}
	c.wantOneTransactionAtATime(t)
	if n := m.committed.Load(); n < mixTransactions/2 {
		t.Errorf("%d transactions committed, too few to show anything", n)
	}
	if m.cancelled.Load() == 0 {
		t.Error("no statement was cancelled through another proxy")
	}
	c.wantWithinLimits(t)
	t.Logf("%d committed, %d vanished, %d cancelled, %d failed", m.committed.Load(), m.vanished.Load(),
		m.cancelled.Load(), m.failed.Load())
	t.Run("baseline", func(t *testing.T) {
		sharedConnection(t, c)
	})
}

// drive runs transactions with a number of callers at once.
func (m *mixer) drive(seed uint64, first int, count int) {
	var done sync.WaitGroup
	var next atomic.Int64
	for i := range mixCallers {
		done.Go(func() {
			random := rand.New(rand.NewPCG(seed+uint64(first), uint64(i)))
			for {
				n := next.Add(1)
				if n > int64(count) {
					return
				}
				m.one(random.IntN(len(m.c.proxies)), fmt.Sprintf("mix-%d", first+int(n)), random)
			}
		})
	}
	done.Wait()
}

// wantLeftRolledBack runs the transactions that were left open once more. Their locks must be free,
// and their orders must not be there.
func (m *mixer) wantLeftRolledBack(t *testing.T) {
	t.Helper()
	for _, name := range m.left {
		until(t, 10*time.Second, "the locks of "+name, func() error {
			return m.again(name)
		})
	}
}

func (m *mixer) again(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	conn, err := m.c.dialProxy(ctx, 0, "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, sql := range []string{"BEGIN", insertOf(name, "a"), insertOf(name, "b"), "COMMIT"} {
		if _, err := run(ctx, conn, sql); err != nil {
			return err
		}
	}
	return nil
}

// mixedEntries returns the changes of entries that are not whole transactions of the mixer.
func mixedEntries(entries []walog.Entry) []string {
	var mixed []string
	for _, e := range entries {
		names := map[string]bool{}
		for _, c := range e.Changes {
			if name, _, found := strings.Cut(c.ID, "/"); found {
				names[name] = true
			}
		}
		if len(names) > 1 || (len(names) == 1 && len(e.Changes) != 2) {
			mixed = append(mixed, fmt.Sprint(e.Changes))
		}
	}
	return mixed
}

// wantOneTransactionAtATime looks through the statements of each connection. Those between a begin
// and its end must be of one transaction of the mixer.
func (c *cluster) wantOneTransactionAtATime(t *testing.T) {
	t.Helper()
	for _, m := range c.members {
		s, err := m.stats()
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range s.Connections {
			if mixed := mixedEvents(k.Events); len(mixed) > 0 {
				t.Errorf("%s connection %d: %v", m.name, k.Process, mixed)
			}
		}
	}
}

// mixedName finds the name of a transaction of the mixer in a statement.
var mixedName = regexp.MustCompile(`'(mix-[0-9]+)/`)

// mixedEvents returns the statements of a connection that came inside another transaction.
func mixedEvents(events []stats.Event) []string {
	var mixed []string
	name := ""
	number := uint64(0)
	for _, e := range events {
		if e.Kind != stats.KindStatement || e.Transaction != number {
			name = ""
			number = e.Transaction
		}
		found := mixedName.FindStringSubmatch(e.Text)
		if found == nil {
			continue
		}
		if name != "" && name != found[1] {
			mixed = append(mixed, e.Text)
		}
		name = found[1]
	}
	return mixed
}

// sharedConnection lets two callers share one connection, statement by statement.
func sharedConnection(t *testing.T, c *cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	leader, _ := c.primary()
	conn, err := dialAs(ctx, leader.address.String(), userName, "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	for _, sql := range []string{"BEGIN", insertOf("one", "a"), insertOf("two", "a"), insertOf("one", "b"), "COMMIT"} {
		if _, err := run(ctx, conn, sql); err != nil {
			t.Fatal(err)
		}
	}
	if len(mixedEntries(c.history(nil).final)) != 1 {
		t.Error("the checker misses two transactions on one connection")
	}
}
