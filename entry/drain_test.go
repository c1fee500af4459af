package entry

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
)

// login opens a connection and returns it after its handshake, with a deadline of 10 s.
func (tp *testProxy) login(t *testing.T) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	tp.awaitListening(t)
	n, err := net.Dial("tcp", tp.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.Close()
	})
	if err := n.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	f := pgproto3.NewFrontend(n, n)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":     "workshop",
			"database": "catalogo-db",
		},
	})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	answerOf(t, f)
	return n, f
}

// query sends simple queries in one write.
func query(t *testing.T, f *pgproto3.Frontend, texts ...string) {
	t.Helper()
	for _, text := range texts {
		f.Send(&pgproto3.Query{
			String: text,
		})
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
}

// answerOf reads an answer up to ReadyForQuery or a fatal error, and returns the SQLSTATE of the error in it, or "".
func answerOf(t *testing.T, f *pgproto3.Frontend) string {
	t.Helper()
	code := ""
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("the connection ended without an answer: %v", err)
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			code = m.Code
			if m.Severity == "FATAL" {
				return "FATAL " + code
			}
		case *pgproto3.ReadyForQuery:
			return code
		}
	}
}

func wantAnswer(t *testing.T, f *pgproto3.Frontend, code string) {
	t.Helper()
	if got := answerOf(t, f); got != code {
		t.Errorf("the answer has SQLSTATE %q, want %q", got, code)
	}
}

// TestDrainAnswersBeforeItsEnd guards against requests and open transactions whose connections are closed without a word
// when the time for the shutdown is over. The answer must not say that a request which may have run has not.
func TestDrainAnswersBeforeItsEnd(t *testing.T) {
	for _, c := range []struct {
		name string

		// before is answered before the shutdown, and text runs when its time is over.
		before, text string

		// outcome is that of the running request.
		outcome egret.Outcome

		// code is the SQLSTATE of the answer to text.
		code string
	}{
		{name: "a write that may have run", text: "INSERT INTO orders VALUES ('a')", outcome: egret.OutcomeUnknown, code: "08007"},
		{name: "a write that was not sent", text: "INSERT INTO orders VALUES ('a')", outcome: egret.OutcomeNotRun, code: "57P01"},
		{name: "a read", text: "SELECT 1", outcome: egret.OutcomeUnknown, code: "08007"},
		{name: "a statement of a transaction", before: "BEGIN", text: "INSERT INTO orders VALUES ('a')", outcome: egret.OutcomeNotRun, code: "57P01"},
		{name: "the end of a transaction", before: "BEGIN", text: "COMMIT", outcome: egret.OutcomeUnknown, code: "08007"},
		{name: "an open transaction", before: "BEGIN"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			running := make(chan struct{})
			holds := atomic.Bool{}
			tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
				if holds.Load() {
					return failed(c.outcome, egret.ReasonOther, egret.CodeUnknown)
				}
				return completed(egret.TxOpen, uint64(n))
			})
			tp.lanes.hold = func(ctx context.Context) {
				if holds.Load() {
					close(running)
					<-ctx.Done()
				}
			}
			tp.peers.budget = time.Minute
			_, f := tp.login(t)
			if c.before != "" {
				query(t, f, c.before)
				wantAnswer(t, f, "")
			}
			if c.text != "" {
				holds.Store(true)
				query(t, f, c.text)
				<-running
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			drained := make(chan error, 1)
			go func() {
				drained <- tp.server.Drain(ctx)
			}()
			if c.text != "" {
				wantAnswer(t, f, c.code)
			}
			wantAnswer(t, f, "FATAL 57P01")
			if err := <-drained; err != nil {
				t.Errorf("Drain() = %v", err)
			}
		})
	}
}

// TestDrainEndsRetries guards against requests that are tried again without a pause after the time for the shutdown is over,
// until their own time ends.
func TestDrainEndsRetries(t *testing.T) {
	tp := startProxy(t, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return failed(egret.OutcomeNotRun, egret.ReasonNoLane, egret.CodeNotRun)
	})
	tp.peers.budget = time.Minute
	_, f := tp.login(t)
	query(t, f, "INSERT INTO orders VALUES ('a')")
	for len(tp.lanes.allAttempts()) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() {
		drained <- tp.server.Drain(ctx)
	}()
	wantAnswer(t, f, "57P01")
	wantAnswer(t, f, "FATAL 57P01")
	if err := <-drained; err != nil {
		t.Errorf("Drain() = %v", err)
	}
}

// TestDrainAnswersBatchesSentAhead guards against batches that get no answer since the session ends after the answer before: they
// were read together with the batch before, or lie in the socket.
func TestDrainAnswersBatchesSentAhead(t *testing.T) {
	for _, c := range []struct {
		name string

		// first is sent in one write, and then, while the first batch runs, the rest in another.
		first, rest []string
	}{
		{name: "read together", first: []string{"SELECT 1", "SELECT 2", "SELECT 3"}},
		{name: "in the socket", first: []string{"SELECT 1"}, rest: []string{"SELECT 2", "SELECT 3"}},
		{name: "half in the socket", first: []string{"SELECT 1", "SELECT 2"}, rest: []string{"SELECT 3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			running := make(chan struct{}, 3)
			drains := make(chan struct{})
			tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
				return completed(egret.TxIdle, uint64(n))
			})
			tp.lanes.hold = func(context.Context) {
				running <- struct{}{}
				<-drains
			}
			_, f := tp.login(t)
			idle, idleFrontend := tp.login(t)
			query(t, f, c.first...)
			<-running
			if len(c.rest) > 0 {
				query(t, f, c.rest...)
			}
			drained := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				drained <- tp.server.Drain(ctx)
			}()
			awaitDraining(t, idle, idleFrontend)
			close(drains)
			for range 3 {
				wantAnswer(t, f, "")
			}
			wantAnswer(t, f, "FATAL 57P01")
			if err := <-drained; err != nil {
				t.Errorf("Drain() = %v", err)
			}
		})
	}
}

// TestDrainEndsBusySessions guards against shutdowns that take the whole time since a caller sends its next request as soon as it
// has the answer to the one before.
func TestDrainEndsBusySessions(t *testing.T) {
	running := make(chan struct{}, 1)
	drains := make(chan struct{})
	tp := startProxy(t, func(n int, _ egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, uint64(n))
	})
	tp.lanes.hold = func(context.Context) {
		select {
		case running <- struct{}{}:
		default:
		}
		<-drains
	}
	_, f := tp.login(t)
	idle, idleFrontend := tp.login(t)
	query(t, f, "SELECT 1")
	<-running
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		drained <- tp.server.Drain(ctx)
	}()
	awaitDraining(t, idle, idleFrontend)
	close(drains)
	wantAnswer(t, f, "")
	query(t, f, "SELECT 2")
	wantAnswer(t, f, "FATAL 57P01")
	if err := <-drained; err != nil {
		t.Errorf("Drain() = %v", err)
	}
	if n := len(tp.lanes.allAttempts()); n != 1 {
		t.Errorf("%d requests went to a member, want the one that was sent before the shutdown's answer", n)
	}
}

// awaitDraining waits until all sessions know of the shutdown. idle is a session without a request.
func awaitDraining(t *testing.T, idle net.Conn, f *pgproto3.Frontend) {
	t.Helper()
	wantAnswer(t, f, "FATAL 57P01")
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("reading from an ended session: %v, want EOF", err)
	}
}
