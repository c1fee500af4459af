package entry

import (
	"context"
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"egretlane.example/egret"
)

// TestLostTransactionTakesOnlyItsEnd checks that a lost transaction accepts only a statement that ends it, alone.
// Statements in the same batch as its end, or after a rollback to one of its savepoints, must neither run outside
// the transaction nor be reported as done.
func TestLostTransactionTakesOnlyItsEnd(t *testing.T) {
	tp := startProxy(t, nil)
	tp.lanes.answer = func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxOpen, 1)
	}
	c := tp.connect(t, "")
	if err := exec(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	tp.lanes.answer = func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return failed(egret.OutcomeUnknown, egret.ReasonMemberUnreachable, egret.CodeUnknown)
	}
	wantCode(t, exec(c, "INSERT INTO orders VALUES ('a')"), egret.CodeUnknown)
	attempts := len(tp.lanes.allAttempts())
	for _, query := range []string{
		"ROLLBACK TO SAVEPOINT s", "ROLLBACK; INSERT INTO orders VALUES ('b')", "COMMIT AND CHAIN", "SELECT 1",
	} {
		wantCode(t, exec(c, query), "25P02")
		if c.TxStatus() != 'E' {
			t.Errorf("%s: status %c, want E", query, c.TxStatus())
		}
	}
	if _, err := c.Prepare(context.Background(), "end", "ROLLBACK", nil); err != nil || c.TxStatus() != 'E' {
		t.Errorf("preparing ROLLBACK: %v, status %c, want E", err, c.TxStatus())
	}
	if r := c.ExecPrepared(context.Background(), "end", nil, nil, nil).Read(); r.Err != nil || c.TxStatus() != 'I' {
		t.Errorf("ROLLBACK: %v, status %c, want I", r.Err, c.TxStatus())
	}
	if n := len(tp.lanes.allAttempts()); n != attempts {
		t.Errorf("%d transactions begun, want %d", n, attempts)
	}
}

// TestOwnStatementsInExtendedQueries checks the statements that the proxy itself answers in the extended query
// protocol, which drivers use by default. Preparing such a statement must have no effect.
func TestOwnStatementsInExtendedQueries(t *testing.T) {
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 1)
	})
	ctx := context.Background()
	c := tp.connect(t, "")
	readOnly := "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"
	if _, err := c.Prepare(ctx, "read-only", readOnly, nil); err != nil {
		t.Fatal(err)
	}
	if err := exec(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	if r := c.ExecPrepared(ctx, "read-only", nil, nil, nil).Read(); r.Err != nil {
		t.Fatal(r.Err)
	}
	if err := exec(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	attempts := tp.lanes.allAttempts()
	if attempts[0].ReadOnly || !attempts[len(attempts)-1].ReadOnly {
		t.Errorf("read-only transactions: %v before and %v after, want false and true", attempts[0].ReadOnly, attempts[len(attempts)-1].ReadOnly)
	}
	for _, query := range []string{
		"SET extra_float_digits = 3", "SET application_name = 'desk'", "SET default_transaction_read_only TO off", "DEALLOCATE ALL",
	} {
		if r := c.ExecParams(ctx, query, nil, nil, nil, nil).Read(); r.Err != nil {
			t.Errorf("%s: %v", query, r.Err)
		}
	}
	if err := exec(c, "BEGIN"); err != nil || tp.lanes.allAttempts()[len(attempts)].ReadOnly {
		t.Errorf("a transaction after the session was set back: read-only or %v", err)
	}
	for _, query := range []string{"DEALLOCATE one", "SET default_transaction_read_only = 'on'", "SET TIME ZONE 'UTC'"} {
		wantCode(t, exec(c, query), egret.CodeUnsupported)
	}
	conn, err := pgx.Connect(ctx, "host=127.0.0.1 port="+strconv.Itoa(int(tp.addr.Port()))+" user=workshop dbname=catalogo-db sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	node := ""
	if err := conn.QueryRow(ctx, "SHOW egretlane.node").Scan(&node); err != nil || node != "proxy-1" {
		t.Errorf("SHOW egretlane.node = %q, %v", node, err)
	}
}

// TestReadOnlySessionDoesNotWrite checks that statements outside of BEGIN run read-only in a session that is set to
// read-only, that a write among them is refused as the database does it, and that neither is tried as a write.
func TestReadOnlySessionDoesNotWrite(t *testing.T) {
	tp := startProxy(t, func(_ int, o egret.TransactionOptions) (egret.BatchResult, error) {
		if o.ReadOnly {
			return failed(egret.OutcomeNotRun, egret.ReasonReadOnly, egret.CodeNotRun)
		}
		return completed(egret.TxIdle, 1)
	})
	c := tp.connect(t, "")
	if err := exec(c, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"); err != nil {
		t.Fatal(err)
	}
	for _, query := range []string{"INSERT INTO orders VALUES ('a')", "SELECT book('a')"} {
		before := len(tp.lanes.allAttempts())
		wantCode(t, exec(c, query), "25006")
		attempts := tp.lanes.allAttempts()[before:]
		if len(attempts) != 1 || !attempts[0].ReadOnly {
			t.Errorf("%s: attempts %+v, want one that is read-only", query, attempts)
		}
	}
	if err := exec(c, "BEGIN READ WRITE; INSERT INTO orders VALUES ('a'); COMMIT"); err != nil {
		t.Errorf("a transaction that is opened as read-write: %v", err)
	}
}

// TestOutcomesAreCounted checks that requests that the database rejects or the proxy refuses are not counted with
// the outcome ok.
func TestOutcomesAreCounted(t *testing.T) {
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 1)
	})
	c := tp.connect(t, "")
	_ = exec(c, "INSERT INTO orders VALUES ('a')")
	wantCode(t, exec(c, "LISTEN news"), egret.CodeUnsupported)
	tp.lanes.rejects = true
	if err := exec(c, "INSERT INTO orders VALUES ('a')"); err == nil {
		t.Error("no error of the database")
	}
	for _, w := range []struct {
		route, role, outcome string
	}{
		{route: "all", role: rolePrimary, outcome: "ok"},
		{route: "all", role: rolePrimary, outcome: "rejected"},
		{role: roleNone, outcome: "not-run"},
	} {
		if n := testutil.ToFloat64(tp.handler.Metrics.Requests.WithLabelValues(w.route, w.role, w.outcome)); n != 1 {
			t.Errorf("%+v: %v requests, want 1", w, n)
		}
	}
}
