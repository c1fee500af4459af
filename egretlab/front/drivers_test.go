package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// largeResultRows is the number of rows of the large result.
const largeResultRows = 200_000

// TestDrivers runs a driver in all its query modes against one set, and then the checks of what callers may send.
func TestDrivers(t *testing.T) {
	s := startSet(t, options{})
	for _, m := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(m.String(), func(t *testing.T) {
			c := s.config(0, "")
			c.DefaultQueryExecMode = m
			checkMode(t, s.connectConfig(c), m.String())
		})
	}
	for _, c := range []struct {
		name  string
		check func(t *testing.T, s *set)
	}{
		{name: "batch", check: checkBatch},
		{name: "transactions", check: checkTransactions},
		{name: "own statements", check: checkOwnStatements},
		{name: "session state", check: checkSessionState},
		{name: "read-only", check: checkReadOnly},
		{name: "cancel", check: checkCancel},
		{name: "over the limit", check: checkLimit},
		{name: "strangers", check: checkStrangers},
		{name: "forbidden", check: checkForbidden},
		{name: "tokens", check: checkTokens},
		{name: "tables", check: checkTables},
		{name: "large result", check: checkLargeResult},
		{name: "unread results", check: checkUnreadResults},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.check(t, s)
		})
	}
}

// checkMode places orders, reads them back and causes errors. It does so three times, so that the driver reuses its
// prepared statements.
func checkMode(t *testing.T, conn *pgx.Conn, name string) {
	ctx := stepContext(t)
	for i := range 3 {
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), i)
		tag, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2) /*kind='order'*/", id, "sieve 2mm")
		if err != nil || tag.RowsAffected() != 1 {
			t.Fatalf("order %s: %v, %v", id, tag, err)
		}
		item := ""
		if err := conn.QueryRow(ctx, "SELECT item FROM orders WHERE id = $1", id).Scan(&item); err != nil || item != "sieve 2mm" {
			t.Errorf("read %q, %v", item, err)
		}
		_, err = conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2) /*kind='order'*/", id, "again")
		wantCode(t, "a duplicate order", err, "23505")
		err = conn.QueryRow(ctx, "SELECT nothing FROM orders WHERE id = $1", id).Scan(&item)
		wantCode(t, "an unknown column", err, "42703")
	}
}

// checkBatch checks that a batch runs, and that a batch with a failing statement has no effect.
func checkBatch(t *testing.T, s *set) {
	conn := s.connect(0, "")
	b := &pgx.Batch{}
	b.Queue("INSERT INTO orders (id, item) VALUES ($1, $2)", "batch-1", "a")
	b.Queue("INSERT INTO orders (id, item) VALUES ($1, $2)", "batch-2", "b")
	b.Queue("SELECT item FROM orders WHERE id = $1", "batch-2")
	r := conn.SendBatch(stepContext(t), b)
	for range 2 {
		if _, err := r.Exec(); err != nil {
			t.Error(err)
		}
	}
	item := ""
	if err := r.QueryRow().Scan(&item); err != nil || item != "b" {
		t.Errorf("read %q, %v", item, err)
	}
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	failing := &pgx.Batch{}
	failing.Queue("INSERT INTO orders (id, item) VALUES ($1, $2)", "batch-3", "a")
	failing.Queue("INSERT INTO orders (id, item) VALUES ($1, $2)", "batch-1", "a")
	wantCode(t, "a batch with a duplicate order", conn.SendBatch(stepContext(t), failing).Close(), "23505")
	if n := countOrders(t, conn, "batch-3"); n != 0 {
		t.Errorf("%d orders of a rejected batch, want 0", n)
	}
}

// countOrders returns the number of orders with the key.
func countOrders(t *testing.T, conn *pgx.Conn, id string) int {
	t.Helper()
	n := 0
	if err := conn.QueryRow(stepContext(t), "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n); err != nil {
		t.Error(err)
	}
	return n
}

