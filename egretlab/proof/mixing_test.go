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

// Sizes of TestTransactionsNeverMix: concurrent callers, and transactions in each of its two rounds.
const (
	mixCallers      = 16
	mixTransactions = 200
)

// transactionLoad runs transactions of two orders each, whose IDs start with the transaction's name.
type transactionLoad struct {
	cluster *cluster

	// committed counts the acknowledged commits, disconnected the transactions that were left open, cancelled the
	// statements cancelled through another proxy, and failed the failed statements and connections.
	committed    atomic.Int64
	disconnected atomic.Int64
	cancelled    atomic.Int64
	failed       atomic.Int64

	mu sync.Mutex

	// uncommitted are the names of transactions that ended without a commit.
	uncommitted []string
}

// runTransaction runs a transaction through a proxy. In the middle, it disconnects with a probability of 1/6, and has a
// statement cancelled through another proxy and rolls back with the same probability.
func (m *transactionLoad) runTransaction(proxy int, name string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := m.cluster.dialProxy(ctx, proxy, "")
	if err != nil {
		m.failed.Add(1)
		time.Sleep(reconnectDelay)
		return
	}
	defer conn.Close(ctx)
	if !m.runStatements(ctx, conn, "BEGIN /*kind='order'*/", insertSQL(name, "a")) {
		m.noteUncommitted(name)
		return
	}
	switch random.IntN(6) {
	case 0:
		m.disconnect(conn, name)
		return
	case 1:
		m.cancelStatement(ctx, conn, proxy)
		m.noteUncommitted(name)
		return
	}
	if m.runStatements(ctx, conn, insertSQL(name, "b"), "COMMIT") {
		m.committed.Add(1)
	}
}

// insertSQL returns the statement that inserts one order of a transaction.
func insertSQL(name string, part string) string {
	return fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s/%s', '%s')", name, part, name)
}

// runStatements runs statements until one fails, and reports whether all succeeded.
func (m *transactionLoad) runStatements(ctx context.Context, conn *pgconn.PgConn, statements ...string) bool {
	for _, sql := range statements {
		if _, err := execSQL(ctx, conn, sql); err != nil {
			m.failed.Add(1)
			return false
		}
	}
	return true
}

// disconnect closes the network connection without ending the session.
func (m *transactionLoad) disconnect(conn *pgconn.PgConn, name string) {
	m.disconnected.Add(1)
	m.noteUncommitted(name)
	_ = conn.Conn().Close()
}

// noteUncommitted records the name of a transaction that ended without a commit.
func (m *transactionLoad) noteUncommitted(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.uncommitted = append(m.uncommitted, name)
}

// cancelStatement runs a long statement that is cancelled through another proxy, and then rolls back.
func (m *transactionLoad) cancelStatement(ctx context.Context, conn *pgconn.PgConn, proxy int) {
	other := m.cluster.proxies[(proxy+1)%len(m.cluster.proxies)]
	time.AfterFunc(20*time.Millisecond, func() {
		_ = sendCancel(other.address.String(), conn)
	})
	_, err := execSQL(ctx, conn, "SELECT pg_sleep(2)")
	if sqlState(err) == "57014" {
		m.cancelled.Add(1)
	}
	_, _ = execSQL(ctx, conn, "ROLLBACK")
}

