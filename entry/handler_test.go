package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
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

func failed(o egret.Outcome, r egret.Reason, code string) (egret.BatchResult, error) {
	return egret.BatchResult{}, &egret.Failure{
		Outcome: o,
		Reason:  r,
		Code:    code,
		Message: "failure made by the test",
	}
}

func completed(status egret.TxStatus, offset uint64) (egret.BatchResult, error) {
	return egret.BatchResult{
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
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return failed(egret.OutcomeUnknown, egret.ReasonNotConfirmed, egret.CodeUnknown)
	})
	wantCode(t, exec(tp.connect(t, ""), "INSERT INTO orders VALUES ('a')"), egret.CodeUnknown)
	if n := len(tp.lanes.allAttempts()); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// TestBegunReadIsNotReportedAsNotRun lets a replica begin a read that no other member takes afterwards.
func TestBegunReadIsNotReportedAsNotRun(t *testing.T) {
	tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
		if n == 1 {
			return failed(egret.OutcomeUnknown, egret.ReasonMemberUnreachable, egret.CodeUnknown)
		}
		return failed(egret.OutcomeNotRun, egret.ReasonQueue, egret.CodeNotRun)
	})
	wantCode(t, exec(tp.connect(t, ""), "SELECT 1"), egret.CodeUnknown)
	if n := len(tp.lanes.allAttempts()); n < 2 {
		t.Errorf("%d attempts, want 2 or more", n)
	}
}

// TestWriteAfterABegunReadIsRetried lets a member begin a request as a read that turns out to write, and then refuse it
// once as a write. The refused attempt has not run, so it must be tried again.
func TestWriteAfterABegunReadIsRetried(t *testing.T) {
	tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
		switch n {
		case 1:
			return failed(egret.OutcomeUnknown, egret.ReasonMemberUnreachable, egret.CodeUnknown)
		case 2:
			return failed(egret.OutcomeNotRun, egret.ReasonReadOnly, egret.CodeNotRun)
		case 3:
			return failed(egret.OutcomeNotRun, egret.ReasonQueue, egret.CodeNotRun)
		default:
			return completed(egret.TxIdle, 1)
		}
	})
	if err := exec(tp.connect(t, ""), "SELECT book('a')"); err != nil {
		t.Error(err)
	}
}

func TestIdempotentWriteWithUnknownOutcomeIsRepeated(t *testing.T) {
	tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
		if n == 1 {
			return failed(egret.OutcomeUnknown, egret.ReasonNotConfirmed, egret.CodeUnknown)
		}
		return completed(egret.TxIdle, 7)
	})
	if err := exec(tp.connect(t, ""), "INSERT INTO orders VALUES ('a') /*idempotency-key='a'*/"); err != nil {
		t.Error(err)
	}
}

func TestWriteFollowsThePromotion(t *testing.T) {
	tp := startProxy(t, func(_ int, o egret.TransactionOptions) (egret.BatchResult, error) {
		if o.Member == "m1" {
			return failed(egret.OutcomeNotRun, egret.ReasonNotPrimary, "25006")
		}
		return completed(egret.TxIdle, 7)
	})
	tp.lanes.primary = egret.GroupPrimary{
		Term:    2,
		Primary: "m3",
	}
	if err := exec(tp.connect(t, ""), "INSERT INTO orders VALUES ('a')"); err != nil {
		t.Fatal(err)
	}
	attempts := tp.lanes.allAttempts()
	if last := attempts[len(attempts)-1].Member; last != "m3" {
		t.Errorf("served by %s, want m3", last)
	}
}

func TestReadFallsBackToThePrimary(t *testing.T) {
	tp := startProxy(t, func(_ int, o egret.TransactionOptions) (egret.BatchResult, error) {
		if o.Member != "m1" {
			return failed(egret.OutcomeNotRun, egret.ReasonFloor, "EL001")
		}
		return completed(egret.TxIdle, 50)
	})
	if err := exec(tp.connect(t, ""), "SELECT item FROM orders"); err != nil {
		t.Fatal(err)
	}
	attempts := tp.lanes.allAttempts()
	if len(attempts) != 3 || attempts[2].Member != "m1" {
		t.Errorf("attempts = %v, want both replicas and then m1", attempts)
	}
	for _, o := range attempts {
		if o.Floor.Offset != 40 || !o.ReadOnly {
			t.Errorf("options = %+v, want read-only at the confirmed floor", o)
		}
	}
}

func TestWrongGuessGoesToThePrimary(t *testing.T) {
	tp := startProxy(t, func(_ int, o egret.TransactionOptions) (egret.BatchResult, error) {
		if o.ReadOnly {
			return failed(egret.OutcomeNotRun, egret.ReasonReadOnly, "25006")
		}
		return completed(egret.TxIdle, 50)
	})
	if err := exec(tp.connect(t, ""), "SELECT place_order('a')"); err != nil {
		t.Fatal(err)
	}
	attempts := tp.lanes.allAttempts()
	if len(attempts) != 2 || attempts[1].Member != "m1" || attempts[1].ReadOnly {
		t.Errorf("attempts = %v, want a replica and then m1 for writing", attempts)
	}
}

