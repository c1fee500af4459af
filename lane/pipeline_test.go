package lane

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
)

var update = flag.Bool("update", false, "write the golden files")

func TestPipelineGolden(t *testing.T) {
	named := batchOf(&pgproto3.Bind{
		PreparedStatement: "s1",
	}, &pgproto3.Execute{}, &pgproto3.Bind{
		PreparedStatement: "s1",
	}, &pgproto3.Execute{}, &pgproto3.Sync{})
	named.Statements = []egret.NamedStatement{{
		Name:  "s1",
		Query: "SELECT 7",
	}}
	floor := egret.Position{
		Term:   2,
		Offset: 9,
	}
	tests := []struct {
		name     string
		known    []string
		floor    egret.Position
		readOnly bool
		status   egret.TxStatus
		batch    egret.Batch
	}{
		{name: "simple", status: egret.TxIdle, batch: simple("INSERT 7")},
		{name: "simple-floor", status: egret.TxIdle, floor: floor, readOnly: true, batch: simple("SELECT 7")},
		{name: "begin", status: egret.TxIdle, batch: simple("/* kind='order' */ begin")},
		{name: "inside", status: egret.TxOpen, floor: floor, batch: simple("INSERT 7")},
		{name: "commit", status: egret.TxOpen, floor: floor, batch: simple("commit")},
		{name: "named", status: egret.TxIdle, floor: floor, batch: named},
		{name: "named-known", status: egret.TxIdle, batch: named, known: []string{"s1"}},
	}
	shown := strings.Builder{}
	for _, tt := range tests {
		tx := &transaction{
			options: egret.TransactionOptions{
				Floor:    tt.floor,
				ReadOnly: tt.readOnly,
			},
		}
		e := &exchange{
			conn:   &conn{},
			status: tt.status,
		}
		for _, n := range tt.known {
			e.conn.prepared.add(n)
		}
		if err := tx.buildPipeline(e, tt.batch); err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		fmt.Fprintf(&shown, "%s\n%s", tt.name, showMessages(t, e.pipeline.messages))
	}
	path := filepath.Join("testdata", "pipeline.golden")
	if *update {
		if err := os.WriteFile(path, []byte(shown.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if shown.String() != string(want) {
		t.Errorf("pipelines differ from %s:\n%s", path, shown.String())
	}
}

func showMessages(t *testing.T, messages []pgproto3.FrontendMessage) string {
	encoded := []byte{}
	for _, m := range messages {
		var err error
		encoded, err = m.Encode(encoded)
		if err != nil {
			t.Fatal(err)
		}
	}
	shown := strings.Builder{}
	b := pgproto3.NewBackend(strings.NewReader(string(encoded)), nil)
	for range messages {
		m, err := b.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			fmt.Fprintf(&shown, "  Query %s\n", m.String)
		case *pgproto3.Parse:
			fmt.Fprintf(&shown, "  Parse %q %s\n", m.Name, m.Query)
		case *pgproto3.Bind:
			fmt.Fprintf(&shown, "  Bind %q\n", m.PreparedStatement)
		default:
			fmt.Fprintf(&shown, "  %s\n", strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
	return shown.String()
}