// checkTransactions checks commit, rollback, and a transaction in which a statement failed.
func checkTransactions(t *testing.T, s *set) {
	ctx := stepContext(t)
	conn := s.connect(0, "")
	for _, commit := range []bool{true, false} {
		id := fmt.Sprintf("transaction-%v", commit)
		tx, err := conn.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, 'a')", id); err != nil {
			t.Error(err)
		}
		if n := countOrders(t, conn, id); n != 1 {
			t.Errorf("%s: %d orders inside the transaction, want 1", id, n)
		}
		want := 0
		if commit {
			want = 1
			err = tx.Commit(ctx)
		} else {
			err = tx.Rollback(ctx)
		}
		if err != nil {
			t.Error(err)
		}
		if n := countOrders(t, conn, id); n != want {
			t.Errorf("%s: %d orders, want %d", id, n, want)
		}
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('transaction-true', 'a')")
	wantCode(t, "a duplicate order", err, "23505")
	_, err = tx.Exec(ctx, "SELECT 1")
	wantCode(t, "a statement in a failed transaction", err, "25P02")
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Errorf("commit of a failed transaction: %v", err)
	}
}

// checkOwnStatements checks the SHOW statements that the proxy answers itself, and queries with two statements and with
// none.
func checkOwnStatements(t *testing.T, s *set) {
	ctx := stepContext(t)
	conn := s.connect(1, "")
	if _, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('own', 'a')"); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		"node": "proxy-2", "member": "member-1", "position": "1/", "token": conn.PgConn().ParameterStatus("egretlane.token"),
	} {
		got := ""
		if err := conn.QueryRow(ctx, "SHOW egretlane."+name).Scan(&got); err != nil || !strings.HasPrefix(got, want) {
			t.Errorf("SHOW egretlane.%s = %q, %v, want %q", name, got, err, want)
		}
	}
	// psql sends it in this form.
	r, err := conn.PgConn().Exec(ctx, "SHOW egretlane.node; ").ReadAll()
	if err != nil || string(r[0].Rows[0][0]) != "proxy-2" {
		t.Errorf("SHOW in a simple query: %v, %v", r, err)
	}
	if r, err := conn.PgConn().Exec(ctx, "SELECT 1; SELECT 2").ReadAll(); err != nil || len(r) != 2 {
		t.Errorf("two statements: %d results, %v", len(r), err)
	}
	if r, err := conn.PgConn().Exec(ctx, ";").ReadAll(); err != nil || len(r) > 1 {
		t.Errorf("an empty query: %d results, %v", len(r), err)
	}
}

// checkSessionState checks that statements whose state would stay on a shared connection are refused, and that the
// session can go on.
func checkSessionState(t *testing.T, s *set) {
	ctx := stepContext(t)
	conn := s.connect(0, "")
	for _, query := range []string{
		"SET search_path = other", "LISTEN news", "PREPARE p AS SELECT 1", "DECLARE c CURSOR FOR SELECT 1",
		"COPY orders TO STDOUT", "CREATE TEMP TABLE t (a int)", "SELECT 1; SET timezone = 'UTC'",
	} {
		_, err := conn.Exec(ctx, query)
		wantCode(t, query, err, "0A000")
	}
	_, err := conn.CopyFrom(ctx, pgx.Identifier{"orders"}, []string{"id", "item"}, pgx.CopyFromRows([][]any{{"copy", "a"}}))
	wantCode(t, "COPY FROM", err, "0A000")
	if n := countOrders(t, conn, "copy"); n != 0 {
		t.Errorf("%d orders of a refused copy, want 0", n)
	}
}

// checkReadOnly checks that read-only sessions can't write, and that a read-only transaction can read.
func checkReadOnly(t *testing.T, s *set) {
	ctx := stepContext(t)
	conn := s.connect(0, "")
	if _, err := conn.Exec(ctx, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"); err != nil {
		t.Fatal(err)
	}
	startedReadOnly := s.connect(1, "default_transaction_read_only=on")
	for _, c := range []*pgx.Conn{conn, startedReadOnly} {
		tx, err := c.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		_, err = tx.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('read-only', 'a')")
		wantCode(t, "a write in a read-only session's transaction", err, "25006")
		if err := tx.Rollback(ctx); err != nil {
			t.Error(err)
		}
	}
	tx, err := s.connect(0, "").BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "SELECT item FROM orders WHERE id = 'x'"); err != nil {
		t.Error(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Error(err)
	}
}

