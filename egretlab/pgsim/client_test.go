package pgsim

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret/egretlab/pgsim/stats"
)

// TestModes runs the same statements in each query execution mode of the driver.
func TestModes(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			c := m.connect(t, "default_query_exec_mode="+mode)
			exec(t, c, "DELETE FROM orders")
			tag := exec(t, c, "INSERT INTO orders (id, item) VALUES ($1, $2), ('b', 'it''s; 2mm') -- two", "a", "sieve 1mm")
			if tag.String() != "INSERT 0 2" {
				t.Errorf("tag %q", tag)
			}
			if got := get[string](t, c, "SELECT item FROM orders WHERE id = $1", "b"); got != "it's; 2mm" {
				t.Errorf("item %q", got)
			}
			if got := get[int64](t, c, "/* shelf */ SELECT count(*) FROM orders"); got != 2 {
				t.Errorf("count %d", got)
			}
			exec(t, c, "UPDATE orders SET item = $1 WHERE id = $2", "sieve 4mm", "a")
			rows, _ := c.Query(context.Background(), "SELECT id FROM orders ORDER BY id DESC LIMIT $1", 5)
			got, err := pgx.CollectRows(rows, pgx.RowTo[string])
			if err != nil || !slices.Equal(got, []string{"b", "a"}) {
				t.Errorf("rows %v, %v", got, err)
			}
			if !get[bool](t, c, "SELECT * FROM platform.require($1, $2, $3)", 1, 1, 0) {
				t.Error("the opening entry is not applied")
			}
		})
	}
}

// TestErrors checks the SQLSTATE of each error, and that the connection stays usable after it.
func TestErrors(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	c := m.connect(t, "")
	exec(t, c, "INSERT INTO orders VALUES ('a', 'x')")
	for _, e := range []struct{ code, sql string }{
		{"23505", "INSERT INTO orders (item, id) VALUES ('y', 'a')"},
		{"23505", "INSERT INTO orders VALUES ('n', '1'), ('n', '2')"},
		{"23502", "INSERT INTO orders VALUES ('n', NULL)"},
		{"25006", "BEGIN READ ONLY; DELETE FROM orders"},
		{"25006", "SET default_transaction_read_only = on; UPDATE orders SET item = 'z'"},
		{"42P01", "SELECT * FROM pallets"},
		{"42703", "SELECT price FROM orders"},
		{"42601", "SELECT item FROM orders WHERE id = 'a' OR id = 'b'"},
		{"42601", "VACUUM"},
		{"42601", "SELECT 'open"},
		{"42601", "SELECT 1 /* open"},
		{"42704", "SHOW nothing"},
		{"42883", "SELECT platform.status()"},
		{"0A000", "SAVEPOINT s"},
		{"0A000", "BEGIN ISOLATION LEVEL SERIALIZABLE"},
		{"25001", "BEGIN; DISCARD ALL"},
		{"22023", "SELECT * FROM platform.fence(-1)"},
		{"EL002", "SELECT * FROM platform.fence(1)"},
		{"EL001", "SELECT * FROM platform.require(1, 99, 1)"},
		{"EL003", "SELECT * FROM platform.promote(2)"},
		{"EL003", "SELECT * FROM platform.follow(1, '127.0.0.1:1')"},
	} {
		_, err := c.PgConn().Exec(context.Background(), e.sql).ReadAll()
		if got := code(err); got != e.code {
			t.Errorf("%s: got %q, want %q", e.sql, got, e.code)
		}
		exec(t, c, "ROLLBACK")
		exec(t, c, "RESET ALL")
	}
	if got := get[int64](t, c, "SELECT count(*) FROM orders"); got != 1 {
		t.Errorf("%d rows after refusals, want 1", got)
	}
}

