package caller

import (
	"strconv"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// longName is the part of a statement's name that makes it long. Messages with it are below longBytes, so that no memory is
// reserved for them while they are read.
var longName = strings.Repeat("n", 8000)

// TestNamesAndTypesOfPreparedStatementsAreBounded guards against a session whose prepared statements have short texts and take memory
// without end by their names, their parameter types or their number.
func TestNamesAndTypesOfPreparedStatementsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		// size is what a statement takes at least.
		size    int
		message func(i int) pgproto3.FrontendMessage
	}{
		"names": {
			size:    len(longName),
			message: func(i int) pgproto3.FrontendMessage { return parse(strconv.Itoa(i)+longName, "x") },
		},
		"types": {
			size: 8000,
			message: func(i int) pgproto3.FrontendMessage {
				m := parse(strconv.Itoa(i), "x")
				m.ParameterOIDs = make([]uint32, 2000)
				return m
			},
		},
		"entries": {
			size:    256,
			message: func(i int) pgproto3.FrontendMessage { return parse(strconv.Itoa(i), "x") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startServer(t, nil)
			_, f := ts.login()
			code, i := "", 0
			for ; code == "" && i < 2*maxPreparedBytes/c.size; i++ {
				code = exchange(t, f, c.message(i), syncMessage)
			}
			if code != codeConfigurationLimit {
				t.Fatalf("SQLSTATE %q for statement %d of %d bytes, want %s", code, i, c.size, codeConfigurationLimit)
			}
			first := c.message(0).(*pgproto3.Parse).Name
			if code := exchange(t, f, closeStatement(first), c.message(i), syncMessage); code != "" {
				t.Errorf("SQLSTATE %q behind a Close in the same batch, want room for a statement", code)
			}
		})
	}
}

// TestNamesInABatchAreBounded guards against a batch that takes memory without end: the names in it are not passed to the database,
// so that the limit of the batch's size doesn't bound them.
func TestNamesInABatchAreBounded(t *testing.T) {
	for name, message := range map[string]func(i int) pgproto3.FrontendMessage{
		"definitions": func(i int) pgproto3.FrontendMessage { return parse(strconv.Itoa(i)+longName, "x") },
		"closes":      func(i int) pgproto3.FrontendMessage { return closeStatement(strconv.Itoa(i) + longName) },
	} {
		t.Run(name, func(t *testing.T) {
			ts := startServer(t, nil)
			_, f := ts.login()
			messages := []pgproto3.FrontendMessage{}
			for i := range 2 * maxPreparedBytes / len(longName) {
				messages = append(messages, message(i))
			}
			if code := exchange(t, f, append(messages, syncMessage)...); code != codeConfigurationLimit {
				t.Errorf("SQLSTATE %q, want %s", code, codeConfigurationLimit)
			}
			if code := exchange(t, f, message(0), syncMessage); code != "" {
				t.Errorf("SQLSTATE %q behind the refused batch, want none", code)
			}
		})
	}
}

// TestNameLikeThatOfAnotherStatement guards against a caller that reaches another caller's statement by its name on members: also a
// name of that form stands for the text that its caller has prepared.
func TestNameLikeThatOfAnotherStatement(t *testing.T) {
	ts := startServer(t, nil)
	_, f := ts.login()
	other := newStatement(parse("", "SELECT 1"))
	if code := exchange(t, f, bind(other.Name), executeMessage, syncMessage); code != "26000" {
		t.Errorf("SQLSTATE %q for a statement that the session has not prepared, want 26000", code)
	}
	own := newStatement(parse("", "SELECT 2"))
	if code := exchange(t, f, parse(other.Name, "SELECT 2"), bind(other.Name), executeMessage, syncMessage); code != "" {
		t.Fatalf("SQLSTATE %q", code)
	}
	ts.handler.mu.Lock()
	defer ts.handler.mu.Unlock()
	batch := ts.handler.batches[len(ts.handler.batches)-1].Batch
	if s := batch.Statements; len(s) != 1 || s[0].Name != own.Name || s[0].Query != "SELECT 2" {
		t.Errorf("definitions %+v, want that of the caller's text", s)
	}
	if strings.Contains(string(batch.Messages), other.Name) {
		t.Errorf("the messages have the caller's name: %q", batch.Messages)
	}
}