// TestTransactionsNeverMix runs many transactions of many callers over few connections, while callers disconnect,
// statements are cancelled and a proxy is killed. An entry of the log is one commit: it must contain both orders of one
// transaction and nothing else.
func TestTransactionsNeverMix(t *testing.T) {
	t.Parallel()
	const seed = 41
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Slots:       4,
		Connections: 8,
	})
	m := &transactionLoad{
		cluster: c,
	}
	m.runTransactions(seed, 0, mixTransactions)
	killed := make(chan struct{})
	time.AfterFunc(200*time.Millisecond, func() {
		c.proxies[1].kill()
		close(killed)
	})
	m.runTransactions(seed, mixTransactions, mixTransactions)
	<-killed
	m.wantUncommittedRolledBack(t)
	c.waitEqualLogs()
	h := c.collectHistory(nil)
	if mixed := mixedEntries(h.primaryLog); len(mixed) > 0 {
		t.Errorf("log entries that are not one whole transaction: %v", mixed)
	}
	c.wantOneTransactionAtATime(t)
	if n := m.committed.Load(); n < mixTransactions/2 {
		t.Errorf("%d transactions committed, too few for a meaningful check", n)
	}
	if m.cancelled.Load() == 0 {
		t.Error("no statement was cancelled through another proxy")
	}
	c.wantWithinLimits(t)
	t.Logf("%d committed, %d disconnected, %d cancelled, %d failed", m.committed.Load(), m.disconnected.Load(),
		m.cancelled.Load(), m.failed.Load())
	t.Run("baseline", func(t *testing.T) {
		testSharedConnection(t, c)
	})
}

// runTransactions runs count transactions, numbered from first+1, with mixCallers concurrent callers.
func (m *transactionLoad) runTransactions(seed uint64, first int, count int) {
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
				m.runTransaction(random.IntN(len(m.cluster.proxies)), fmt.Sprintf("mix-%d", first+int(n)), random)
			}
		})
	}
	done.Wait()
}

// wantUncommittedRolledBack runs the uncommitted transactions again. This succeeds only if their locks were released
// and their orders were rolled back.
func (m *transactionLoad) wantUncommittedRolledBack(t *testing.T) {
	t.Helper()
	for _, name := range m.uncommitted {
		waitUntil(t, 10*time.Second, "the rollback of "+name, func() error {
			return m.rerun(name)
		})
	}
}

// rerun runs and commits the transaction through the first proxy.
func (m *transactionLoad) rerun(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	conn, err := m.cluster.dialProxy(ctx, 0, "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, sql := range []string{"BEGIN", insertSQL(name, "a"), insertSQL(name, "b"), "COMMIT"} {
		if _, err := execSQL(ctx, conn, sql); err != nil {
			return err
		}
	}
	return nil
}

// mixedEntries returns the changes of log entries that contain a transactionLoad's orders, but not exactly the two
// orders of one transaction.
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

// wantOneTransactionAtATime checks the statements of each connection to a member. Those between a begin and its end
// must belong to one transaction.
func (c *cluster) wantOneTransactionAtATime(t *testing.T) {
	t.Helper()
	for _, m := range c.members {
		s, err := m.stats(stats.MaxEvents)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range s.Connections {
			if mixed := mixedEvents(k.Events); len(mixed) > 0 {
				t.Errorf("%s connection %d: statements of another transaction: %v", m.name, k.Process, mixed)
			}
		}
	}
}

// transactionName matches the name of the transaction in a statement of a transactionLoad.
var transactionName = regexp.MustCompile(`'(mix-[0-9]+)/`)

// mixedEvents returns the statements of a connection that ran inside another transaction.
func mixedEvents(events []stats.Event) []string {
	var mixed []string
	name := ""
	number := uint64(0)
	for _, e := range events {
		if e.Kind != stats.KindStatement || e.Transaction != number {
			name = ""
			number = e.Transaction
		}
		found := transactionName.FindStringSubmatch(e.Text)
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

// testSharedConnection interleaves the statements of two transactions on one connection. The check must detect it.
func testSharedConnection(t *testing.T, c *cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	primary, _ := c.primary()
	conn, err := dialAs(ctx, primary.address.String(), userName, "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	for _, sql := range []string{"BEGIN", insertSQL("one", "a"), insertSQL("two", "a"), insertSQL("one", "b"), "COMMIT"} {
		if _, err := execSQL(ctx, conn, sql); err != nil {
			t.Fatal(err)
		}
	}
	if len(mixedEntries(c.collectHistory(nil).primaryLog)) != 1 {
		t.Error("the checker does not detect two transactions on one connection")
	}
}