// TestTransactions checks which changes are committed and rolled back, and what the client is told.
func TestTransactions(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	c := m.connect(t, "")
	other := m.connect(t, "")
	count := func() int64 {
		return get[int64](t, other, "SELECT count(*) FROM orders")
	}
	simple := func(sql string) []string {
		results, _ := c.PgConn().Exec(context.Background(), sql).ReadAll()
		var tags []string
		for _, r := range results {
			tags = append(tags, r.CommandTag.String())
		}
		return tags
	}
	simple("INSERT INTO orders VALUES ('a', '1'); INSERT INTO orders VALUES ('b', '2'); SELECT nonsense FROM orders")
	simple("INSERT INTO orders VALUES ('a', '1'); INSERT INTO orders VALUES ('a', '2')")
	if n := count(); n != 0 {
		t.Errorf("%d rows of failed implicit transactions", n)
	}
	simple("INSERT INTO orders VALUES ('a', '1'); BEGIN; INSERT INTO orders VALUES ('b', '2')")
	if n := count(); n != 0 {
		t.Errorf("%d rows of an open transaction", n)
	}
	wantCode(t, c, "23505", "INSERT INTO orders VALUES ('a', '3')")
	wantCode(t, c, "25P02", "SELECT 1")
	if got := simple("COMMIT"); !slices.Equal(got, []string{"ROLLBACK"}) {
		t.Errorf("COMMIT of a failed transaction: %q", got)
	}
	exec(t, c, "BEGIN")
	exec(t, c, "SET application_name = 'desk'")
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	exec(t, c, "DELETE FROM orders WHERE id = 'a'")
	exec(t, c, "INSERT INTO orders VALUES ('a', '2')")
	exec(t, c, "COMMIT")
	if n := count(); n != 1 || c.PgConn().ParameterStatus("application_name") != "desk" {
		t.Errorf("after COMMIT: %d rows, application %q", n, c.PgConn().ParameterStatus("application_name"))
	}
	exec(t, c, "BEGIN; SET application_name = 'gone'; ROLLBACK")
	if got := c.PgConn().ParameterStatus("application_name"); got != "desk" {
		t.Errorf("application %q after ROLLBACK", got)
	}
}

// TestSkipsToSync pipelines a batch of messages. After an error nothing runs until Sync, not even a Query.
func TestSkipsToSync(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	f := m.connectRaw(t)
	send := func(sql string) {
		f.Send(&pgproto3.Parse{Query: sql})
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Execute{})
	}
	send("INSERT INTO orders VALUES ('a', '1')")
	send("SELECT * FROM platform.require(9, 9, 0)")
	send("INSERT INTO orders VALUES ('b', '1')")
	f.Send(&pgproto3.Query{String: "INSERT INTO orders VALUES ('c', '1')"})
	f.Send(&pgproto3.Sync{})
	f.Send(&pgproto3.Query{String: "SELECT count(*) FROM orders"})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	if got := readReplies(t, f); !slices.Equal(got, []string{"1", "2", "C", "1", "2", "E", "Z"}) {
		t.Errorf("replies to the batch: %q", got)
	}
	if got := readReplies(t, f); !slices.Equal(got, []string{"T", "0", "C", "Z"}) {
		t.Errorf("replies after the batch: %q, want a count of 0", got)
	}
}

// TestPortalSuspends checks the row limit of Execute.
func TestPortalSuspends(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	f := m.connectRaw(t)
	f.Send(&pgproto3.Parse{Query: "SELECT * FROM generate_series(1, 3)"})
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{MaxRows: 2})
	f.Send(&pgproto3.Execute{MaxRows: 2})
	f.Send(&pgproto3.Sync{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	want := []string{"1", "2", "row 1 of 3", "row 2 of 3", "s", "row 3 of 3", "C", "Z"}
	if got := readReplies(t, f); !slices.Equal(got, want) {
		t.Errorf("replies %q, want %q", got, want)
	}
}

// connectRaw opens a connection without the driver, to send single protocol messages.
func (m *testMember) connectRaw(t *testing.T) *pgproto3.Frontend {
	t.Helper()
	c, err := net.Dial("tcp", m.address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
	})
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "workshop"},
	})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	readReplies(t, f)
	return f
}

// readReplies reads messages up to ReadyForQuery. It returns the type byte of each, or the first value of
// a row.
func readReplies(t *testing.T, f *pgproto3.Frontend) []string {
	t.Helper()
	var all []string
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if r, ok := m.(*pgproto3.DataRow); ok {
			all = append(all, string(r.Values[0]))
			continue
		}
		data, _ := m.(interface{ Encode([]byte) ([]byte, error) }).Encode(nil)
		all = append(all, string(data[:1]))
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return all
		}
	}
}

// TestEvents checks that the recorder has each transaction's statements between its begin and end.
func TestEvents(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	c := m.connect(t, "application_name=desk")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO orders VALUES ('a', '1') /* tx 1 */")
	exec(t, c, "SELECT * FROM platform.position()")
	exec(t, c, "COMMIT")
	var kinds []stats.Kind
	for _, e := range m.recorder.Connections(stats.MaxEvents)[0].Events {
		kinds = append(kinds, e.Kind)
	}
	want := []stats.Kind{stats.KindBegin, stats.KindStatement, stats.KindStatement, stats.KindStatement, stats.KindCommit}
	if !slices.Equal(kinds, want) {
		t.Errorf("events %q, want %q", kinds, want)
	}
	if e := m.Member.EntriesAfter(1)[0]; e.Origin.Application != "desk" || e.Origin.Process == 0 {
		t.Errorf("origin %+v", e.Origin)
	}
}