func TestFloorIsLookedUpOnceAndCarriedByTheToken(t *testing.T) {
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 60)
	})
	c := tp.connect(t, "")
	for range 3 {
		if err := exec(c, "SELECT 1"); err != nil {
			t.Fatal(err)
		}
	}
	if tp.lanes.lookups != 1 {
		t.Errorf("%d lookups, want 1", tp.lanes.lookups)
	}
	moved := tp.connect(t, c.ParameterStatus("egretlane.token"))
	if err := exec(moved, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	attempts := tp.lanes.allAttempts()
	if got := attempts[len(attempts)-1].Floor.Offset; got != 60 || tp.lanes.lookups != 2 {
		t.Errorf("floor %d after %d lookups, want 60 after one for each session", got, tp.lanes.lookups)
	}
}

func TestOldTokenDoesNotLowerTheFloor(t *testing.T) {
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 60)
	})
	old := egret.Floor{}
	old.Raise("g", egret.Position{
		Term:   1,
		Offset: 5,
	})
	c := tp.connect(t, tp.handler.Signer.Sign("workshop", "catalogo-db", old.Positions()))
	if err := exec(c, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if got := tp.lanes.allAttempts()[0].Floor.Offset; got != 40 {
		t.Errorf("floor %d, want the confirmed 40", got)
	}
}

// TestTokenOfManyGroupsOpensASession guards against a session that can't connect again with its own token: a start-up packet is limited
// to 10,000 bytes. The token has to keep the groups that the session has used last.
func TestTokenOfManyGroupsOpensASession(t *testing.T) {
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 60)
	})
	s := &session{
		handler:  tp.handler,
		raisedAt: map[string]time.Time{},
		conn: &caller.Conn{
			Startup: caller.Startup{
				User:     "workshop",
				Database: "catalogo-db",
			},
		},
	}
	for i := range 1000 {
		s.raiseFloor(fmt.Sprintf("catalogo-%d", i), egret.Position{
			Term:   7,
			Offset: uint64(1000 + i),
		})
	}
	s.raiseFloor("g", egret.Position{
		Term:   1,
		Offset: 75,
	})
	c := tp.connect(t, s.token())
	if err := exec(c, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if got := tp.lanes.allAttempts()[0].Floor.Offset; got != 75 {
		t.Errorf("floor %d, want that of the token, 75", got)
	}
}

func TestReadAtThePrimaryLeavesTheFloorAlone(t *testing.T) {
	tp := startProxy(t, func(_ int, o egret.TransactionOptions) (egret.BatchResult, error) {
		if o.Member != "m1" {
			return failed(egret.OutcomeNotRun, egret.ReasonFloor, "EL001")
		}
		return completed(egret.TxIdle, 90)
	})
	c := tp.connect(t, "")
	for range 2 {
		if err := exec(c, "SELECT item FROM orders"); err != nil {
			t.Fatal(err)
		}
	}
	attempts := tp.lanes.allAttempts()
	if got := attempts[len(attempts)-1].Floor.Offset; got != 40 {
		t.Errorf("floor %d after a read on the primary, want the confirmed 40", got)
	}
}

func TestLostTransactionHasToBeEnded(t *testing.T) {
	tp := startProxy(t, nil)
	tp.lanes.answer = func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxOpen, 0)
	}
	c := tp.connect(t, "")
	if err := exec(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	tp.lanes.answer = func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return failed(egret.OutcomeNotRun, egret.ReasonMemberUnreachable, egret.CodeNotRun)
	}
	wantCode(t, exec(c, "INSERT INTO orders VALUES ('a')"), egret.CodeNotRun)
	wantCode(t, exec(c, "INSERT INTO orders VALUES ('b')"), "25P02")
	if got := c.TxStatus(); got != 'E' {
		t.Errorf("status %c, want E", got)
	}
	if err := exec(c, "ROLLBACK"); err != nil || c.TxStatus() != 'I' {
		t.Errorf("ROLLBACK: %v, status %c, want I", err, c.TxStatus())
	}
	if n := len(tp.lanes.allAttempts()); n != 1 {
		t.Errorf("%d transactions begun, want 1", n)
	}
}

func TestRefusingDatabaseGetsLittleMoreThanTheCallersLoad(t *testing.T) {
	for _, query := range []string{"INSERT INTO orders VALUES ('a')", "SELECT item FROM orders"} {
		tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
			return failed(egret.OutcomeNotRun, egret.ReasonMemberRefused, egret.CodeNotRun)
		})
		c := tp.connect(t, "")
		const requests = 200
		for range requests {
			wantCode(t, exec(c, query), egret.CodeNotRun)
		}
		if n := len(tp.lanes.allAttempts()); n > requests*12/10 {
			t.Errorf("%q: %d attempts for %d requests, want at most 1.2 times as many", query, n, requests)
		}
	}
}

func TestDrainEndsIdleSessionsAndLetsTransactionsFinish(t *testing.T) {
	tp := startProxy(t, nil)
	status := egret.TxOpen
	tp.lanes.answer = func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(status, 0)
	}
	idle := tp.connect(t, "")
	busy := tp.connect(t, "")
	if err := exec(busy, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() {
		drained <- tp.server.Drain(ctx)
	}()
	// The idle caller receives the error without a request.
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
