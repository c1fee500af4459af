package front

import (
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// TestEndAnswersStatementsSentAhead guards against statements that have arrived when the server ends and get no answer, as their
// session waits for an earlier one.
func TestEndAnswersStatementsSentAhead(t *testing.T) {
	stream := &fakeStream{
		waits: true,
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	c.queries = make(chan egret.Query, 2)
	ended := serveOne(t, s, c)
	c.queries <- egret.Query{ID: "1", Verb: egret.VerbRead, Text: "READ a"}
	c.queries <- egret.Query{ID: "2", Verb: egret.VerbRead, Text: "READ b"}
	s.EndAt(clock.Now().Add(100 * time.Millisecond))
	if left := s.Drain(0, time.Second); left != 0 {
		t.Errorf("%d sessions are left", left)
	}
	<-ended
	if n := len(c.answers); n != 2 {
		t.Errorf("%d of 2 statements were answered", n)
	}
}

// TestEndTellsOfOpenTransactions guards against transactions that end without a word when a statement of theirs is answered as
// the server ends.
func TestEndTellsOfOpenTransactions(t *testing.T) {
	stream := &fakeStream{
		waits: true,
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	ended := serveOne(t, s, c)
	s.EndAt(clock.Now().Add(LastStatementTime + 100*time.Millisecond))
	c.queries <- egret.Query{ID: "1", Verb: egret.VerbBegin, Text: "BEGIN"}
	c.queries <- egret.Query{ID: "2", Verb: egret.VerbRead, Text: "READ a"}
	if left := s.Drain(0, LastStatementTime+time.Second); left != 0 {
		t.Errorf("%d sessions are left", left)
	}
	<-ended
	if n := len(c.answers); n != 2 {
		t.Errorf("%d of 2 statements were answered", n)
	}
	select {
	case f := <-c.refusals:
		if f.Kind != egret.FaultAborted {
			t.Errorf("%+v, want that nothing is kept", f)
		}
	default:
		t.Error("the caller was not told that the transaction is rolled back")
	}
}