// checkCancel sends cancel requests through the session's own proxy, through the other one, and with a wrong secret
// key, which must have no effect.
func checkCancel(t *testing.T, s *set) {
	for i, name := range []string{"its own proxy", "another proxy"} {
		conn := s.connect(0, "").PgConn()
		ended := make(chan error, 1)
		start := time.Now()
		go func() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(8) /*kind='slow'*/").ReadAll()
			ended <- err
		}()
		eventually(t, "the statement to be canceled", func() error {
			if err := sendCancel(s.proxies[i].callerAddress.String(), conn.PID(), conn.SecretKey()); err != nil {
				return err
			}
			select {
			case err := <-ended:
				wantCode(t, "a statement canceled through "+name, err, "57014")
				return nil
			case <-time.After(100 * time.Millisecond):
				return errors.New("the statement still runs")
			}
		})
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("%s: canceling took %v, want at most 5 s", name, took)
		}
		if _, err := conn.Exec(stepContext(t), "SELECT 1").ReadAll(); err != nil {
			t.Errorf("a statement after the cancel through %s: %v", name, err)
		}
	}
	conn := s.connect(0, "").PgConn()
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(0.5) /*kind='slow'*/").ReadAll()
		ended <- err
	}()
	for {
		if err := sendCancel(s.proxies[0].callerAddress.String(), conn.PID(), make([]byte, 4)); err != nil {
			t.Error(err)
		}
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("a statement after cancels with a wrong secret key: %v", err)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkLimit checks that batches and statements over the size limit are refused.
func checkLimit(t *testing.T, s *set) {
	ctx := stepContext(t)
	conn := s.connect(0, "")
	value := strings.Repeat("x", statementLimit*2/3)
	b := &pgx.Batch{}
	b.Queue("SELECT item FROM orders WHERE id = $1", value)
	b.Queue("SELECT item FROM orders WHERE id = $1", value)
	wantCode(t, "a batch over the limit", conn.SendBatch(ctx, b).Close(), "54000")
	if n := countOrders(t, conn, "x"); n != 0 {
		t.Errorf("%d orders after a refused batch, want 0", n)
	}
	_, err := conn.PgConn().Exec(ctx, "SELECT '"+strings.Repeat("x", statementLimit)+"'").ReadAll()
	wantCode(t, "a statement over the limit", err, "54000")
	s.connect(0, "")
}

// checkStrangers checks the SQLSTATEs for unknown callers, databases, kinds and groups.
func checkStrangers(t *testing.T, s *set) {
	c := s.config(0, "")
	c.User = "stranger"
	s.wantRefused("an unknown caller", c, "28000")
	c = s.config(0, "")
	c.Database = "nowhere"
	s.wantRefused("an unknown database", c, "3D000")
	conn := s.connect(0, "")
	_, err := conn.Exec(stepContext(t), "SELECT 1 /*kind='unheard'*/")
	wantCode(t, "an unknown kind", err, "3D000")
	_, err = conn.Exec(stepContext(t), "SELECT 1 /*group='unheard'*/")
	wantCode(t, "an unknown group", err, "3D000")
}

// checkForbidden checks that callers can't call the functions that control the group, whether in a simple query, a
// prepared statement or a batch.
func checkForbidden(t *testing.T, s *set) {
	conn := s.connect(0, "")
	const fence = "SELECT * FROM platform.fence(99) /*kind='order'*/"
	_, err := conn.PgConn().Exec(stepContext(t), fence).ReadAll()
	wantCode(t, "a fence in a simple query", err, "0A000")
	_, err = conn.Prepare(stepContext(t), "fence", fence)
	wantCode(t, "a prepared fence", err, "0A000")
	b := &pgx.Batch{}
	b.Queue("SELECT item FROM orders WHERE id = $1", "x")
	b.Queue(fence)
	wantCode(t, "a fence in a batch", conn.SendBatch(stepContext(t), b).Close(), "0A000")
	out, _ := s.egretctl("status", "--proxy", s.proxies[0].peerAddress.String())
	if regexp.MustCompile(`\s99\s`).MatchString(out) {
		t.Errorf("a member was fenced:\n%s", out)
	}
}

// checkTokens checks that a session's token gives another session its writes to read, and that invalid tokens are
// refused.
func checkTokens(t *testing.T, s *set) {
	conn := s.connect(0, "")
	if _, err := conn.Exec(stepContext(t), "INSERT INTO orders (id, item) VALUES ('token', 'a')"); err != nil {
		t.Fatal(err)
	}
	token := conn.PgConn().ParameterStatus("egretlane.token")
	c := s.config(1, "")
	c.RuntimeParams["egretlane.token"] = token
	withToken := s.connectConfig(c)
	if n := countOrders(t, withToken, "token"); n != 1 {
		t.Errorf("the session with the token reads %d orders, want 1", n)
	}
	for what, invalid := range map[string]string{
		"a truncated token":     token[:len(token)-2],
		"a changed token":       "A" + strings.ToLower(token[1:]),
		"text that is no token": "nonsense!",
	} {
		c := s.config(1, "")
		c.RuntimeParams["egretlane.token"] = invalid
		s.wantRefused(what, c, "28P01")
	}
	foreign := s.config(1, "")
	foreign.RuntimeParams["options"] = "-c egretlane.token=" + strings.Repeat("QUJD", 20)
	s.wantRefused("a foreign token in the options", foreign, "28P01")
}

// checkTables checks that invalid tables are refused with the line and column of each error, and change nothing.
func checkTables(t *testing.T, s *set) {
	s.writeFile("broken.yaml", "routes:\n  - {name: a, caller: workshop, database: d, pool: nowhere, budget: 5}\npools: 7\n")
	out, status := s.egretctl("apply", s.path("broken.yaml"))
	if status != 3 {
		t.Errorf("exit status %d, want 3\n%s", status, out)
	}
	for _, want := range []string{"broken.yaml:2:", "broken.yaml:3:8", "nothing was changed"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
	if _, err := s.connect(0, "").Exec(stepContext(t), "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// insertLargeResult inserts the rows of the large result, on the primary.
func (s *set) insertLargeResult() {
	s.t.Helper()
	ctx := stepContext(s.t)
	direct, err := pgconn.Connect(ctx, fmt.Sprintf("host=127.0.0.1 port=%d user=%s dbname=%s sslmode=disable", s.memberAddresses[0].Port(), user, database))
	if err != nil {
		s.t.Fatal(err)
	}
	defer direct.Close(ctx)
	const rowsPerInsert = 10_000
	for first := 0; first < largeResultRows; first += rowsPerInsert {
		values := make([]string, rowsPerInsert)
		for i := range values {
			values[i] = fmt.Sprintf("('row-%06d', 'sieve')", first+i)
		}
		if _, err := direct.Exec(ctx, "INSERT INTO orders (id, item) VALUES "+strings.Join(values, ", ")).ReadAll(); err != nil {
			s.t.Fatal(err)
		}
	}
}

// checkLargeResult checks that a large result arrives whole and in order.
func checkLargeResult(t *testing.T, s *set) {
	ctx := stepContext(t)
	s.insertLargeResult()
	conn := s.connect(1, "")
	rows, err := conn.Query(ctx, "SELECT id, item FROM orders ORDER BY id")
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	n, last := 0, ""
	for rows.Next() {
		id, item := "", ""
		if err := rows.Scan(&id, &item); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(id, "row-") {
			if want := fmt.Sprintf("row-%06d", n); id != want {
				t.Fatalf("row %q after %q, want %q", id, last, want)
			}
			n++
			last = id
		}
	}
	if rows.Err() != nil || n != largeResultRows {
		t.Errorf("%d rows, %v, want %d", n, rows.Err(), largeResultRows)
	}
}

// checkUnreadResults checks that callers that don't read their results occupy a slot for little longer than the budget
// of 2 s, whether the lane is at their proxy or at the other. It needs the rows of checkLargeResult.
func checkUnreadResults(t *testing.T, s *set) {
	for i := range s.proxies {
		for range 2 {
			s.sendQuery(i, "SELECT id, item FROM orders ORDER BY id /*kind='brief'*/")
		}
		start := time.Now()
		eventually(t, "two statements to run", func() error {
			if n := s.runningStatements(); n < 2 {
				return fmt.Errorf("%v statements are running", n)
			}
			return nil
		})
		eventually(t, "the slots to become free", func() error {
			if n := s.runningStatements(); n > 0 {
				return fmt.Errorf("%v statements are running", n)
			}
			return nil
		})
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("unread results occupied slots for %v, want at most 6 s", took)
		}
	}
	if _, err := s.connect(0, "").Exec(stepContext(t), "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// sendQuery sends a query on a new connection and doesn't read the result. The small read buffer makes the proxy's
// writes block.
func (s *set) sendQuery(i int, query string) {
	s.t.Helper()
	c := s.config(i, "")
	c.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n, n.(*net.TCPConn).SetReadBuffer(4096)
	}
	f := s.connectConfig(c).PgConn().Frontend()
	f.SendQuery(&pgproto3.Query{
		String: query,
	})
	if err := f.Flush(); err != nil {
		s.t.Fatal(err)
	}
}
