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

// say sends messages and returns the SQLSTATE of the error in the answer, or "".
func say(t *testing.T, f *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) string {
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

func closing(statement string) *pgproto3.Close {
	return &pgproto3.Close{
		ObjectType: 'S',
		Name:       statement,
	}
}

var (
	execute = &pgproto3.Execute{}
	syncing = &pgproto3.Sync{}
)

func TestPreparedStatements(t *testing.T) {
	tr := startTrial(t, nil)
	_, f := tr.login()
	large := strings.Repeat("x", tr.server.StatementLimit-100)
	for _, c := range []struct {
		name     string
		messages []pgproto3.FrontendMessage
		code     string
	}{
		{name: "prepare", messages: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), syncing}},
		{name: "prepare twice", messages: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), syncing}, code: "42P05"},
		{name: "run", messages: []pgproto3.FrontendMessage{bind("a"), execute, syncing}},
		{name: "run an unknown one", messages: []pgproto3.FrontendMessage{bind("b"), execute, syncing}, code: "26000"},
		{name: "describe an unknown one", messages: []pgproto3.FrontendMessage{&pgproto3.Describe{
			ObjectType: 'S',
			Name:       "b",
		}, syncing}, code: "26000"},
		{name: "prepare what the database refuses", messages: []pgproto3.FrontendMessage{parse("c", "refused"), syncing}, code: "42601"},
		{name: "prepare the refused name", messages: []pgproto3.FrontendMessage{parse("c", "SELECT 2"), bind("c"), execute, syncing}},
		{name: "over the limit together", messages: []pgproto3.FrontendMessage{parse("d", large), parse("e", large), syncing}, code: "54000"},
		{name: "prepare what was over the limit", messages: []pgproto3.FrontendMessage{parse("d", "SELECT 3"), syncing}},
		{name: "close and prepare in one batch", messages: []pgproto3.FrontendMessage{closing("a"), parse("a", "SELECT 4"), bind("a"), execute, syncing}},
		{name: "close and run in one batch", messages: []pgproto3.FrontendMessage{closing("a"), bind("a"), execute, syncing}, code: "26000"},
		{name: "still there", messages: []pgproto3.FrontendMessage{bind("a"), execute, syncing}},
		{name: "close", messages: []pgproto3.FrontendMessage{closing("a"), syncing}},
		{name: "run a closed one", messages: []pgproto3.FrontendMessage{bind("a"), execute, syncing}, code: "26000"},
		{name: "function call", messages: []pgproto3.FrontendMessage{&pgproto3.FunctionCall{
			Function: 1,
		}}, code: "0A000"},
		{name: "flush", messages: []pgproto3.FrontendMessage{parse("", "SELECT 1"), &pgproto3.Flush{}, syncing}, code: "0A000"},
		{name: "left over from a copy", messages: []pgproto3.FrontendMessage{&pgproto3.CopyDone{}, syncing}},
	} {
		if code := say(t, f, c.messages...); code != c.code {
			t.Errorf("%s: SQLSTATE %q, want %q", c.name, code, c.code)
		}
	}
}

// TestPreparedStatementsAreBounded checks that a session can't keep more than its share of texts, and that
// closing makes room.
func TestPreparedStatementsAreBounded(t *testing.T) {
	tr := startTrial(t, nil)
	_, f := tr.login()
	text := strings.Repeat("x", 1<<15)
	for i := range preparedLimit / len(text) {
		if code := say(t, f, parse(fmt.Sprint(i), text), syncing); code != "" {
			t.Fatalf("statement %d: SQLSTATE %s", i, code)
		}
	}
	for _, c := range []struct {
		message pgproto3.FrontendMessage
		code    string
	}{
		{message: parse("more", text), code: "53400"},
		{message: parse("", text)},
		{message: closing("0")},
		{message: closing("")},
		{message: parse("more", text)},
	} {
		if code := say(t, f, c.message, syncing); code != c.code {
			t.Errorf("%+v: SQLSTATE %q, want %q", c.message, code, c.code)
		}
	}
}

