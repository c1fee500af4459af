package group

import (
	"bytes"
	"context"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// execute returns a statement that executes the definition as the caller's statement "p1", a name like those on members.
func execute(id string, p egret.PreparedStatement) egret.StatementRequest {
	w := read(id)
	w.Query.Verb = egret.VerbExecute
	w.Query.Name = "p1"
	w.Query.Text = "EXECUTE p1 a"
	w.Query.Argument = "a"
	w.Prepared = p
	w.Writes = p.Writes
	return w
}

// ranDefinition returns the definition of the prepared statement that ran for the query on any member.
func (s *fakeService) ranDefinition(id string) (egret.PreparedStatement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if p, found := m.shapes[id]; found {
			return p, true
		}
	}
	return egret.PreparedStatement{}, false
}

// expectDefinition executes the definition on the stream, and fails the test if another one ran, or none.
func expectDefinition(t *testing.T, s *fakeService, stream *Stream, w egret.StatementRequest) {
	t.Helper()
	a := stream.Do(context.Background(), w)
	if ran, found := s.ranDefinition(w.Query.ID); a.Fault.Kind != egret.FaultNone || !found || ran != w.Prepared {
		t.Errorf("%s ran %q, want %q; answer %+v", w.Query.ID, ran.Text, w.Prepared.Text, a)
	}
}

// TestStatementRunsTheDefinitionOfItsCaller guards against statements that run what another caller has prepared. Callers choose the
// definitions and share the connections, so that definitions with the same hash, with the same text but other access, and with
// names like those on members must stay apart: outside of transactions and inside, behind a reset of the connection, and on a new one.
func TestStatementRunsTheDefinitionOfItsCaller(t *testing.T) {
	// XXH64 can be inverted: a caller can choose a definition that has the hash of another one.
	const definition, sameHash = "q2c", "jlebaaaa1N9\\6v^T"
	if xxhash.Sum64String(definition) != xxhash.Sum64String(sameHash) {
		t.Fatal("the definitions have different hashes")
	}
	definitions := []egret.PreparedStatement{
		{
			Text: definition,
		},
		{
			Text: sameHash,
		},
		{
			Text:   definition,
			Writes: true,
		},
		{
			Text:   sameHash,
			Writes: true,
		},
	}
	s := newFakeService()
	l, _ := startLane(t, s)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	ids := 0
	nextID := func() string {
		ids++
		return strconv.Itoa(ids)
	}
	executeAll := func() {
		t.Helper()
		// Several times, so that each definition runs on connections that others have used.
		for range 3 {
			for _, p := range definitions {
				expectDefinition(t, s, l.Stream(), execute(nextID(), p))
			}
		}
	}
	executeAll()
	inTransaction(t, s, l, func(stream *Stream) {
		for _, p := range definitions {
			w := execute(nextID(), p)
			w.InTransaction = true
			expectDefinition(t, s, stream, w)
		}
	})
	executeAll()
	// So many definitions that connections are reset.
	for i := range 4 * maxPreparedStatements {
		expectDefinition(t, s, l.Stream(), execute(nextID(), egret.PreparedStatement{
			Text: "q" + strconv.Itoa(i),
		}))
	}
	executeAll()
	l.mu.Lock()
	for _, m := range l.members {
		for _, c := range m.conns.RemoveIdle() {
			c.backend.Close()
		}
	}
	l.mu.Unlock()
	executeAll()
}

// inTransaction runs the statements in a transaction that is committed.
func inTransaction(t *testing.T, s *fakeService, l *Lane, statements func(stream *Stream)) {
	t.Helper()
	stream := l.Stream()
	first := write("begin")
	first.Begin = egret.VerbBegin
	if a := stream.Do(context.Background(), first); a.Fault.Kind != egret.FaultNone {
		t.Fatalf("first statement: %+v", a)
	}
	statements(stream)
	commit := write("commit")
	commit.Query.Verb = egret.VerbCommit
	commit.InTransaction = true
	if a := stream.Do(context.Background(), commit); a.Fault.Kind != egret.FaultNone {
		t.Fatalf("commit: %+v", a)
	}
}

// TestPreparedStatementsOfATransactionAreLimited guards against a member and a proxy whose memory grows with each definition that one
// transaction executes: the connection can't be reset before the transaction ends.
func TestPreparedStatementsOfATransactionAreLimited(t *testing.T) {
	s := newFakeService()
	l, _ := startLane(t, s)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	inTransaction(t, s, l, func(stream *Stream) {
		for i := range 4 * maxPreparedStatements {
			w := execute(strconv.Itoa(i), egret.PreparedStatement{
				Text: "q" + strconv.Itoa(i%(3*maxPreparedStatements)),
			})
			w.InTransaction = true
			expectDefinition(t, s, stream, w)
		}
	})
	s.member("a", func(m *fakeMember) {
		if m.maxPrepared > maxPreparedStatements+1 {
			t.Errorf("%d statements prepared on a connection, want at most %d", m.maxPrepared, maxPreparedStatements+1)
		}
	})
}

// TestConnectionWithoutItsStatementsIsReset guards against a connection that is used on after its member has reported a prepared
// statement as unknown, so that each further statement with that definition fails.
func TestConnectionWithoutItsStatementsIsReset(t *testing.T) {
	s := newFakeService()
	l, _ := startLane(t, s)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	w := execute("1", egret.PreparedStatement{
		Text: "q2c",
	})
	expectDefinition(t, s, l.Stream(), w)
	s.mu.Lock()
	for _, m := range s.members {
		m.forgetPrepared()
	}
	s.mu.Unlock()
	w.Query.ID = "2"
	expectDefinition(t, s, l.Stream(), w)
}

// TestKeyOfLongDefinitions guards against long definitions that differ in one byte, or in length, and have the same key.
func TestKeyOfLongDefinitions(t *testing.T) {
	keys := map[definitionKey]int{}
	for _, size := range []int{chunkBytes - 1, chunkBytes, chunkBytes + 1, 2 * chunkBytes, 2*chunkBytes + 1} {
		text := bytes.Repeat([]byte("q"), size)
		for _, i := range []int{0, size / 2, size - 1} {
			text[i] = 'x'
			keys[keyOf(egret.PreparedStatement{
				Text: string(text),
			})]++
			text[i] = 'q'
		}
	}
	if len(keys) != 15 {
		t.Errorf("%d keys for 15 definitions", len(keys))
	}
}
