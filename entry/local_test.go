package entry

import (
	"context"
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"egretlane.example/egret"
)

// TestLostTransactionTakesOnlyItsEnd checks that nothing a caller sends with the end of a lost
// transaction, or after a savepoint of it, runs by itself or counts as done.
func TestLostTransactionTakesOnlyItsEnd(t *testing.T) {
	tr := startTrial(t, nil)
	tr.lanes.answer = func(int, egret.Opening) (egret.Completion, error) {
		return done(egret.TxOpen, 1)
	}
	c := tr.connect(t, "")
	if err := exec(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	tr.lanes.answer = func(int, egret.Opening) (egret.Completion, error) {
		return fail(egret.Unknown, egret.ReasonMember, egret.CodeUnknown)
	}
	wantCode(t, exec(c, "INSERT INTO orders VALUES ('a')"), egret.CodeUnknown)
	tries := len(tr.lanes.tries())
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
	if n := len(tr.lanes.tries()); n != tries {
		t.Errorf("%d transactions begun, want %d", n, tries)
	}
}

// TestOwnStatementsInExtendedQueries checks the statements that the proxy answers, as drivers send
// them by default, and that preparing one does nothing.
func TestOwnStatementsInExtendedQueries(t *testing.T) {
	tr := startTrial(t, func(int, egret.Opening) (egret.Completion, error) {
		return done(egret.TxIdle, 1)
	})
	ctx := context.Background()
	c := tr.connect(t, "")
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
	tries := tr.lanes.tries()
	if tries[0].ReadOnly || !tries[len(tries)-1].ReadOnly {
		t.Errorf("read-only transactions: %v before and %v after, want false and true", tries[0].ReadOnly, tries[len(tries)-1].ReadOnly)
	}
	for _, query := range []string{
		"SET extra_float_digits = 3", "SET application_name = 'desk'", "SET default_transaction_read_only TO off", "DEALLOCATE ALL",
	} {
		if r := c.ExecParams(ctx, query, nil, nil, nil, nil).Read(); r.Err != nil {
			t.Errorf("%s: %v", query, r.Err)
		}
	}
	if err := exec(c, "BEGIN"); err != nil || tr.lanes.tries()[len(tries)].ReadOnly {
		t.Errorf("a transaction after the session was set back: read-only or %v", err)
	}
	for _, query := range []string{"DEALLOCATE one", "SET default_transaction_read_only = 'on'", "SET TIME ZONE 'UTC'"} {
		wantCode(t, exec(c, query), egret.CodeUnsupported)
	}
	conn, err := pgx.Connect(ctx, "host=127.0.0.1 port="+strconv.Itoa(int(tr.addr.Port()))+" user=workshop dbname=catalogo-db sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	node := ""
	if err := conn.QueryRow(ctx, "SHOW egretlane.node").Scan(&node); err != nil || node != "proxy-1" {
		t.Errorf("SHOW egretlane.node = %q, %v", node, err)
	}
}

// TestOutcomesAreCounted checks that what the database rejects and what the proxy refuses doesn't count
// as answered.
func TestOutcomesAreCounted(t *testing.T) {
	tr := startTrial(t, func(int, egret.Opening) (egret.Completion, error) {
		return done(egret.TxIdle, 1)
	})
	c := tr.connect(t, "")
	_ = exec(c, "INSERT INTO orders VALUES ('a')")
	wantCode(t, exec(c, "LISTEN news"), egret.CodeUnsupported)
	tr.lanes.rejects = true
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
		if n := testutil.ToFloat64(tr.desk.Metrics.Requests.WithLabelValues(w.route, w.role, w.outcome)); n != 1 {
			t.Errorf("%+v: %v requests, want 1", w, n)
		}
	}
}
