package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"egretlane.example/egret"
)

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func fail(o egret.Outcome, r egret.Reason, code string) (egret.Completion, error) {
	return egret.Completion{}, &egret.Failure{
		Outcome: o,
		Reason:  r,
		Code:    code,
		Message: "as the test asks",
	}
}

func done(status egret.TxStatus, offset uint64) (egret.Completion, error) {
	return egret.Completion{
		Status: status,
		Position: egret.Position{
			Term:   1,
			Offset: offset,
		},
	}, nil
}

func exec(c *pgconn.PgConn, query string) error {
	_, err := c.Exec(context.Background(), query).ReadAll()
	return err
}

func wantCode(t *testing.T, err error, code string) {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		t.Errorf("error = %v, want SQLSTATE %s", err, code)
	}
}

func TestWriteWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	tr := startTrial(t, func(int, egret.Opening) (egret.Completion, error) {
		return fail(egret.Unknown, egret.ReasonConfirm, egret.CodeUnknown)
	})
	wantCode(t, exec(tr.connect(t, ""), "INSERT INTO orders VALUES ('a')"), egret.CodeUnknown)
	if n := len(tr.lanes.tries()); n != 1 {
		t.Errorf("%d tries, want 1", n)
	}
}

func TestIdempotentWriteWithUnknownOutcomeIsRepeated(t *testing.T) {
	tr := startTrial(t, func(n int, _ egret.Opening) (egret.Completion, error) {
		if n == 1 {
			return fail(egret.Unknown, egret.ReasonConfirm, egret.CodeUnknown)
		}
		return done(egret.TxIdle, 7)
	})
	if err := exec(tr.connect(t, ""), "INSERT INTO orders VALUES ('a') /*idempotency-key='a'*/"); err != nil {
		t.Error(err)
	}
}

func TestWriteFollowsThePromotion(t *testing.T) {
	tr := startTrial(t, func(_ int, o egret.Opening) (egret.Completion, error) {
		if o.Member == "m1" {
			return fail(egret.NotRun, egret.ReasonNotPrimary, "25006")
		}
		return done(egret.TxIdle, 7)
	})
	tr.lanes.leader = egret.GroupFact{
		Term:    2,
		Primary: "m3",
	}
	if err := exec(tr.connect(t, ""), "INSERT INTO orders VALUES ('a')"); err != nil {
		t.Fatal(err)
	}
	tries := tr.lanes.tries()
	if last := tries[len(tries)-1].Member; last != "m3" {
		t.Errorf("served by %s, want m3", last)
	}
}

func TestReadFallsBackToThePrimary(t *testing.T) {
	tr := startTrial(t, func(_ int, o egret.Opening) (egret.Completion, error) {
		if o.Member != "m1" {
			return fail(egret.NotRun, egret.ReasonFloor, "EL001")
		}
		return done(egret.TxIdle, 50)
	})
	if err := exec(tr.connect(t, ""), "SELECT item FROM orders"); err != nil {
		t.Fatal(err)
	}
	tries := tr.lanes.tries()
	if len(tries) != 3 || tries[2].Member != "m1" {
		t.Errorf("tries = %v, want both replicas and then m1", tries)
	}
	for _, o := range tries {
		if o.Floor.Offset != 40 || !o.ReadOnly {
			t.Errorf("opening = %+v, want read-only at the confirmed floor", o)
		}
	}
}

func TestWrongGuessGoesToThePrimary(t *testing.T) {
	tr := startTrial(t, func(_ int, o egret.Opening) (egret.Completion, error) {
		if o.ReadOnly {
			return fail(egret.NotRun, egret.ReasonReadOnly, "25006")
		}
		return done(egret.TxIdle, 50)
	})
	if err := exec(tr.connect(t, ""), "SELECT place_order('a')"); err != nil {
		t.Fatal(err)
	}
	tries := tr.lanes.tries()
	if len(tries) != 2 || tries[1].Member != "m1" || tries[1].ReadOnly {
		t.Errorf("tries = %v, want a replica and then m1 for writing", tries)
	}
}