// TestFlushIsAnsweredAtOnce checks that a caller that waits after Flush is told, before it sends Sync.
func TestFlushIsAnsweredAtOnce(t *testing.T) {
	tr := startTrial(t, nil)
	_, f := tr.login()
	f.Send(parse("a", "SELECT 1"))
	f.Send(&pgproto3.Flush{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != "0A000" {
		t.Errorf("SQLSTATE %s, want 0A000", e.Code)
	}
	if code := say(t, f, syncing); code != "" {
		t.Errorf("the refusal came twice: %s", code)
	}
}

// TestUnnamedStatementLater checks that a batch may run the unnamed statement of an earlier one, under
// a name that means the same on each connection.
func TestUnnamedStatementLater(t *testing.T) {
	tr := startTrial(t, nil)
	_, f := tr.login()
	say(t, f, parse("", "SELECT 1"), bind(""), execute, syncing)
	say(t, f, parse("named", "SELECT 1"), syncing)
	say(t, f, bind(""), execute, syncing)
	say(t, f, parse("other", "SELECT 2"), &pgproto3.Bind{
		DestinationPortal: "portal",
		PreparedStatement: "other",
	}, &pgproto3.Execute{
		Portal: "portal",
	}, &pgproto3.Close{
		ObjectType: 'P',
		Name:       "portal",
	}, syncing)
	tr.script.mu.Lock()
	defer tr.script.mu.Unlock()
	b := tr.script.batches
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
	tr := startTrial(t, nil)
	n, _ := tr.login()
	if _, err := n.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	if err := tr.script.failure(t); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
}

// TestSlowCallers checks that a caller that stops halfway, or reads nothing, is let go in time.
func TestSlowCallers(t *testing.T) {
	for _, c := range []struct {
		name        string
		sent        string
		transaction time.Duration
		flood       int
		want        error
	}{
		{name: "half a message", sent: "Q\x00", want: ErrSlow},
		{name: "half a message in a transaction", sent: "Q\x00", transaction: 50 * time.Millisecond, want: ErrIdle},
		{name: "nothing in a transaction", transaction: 50 * time.Millisecond, want: ErrIdle},
		{name: "an answer unread", sent: "Q\x00\x00\x00\x06;\x00", flood: 64 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := startTrial(t, func(s *Server) {
				s.BatchTimeout = 50 * time.Millisecond
				s.WriteTimeout = 50 * time.Millisecond
			})
			tr.script.transaction = c.transaction
			tr.script.flood = c.flood
			n, _ := tr.login()
			if _, err := n.Write([]byte(c.sent)); err != nil {
				t.Fatal(err)
			}
			err := tr.script.failure(t)
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if c.want == nil && !isTimeout(err) {
				t.Errorf("error %v, want a timeout", err)
			}
		})
	}
}

// TestDrain checks that a shutdown ends idle sessions and lets a batch that has begun finish.
func TestDrain(t *testing.T) {
	tr := startTrial(t, nil)
	tr.login()
	n, f := tr.login()
	tr.raw()
	until(t, "two idle sessions and a handshake", func() bool {
		return tr.idle() == 2 && tr.handshakes() == 1
	})
	if _, err := n.Write([]byte("Q\x00\x00\x00\x06")); err != nil {
		t.Fatal(err)
	}
	until(t, "the start of a batch", func() bool {
		return tr.idle() == 1
	})
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ended <- tr.server.Drain(ctx)
	}()
	if err := tr.script.failure(t); !errors.Is(err, ErrDraining) {
		t.Errorf("the idle session ended with %v", err)
	}
	if _, err := n.Write([]byte(";\x00")); err != nil {
		t.Fatal(err)
	}
	expect[*pgproto3.ReadyForQuery](t, f)
	if err := <-ended; err != nil {
		t.Errorf("Drain() = %v", err)
	}
}
