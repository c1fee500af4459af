package link

import (
	"testing"
	"time"

	"egretlane.example/egret"
)

// TestEndedStreamSendsNothing guards against writes in doubt that were never sent, since the connection of an idle session's stream
// has ended before, as when the holder restarts under its address.
func TestEndedStreamSendsNothing(t *testing.T) {
	address, stop := serveHost(t, &fakeHost{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s"} },
	})
	p := newPool(t)
	w := egret.StatementRequest{
		Timeout: time.Second,
		Writes:  true,
	}
	single, transaction := p.Stream(address, true), p.Stream(address, true)
	for _, s := range []*Stream{single, transaction} {
		defer s.Close()
		if a := s.Do(t.Context(), w); a.Signature != "s" {
			t.Fatalf("%+v", a)
		}
	}
	stop()
	// Both streams have ended once the connection has.
	for _, s := range []*Stream{single, transaction} {
		if _, err := s.stream.Recv(); err == nil {
			t.Fatal("a stopped proxy has sent an answer")
		}
	}
	if a := single.Do(t.Context(), w); a.Fault.Kind != egret.FaultNotHolder {
		t.Errorf("%+v, want that the statement was not sent", a)
	}
	w.InTransaction = true
	if a := transaction.Do(t.Context(), w); a.Fault.Kind != egret.FaultAborted {
		t.Errorf("in a transaction: %+v, want that it is rolled back", a)
	}
}