func TestFloorIsLookedUpOnceAndCarriedByTheToken(t *testing.T) {
	tr := startTrial(t, func(int, egret.Opening) (egret.Completion, error) {
		return done(egret.TxIdle, 60)
	})
	c := tr.connect(t, "")
	for range 3 {
		if err := exec(c, "SELECT 1"); err != nil {
			t.Fatal(err)
		}
	}
	if tr.lanes.confirms != 1 {
		t.Errorf("%d look-ups, want 1", tr.lanes.confirms)
	}
	moved := tr.connect(t, c.ParameterStatus("egretlane.token"))
	if err := exec(moved, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	tries := tr.lanes.tries()
	if got := tries[len(tries)-1].Floor.Offset; got != 60 || tr.lanes.confirms != 2 {
		t.Errorf("floor %d after %d look-ups, want 60 after one for each session", got, tr.lanes.confirms)
	}
}

func TestOldTokenDoesNotLowerTheFloor(t *testing.T) {
	tr := startTrial(t, func(int, egret.Opening) (egret.Completion, error) {
		return done(egret.TxIdle, 60)
	})
	old := egret.Floor{}
	old.Raise("g", egret.Position{
		Term:   1,
		Offset: 5,
	})
	c := tr.connect(t, tr.desk.Sealer.Seal("workshop", "catalogo-db", &old))
	if err := exec(c, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if got := tr.lanes.tries()[0].Floor.Offset; got != 40 {
		t.Errorf("floor %d, want 40 as it was confirmed", got)
	}
}

func TestReadAtThePrimaryLeavesTheFloorAlone(t *testing.T) {
	tr := startTrial(t, func(_ int, o egret.Opening) (egret.Completion, error) {
		if o.Member != "m1" {
			return fail(egret.NotRun, egret.ReasonFloor, "EL001")
		}
		return done(egret.TxIdle, 90)
	})
	c := tr.connect(t, "")
	for range 2 {
		if err := exec(c, "SELECT item FROM orders"); err != nil {
			t.Fatal(err)
		}
	}
	tries := tr.lanes.tries()
	if got := tries[len(tries)-1].Floor.Offset; got != 40 {
		t.Errorf("floor %d after a read at the primary, want 40 as it was confirmed", got)
	}
}

func TestLostTransactionHasToBeEnded(t *testing.T) {
	tr := startTrial(t, nil)
	tr.lanes.answer = func(int, egret.Opening) (egret.Completion, error) {
		return done(egret.TxOpen, 0)
	}
	c := tr.connect(t, "")
	if err := exec(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	tr.lanes.answer = func(int, egret.Opening) (egret.Completion, error) {
		return fail(egret.NotRun, egret.ReasonMember, egret.CodeNotRun)
	}
	wantCode(t, exec(c, "INSERT INTO orders VALUES ('a')"), egret.CodeNotRun)
	wantCode(t, exec(c, "INSERT INTO orders VALUES ('b')"), "25P02")
	if got := c.TxStatus(); got != 'E' {
		t.Errorf("status %c, want E", got)
	}
	if err := exec(c, "ROLLBACK"); err != nil || c.TxStatus() != 'I' {
		t.Errorf("ROLLBACK: %v, status %c, want I", err, c.TxStatus())
	}
	if n := len(tr.lanes.tries()); n != 1 {
		t.Errorf("%d transactions begun, want 1", n)
	}
}

func TestRefusingDatabaseGetsLittleMoreThanTheCallersLoad(t *testing.T) {
	for _, query := range []string{"INSERT INTO orders VALUES ('a')", "SELECT item FROM orders"} {
		tr := startTrial(t, func(int, egret.Opening) (egret.Completion, error) {
			return fail(egret.NotRun, egret.ReasonRefused, egret.CodeNotRun)
		})
		c := tr.connect(t, "")
		const requests = 200
		for range requests {
			wantCode(t, exec(c, query), egret.CodeNotRun)
		}
		if n := len(tr.lanes.tries()); n > requests*12/10 {
			t.Errorf("%q: %d tries for %d requests, want at most 1.2 times", query, n, requests)
		}
	}
}

func TestDrainEndsIdleSessionsAndLetsTransactionsFinish(t *testing.T) {
	tr := startTrial(t, nil)
	status := egret.TxOpen
	tr.lanes.answer = func(int, egret.Opening) (egret.Completion, error) {
		return done(status, 0)
	}
	idle := tr.connect(t, "")
	busy := tr.connect(t, "")
	if err := exec(busy, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() {
		drained <- tr.server.Drain(ctx)
	}()
	// The idle caller is told without asking.
	wantCode(t, idle.WaitForNotification(ctx), "57P01")
	if err := exec(busy, "INSERT INTO orders VALUES ('a')"); err != nil {
		t.Errorf("a statement of an open transaction: %v", err)
	}
	status = egret.TxIdle
	if err := exec(busy, "COMMIT"); err != nil {
		t.Errorf("COMMIT: %v", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
