package caller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// exchange sends messages and reads the answer up to ReadyForQuery. It returns the SQLSTATE of the error in it, or "".
func exchange(t *testing.T, f *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	code := ""
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			code = m.Code
		case *pgproto3.ReadyForQuery:
			return code
		}
	}
}

func parse(name, query string) *pgproto3.Parse {
	return &pgproto3.Parse{
		Name:  name,
		Query: query,
	}
}

func bind(statement string) *pgproto3.Bind {
	return &pgproto3.Bind{
		PreparedStatement: statement,
	}
}

func closeStatement(statement string) *pgproto3.Close {
	return &pgproto3.Close{
		ObjectType: 'S',
		Name:       statement,
	}
}

var (
	executeMessage = &pgproto3.Execute{}
	syncMessage    = &pgproto3.Sync{}
)

func TestPreparedStatements(t *testing.T) {
	ts := startServer(t, nil)
	_, f := ts.login()
	large := strings.Repeat("x", ts.server.MaxBatchBytes-100)
	for _, c := range []struct {
		name     string
		messages []pgproto3.FrontendMessage
		code     string
	}{
		{name: "prepare", messages: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), syncMessage}},
		{name: "prepare twice", messages: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), syncMessage}, code: "42P05"},
		{name: "run", messages: []pgproto3.FrontendMessage{bind("a"), executeMessage, syncMessage}},
		{name: "run an unknown one", messages: []pgproto3.FrontendMessage{bind("b"), executeMessage, syncMessage}, code: "26000"},
		{name: "describe an unknown one", messages: []pgproto3.FrontendMessage{&pgproto3.Describe{
			ObjectType: 'S',
			Name:       "b",
		}, syncMessage}, code: "26000"},
		{name: "prepare what the database refuses", messages: []pgproto3.FrontendMessage{parse("c", "refused"), syncMessage}, code: "42601"},
		{name: "prepare the refused name", messages: []pgproto3.FrontendMessage{parse("c", "SELECT 2"), bind("c"), executeMessage, syncMessage}},
		{name: "over the limit together", messages: []pgproto3.FrontendMessage{parse("d", large), parse("e", large), syncMessage}, code: "54000"},
		{name: "prepare what was over the limit", messages: []pgproto3.FrontendMessage{parse("d", "SELECT 3"), syncMessage}},
		{name: "close and prepare in one batch", messages: []pgproto3.FrontendMessage{closeStatement("a"), parse("a", "SELECT 4"), bind("a"), executeMessage, syncMessage}},
		{name: "close and run in one batch", messages: []pgproto3.FrontendMessage{closeStatement("a"), bind("a"), executeMessage, syncMessage}, code: "26000"},
		{name: "still there", messages: []pgproto3.FrontendMessage{bind("a"), executeMessage, syncMessage}},
		{name: "close", messages: []pgproto3.FrontendMessage{closeStatement("a"), syncMessage}},
		{name: "run a closed one", messages: []pgproto3.FrontendMessage{bind("a"), executeMessage, syncMessage}, code: "26000"},
		{name: "function call", messages: []pgproto3.FrontendMessage{&pgproto3.FunctionCall{
			Function: 1,
		}}, code: "0A000"},
		{name: "flush", messages: []pgproto3.FrontendMessage{parse("", "SELECT 1"), &pgproto3.Flush{}, syncMessage}, code: "0A000"},
		{name: "left over from a copy", messages: []pgproto3.FrontendMessage{&pgproto3.CopyDone{}, syncMessage}},
	} {
		if code := exchange(t, f, c.messages...); code != c.code {
			t.Errorf("%s: SQLSTATE %q, want %q", c.name, code, c.code)
		}
	}
}

// TestPreparedStatementsAreBounded checks that a session can't prepare named statements beyond maxPreparedBytes, and
// that closing statements makes room for others.
func TestPreparedStatementsAreBounded(t *testing.T) {
	ts := startServer(t, nil)
	_, f := ts.login()
	text := strings.Repeat("x", 1<<15)
	for i := range maxPreparedBytes / len(text) {
		if code := exchange(t, f, parse(fmt.Sprint(i), text), syncMessage); code != "" {
			t.Fatalf("statement %d: SQLSTATE %s", i, code)
		}
	}
	for _, c := range []struct {
		message pgproto3.FrontendMessage
		code    string
	}{
		{message: parse("more", text), code: "53400"},
		{message: parse("", text)},
		{message: closeStatement("0")},
		{message: closeStatement("")},
		{message: parse("more", text)},
	} {
		if code := exchange(t, f, c.message, syncMessage); code != c.code {
			t.Errorf("%+v: SQLSTATE %q, want %q", c.message, code, c.code)
		}
	}
}

