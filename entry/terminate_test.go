package entry

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
)

// TestTerminateKeepsAnswer guards against requests that run and get no answer, since the caller has sent Terminate right after them.
func TestTerminateKeepsAnswer(t *testing.T) {
	tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, uint64(n))
	})
	_, f := tp.login(t)
	f.Send(&pgproto3.Query{
		String: "INSERT INTO orders VALUES ('a')",
	})
	f.Send(&pgproto3.Terminate{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	wantAnswer(t, f, "")
}
