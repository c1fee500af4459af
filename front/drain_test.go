package front

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
)

// TestDrainAnswersWhatArrivesMeanwhile delivers a statement at the moment at which Drain ends the idle session. It must be
// answered, and must not run without an answer.
func TestDrainAnswersWhatArrivesMeanwhile(t *testing.T) {
	stream := &fakeStream{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s"} },
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	once := sync.Once{}
	c.onInterrupt = func() {
		once.Do(func() {
			c.queries <- egret.Query{
				ID:   "1",
				Verb: egret.VerbRead,
				Text: "READ a",
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serve(context.Background(), c)
	}()
	<-c.waiting
	if left := s.Drain(0, time.Second); left != 0 {
		t.Errorf("%d sessions are left", left)
	}
	<-ended
	if requests := stream.received(); len(requests) != 1 {
		t.Errorf("%d statements went to a member, want the one that arrived", len(requests))
	}
	select {
	case a := <-c.answers:
		if a.Signature != "s" {
			t.Errorf("answer is %+v", a)
		}
	default:
		t.Error("the statement got no answer")
	}
}

// TestDrainLetsTransactionsEnd starts Drain within a transaction. The session must stay open until the
// transaction has ended.
func TestDrainLetsTransactionsEnd(t *testing.T) {
	stream := &fakeStream{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s", Status: egret.TxOpen} },
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serve(context.Background(), c)
	}()
	statements := []egret.Query{
		{ID: "1", Verb: egret.VerbBegin, Text: "BEGIN"},
		{ID: "2", Verb: egret.VerbWrite, Text: "WRITE a b"},
		{ID: "3", Verb: egret.VerbCommit, Text: "COMMIT"},
	}
	for i, q := range statements {
		c.queries <- q
		if a := <-c.answers; a.Fault.Kind != egret.FaultNone {
			t.Fatalf("%s failed: %v", q.Text, a.Fault)
		}
		if i == 0 {
			go s.Drain(MinIdleTime, 5*time.Second)
		}
	}
	close(c.queries)
	<-ended
}

// TestDrainWaitsForTheNextStatement sends each statement shortly after the previous answer. Drain must not
// close the session in between.
func TestDrainWaitsForTheNextStatement(t *testing.T) {
	stream := &fakeStream{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s"} },
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	closed := make(chan struct{})
	once := sync.Once{}
	c.onClose = func() { once.Do(func() { close(closed) }) }
	go s.serve(context.Background(), c)
	<-c.waiting
	drained := false
	for range 4 {
		c.queries <- egret.Query{ID: "1", Verb: egret.VerbRead, Text: "READ a"}
		<-c.answers
		if !drained {
			drained = true
			go s.Drain(MinIdleTime, 5*time.Second)
		}
		select {
		case <-closed:
			t.Fatal("the session was closed right after an answer")
		case <-time.After(MinIdleTime / 3):
		}
	}
	<-closed
	close(c.queries)
}

// TestDrainNeverCutsWhatRuns calls Drain while a statement runs for longer than the first timeout. The
// statement must get its answer, and the session must end after it.
func TestDrainNeverCutsWhatRuns(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	stream := &fakeStream{
		do: func(egret.StatementRequest) egret.Answer {
			close(started)
			<-finish
			return egret.Answer{Signature: "s"}
		},
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	closed := make(chan struct{})
	once := sync.Once{}
	c.onClose = func() {
		once.Do(func() {
			close(closed)
			close(c.queries)
		})
	}
	go s.serve(context.Background(), c)
	c.queries <- egret.Query{ID: "1", Verb: egret.VerbRead, Text: "READ a"}
	<-started
	if left := s.Drain(MinIdleTime, 3*MinIdleTime); left != 1 {
		t.Fatalf("Drain left %d sessions, want 1, the one with a running statement", left)
	}
	select {
	case <-closed:
		t.Fatal("the session was closed while its statement ran")
	default:
	}
	drained := make(chan int)
	go func() { drained <- s.Drain(0, 5*time.Second) }()
	close(finish)
	if a := <-c.answers; a.Signature != "s" {
		t.Errorf("answer is %+v, want signature s", a)
	}
	if left := <-drained; left != 0 {
		t.Errorf("Drain left %d sessions, want 0", left)
	}
}

// TestSessionsOpenedLaterStay checks that an idle session is closed, but not one that was opened after the
// given time.
func TestSessionsOpenedLaterStay(t *testing.T) {
	s := newTestServer(&fakeStream{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s"} },
	})
	ended := make(chan string, 2)
	open := func(name string) *fakeConn {
		c := newFakeConn("orders")
		go func() {
			s.serve(context.Background(), c)
			ended <- name
		}()
		<-c.waiting
		return c
	}
	early := open("early")
	once := sync.Once{}
	early.onClose = func() {
		once.Do(func() { close(early.queries) })
	}
	between := clock.Now()
	late := open("late")
	if left := s.CloseIdle(0, between); left != 2 {
		t.Errorf("%d sessions are left, want 2 until they have ended", left)
	}
	if name := <-ended; name != "early" {
		t.Errorf("session %s ended first, want early", name)
	}
	select {
	case name := <-ended:
		t.Errorf("session %s ended too", name)
	case <-time.After(50 * time.Millisecond):
	}
	close(late.queries)
	<-ended
}

// serveOne serves the connection until the test ends, as Serve does.
func serveOne(t *testing.T, s *Server, c *fakeConn) <-chan struct{} {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.cancel = cancel
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serve(ctx, c)
	}()
	<-c.waiting
	return ended
}

// TestEndAnswersEveryStatement guards against connections that end without an answer when the process stops: a statement
// waits for a holder, or for a member, for longer than the process runs.
func TestEndAnswersEveryStatement(t *testing.T) {
	stream := &fakeStream{
		waits: true,
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	ended := serveOne(t, s, c)
	c.queries <- egret.Query{ID: "1", Verb: egret.VerbRead, Text: "READ a"}
	for len(stream.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.EndAt(clock.Now().Add(100 * time.Millisecond))
	if left := s.Drain(0, time.Second); left != 0 {
		t.Errorf("%d sessions are left", left)
	}
	<-ended
	select {
	case a := <-c.answers:
		if a.Fault.Kind != egret.FaultBusy {
			t.Errorf("%+v, want a refusal", a)
		}
	default:
		t.Error("the session ended without an answer")
	}
}

// TestEndShortensStatements guards against statements that get more time than the process runs.
func TestEndShortensStatements(t *testing.T) {
	stream := &fakeStream{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s"} },
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	ended := serveOne(t, s, c)
	s.EndAt(clock.Now().Add(500 * time.Millisecond))
	c.queries <- egret.Query{ID: "1", Verb: egret.VerbRead, Text: "READ a"}
	<-c.answers
	if r := stream.received(); r[0].Timeout > 500*time.Millisecond-answerTransit {
		t.Errorf("the statement has %v", r[0].Timeout)
	}
	close(c.queries)
	<-ended
}

// TestEndClosesOpenTransactions guards against statements of open transactions that are read too late to be answered before
// the process ends. Their callers are told that nothing is kept; before, the transaction goes on.
func TestEndClosesOpenTransactions(t *testing.T) {
	stream := &fakeStream{
		do: func(egret.StatementRequest) egret.Answer { return egret.Answer{Signature: "s"} },
	}
	s := newTestServer(stream)
	c := newFakeConn("orders")
	once := sync.Once{}
	c.onClose = func() { once.Do(func() { close(c.queries) }) }
	ended := serveOne(t, s, c)
	s.EndAt(clock.Now().Add(LastStatementTime + 500*time.Millisecond))
	for i, q := range []egret.Query{
		{ID: "1", Verb: egret.VerbBegin, Text: "BEGIN"},
		{ID: "2", Verb: egret.VerbWrite, Text: "WRITE a b", Writes: true},
	} {
		c.queries <- q
		if a := <-c.answers; a.Fault.Kind != egret.FaultNone {
			t.Fatalf("%s failed: %v", q.Text, a.Fault)
		}
		if i == 0 {
			go s.Drain(0, 5*time.Second)
		}
	}
	select {
	case <-ended:
	case <-time.After(LastStatementTime + 400*time.Millisecond):
		t.Fatal("the session is open until the process ends")
	}
	select {
	case f := <-c.refusals:
		if f.Kind != egret.FaultAborted {
			t.Errorf("%+v, want that nothing is kept", f)
		}
	default:
		t.Error("the caller was not told that the transaction is rolled back")
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if !stream.closed {
		t.Error("the transaction was not rolled back")
	}
}

// TestUnansweredStatementsAreLogged guards against connections that end without an answer and without a line that names the
// statement.
func TestUnansweredStatementsAreLogged(t *testing.T) {
	out := &bytes.Buffer{}
	stream := &fakeStream{
		waits: true,
	}
	s := newTestServer(stream)
	s.EventLog = &evlog.Log{
		Logger: &log.Logger{
			Writer: &log.IOWriter{
				Writer: out,
			},
		},
	}
	c := newFakeConn("orders")
	c.queries = make(chan egret.Query, 1)
	ended := serveOne(t, s, c)
	c.queries <- egret.Query{ID: "7f", Verb: egret.VerbRead, Text: "READ a"}
	for len(stream.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.LogUnanswered()
	if text := out.String(); !strings.Contains(text, `"statement-unanswered","request":"7f"`) {
		t.Errorf("the statement is not named: %s", text)
	}
	close(c.queries)
	s.cancel()
	<-ended
	out.Reset()
	s.LogUnanswered()
	if out.Len() > 0 {
		t.Errorf("logged after the answer: %s", out)
	}
}