// TestFlushIsAnsweredAtOnce checks that Flush is refused before the caller sends Sync: a caller that waits for an
// answer after Flush would otherwise wait forever.
func TestFlushIsAnsweredAtOnce(t *testing.T) {
	ts := startServer(t, nil)
	_, f := ts.login()
	f.Send(parse("a", "SELECT 1"))
	f.Send(&pgproto3.Flush{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != "0A000" {
		t.Errorf("SQLSTATE %s, want 0A000", e.Code)
	}
	if code := exchange(t, f, syncMessage); code != "" {
		t.Errorf("the refusal was sent twice: %s", code)
	}
}

// TestUnnamedStatementLater checks that a batch may run the unnamed statement of an earlier batch. It is sent
// under the name that a named statement with the same text has, which is the same on each connection.
func TestUnnamedStatementLater(t *testing.T) {
	ts := startServer(t, nil)
	_, f := ts.login()
	exchange(t, f, parse("", "SELECT 1"), bind(""), executeMessage, syncMessage)
	exchange(t, f, parse("named", "SELECT 1"), syncMessage)
	exchange(t, f, bind(""), executeMessage, syncMessage)
	exchange(t, f, parse("other", "SELECT 2"), &pgproto3.Bind{
		DestinationPortal: "portal",
		PreparedStatement: "other",
	}, &pgproto3.Execute{
		Portal: "portal",
	}, &pgproto3.Close{
		ObjectType: 'P',
		Name:       "portal",
	}, syncMessage)
	ts.handler.mu.Lock()
	defer ts.handler.mu.Unlock()
	b := ts.handler.batches
	if len(b[0].Batch.Statements) != 0 {
		t.Errorf("the unnamed statement of its own batch is defined again: %+v", b[0].Batch.Statements)
	}
	if len(b[2].Batch.Statements) != 1 || b[2].Batch.Statements[0].Name != b[1].Batch.Statements[0].Name {
		t.Errorf("statements %+v and %+v, want one name", b[1].Batch.Statements, b[2].Batch.Statements)
	}
	if b[3].Batch.Statements[0].Name == b[1].Batch.Statements[0].Name || b[3].Texts[0] != "SELECT 2" {
		t.Errorf("the portal's batch is %+v", b[3])
	}
}

func TestOversizeMessageEndsSession(t *testing.T) {
	ts := startServer(t, nil)
	n, _ := ts.login()
	if _, err := n.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	if err := ts.handler.waitSessionError(t); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("error %v, want ErrMessageTooLarge", err)
	}
}

// TestSlowCallers checks that a session times out if its caller stops within a message or doesn't read the answer.
func TestSlowCallers(t *testing.T) {
	for _, c := range []struct {
		name            string
		sent            string
		transactionIdle time.Duration
		outputBytes     int
		want            error
	}{
		{name: "half a message", sent: "Q\x00", want: ErrBatchTimeout},
		{name: "half a message in a transaction", sent: "Q\x00", transactionIdle: 50 * time.Millisecond, want: ErrIdleTimeout},
		{name: "nothing in a transaction", transactionIdle: 50 * time.Millisecond, want: ErrIdleTimeout},
		{name: "an answer unread", sent: "Q\x00\x00\x00\x06;\x00", outputBytes: 64 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			ts := startServer(t, func(s *Server) {
				s.BatchTimeout = 50 * time.Millisecond
				s.WriteTimeout = 50 * time.Millisecond
			})
			ts.handler.transactionIdle = c.transactionIdle
			ts.handler.outputBytes = c.outputBytes
			n, _ := ts.login()
			if _, err := n.Write([]byte(c.sent)); err != nil {
				t.Fatal(err)
			}
			err := ts.handler.waitSessionError(t)
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if c.want == nil && !isTimeout(err) {
				t.Errorf("error %v, want a timeout", err)
			}
		})
	}
}

// TestDrain checks that a shutdown ends idle sessions, and that a batch of which a part was received is still answered.
func TestDrain(t *testing.T) {
	ts := startServer(t, nil)
	ts.login()
	n, f := ts.login()
	ts.dial()
	waitFor(t, "two idle sessions and a handshake", func() bool {
		return ts.idleCount() == 2 && ts.handshakeCount() == 1
	})
	if _, err := n.Write([]byte("Q\x00\x00\x00\x06")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the start of a batch", func() bool {
		return ts.idleCount() == 1
	})
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained <- ts.server.Drain(ctx)
	}()
	if err := ts.handler.waitSessionError(t); !errors.Is(err, ErrDraining) {
		t.Errorf("the idle session ended with %v", err)
	}
	if _, err := n.Write([]byte(";\x00")); err != nil {
		t.Fatal(err)
	}
	expect[*pgproto3.ReadyForQuery](t, f)
	if err := <-drained; err != nil {
		t.Errorf("Drain() = %v", err)
	}
}
