package link

import (
	"context"
	"strings"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/alloc"
	"egretlane.example/egret/budget"
)

// TestDefinitionsOfPreparedStatementsTakeMemory guards against a holder that runs out of memory by short statements which execute
// long prepared ones: each carries the definition, which is not part of its text.
func TestDefinitionsOfPreparedStatementsTakeMemory(t *testing.T) {
	const total = 1 << 20
	host := &fakeHost{
		do: func(egret.StatementRequest) egret.Answer {
			return egret.Answer{
				Signature: "s",
			}
		},
	}
	a, _ := serve(t, &Server{
		Host: host,
		Memory: &alloc.Allocator{
			Budget: budget.Budget{
				Total: total,
			},
		},
	})
	p := newPool(t)
	for _, c := range []struct {
		size int
		want egret.FaultKind
	}{
		{
			size: total / workCost / 2,
			want: egret.FaultNone,
		},
		{
			size: total,
			want: egret.FaultBusy,
		},
	} {
		s := p.Stream(a, false)
		got := s.Do(context.Background(), egret.StatementRequest{
			Query: egret.Query{
				ID:   "1",
				Verb: egret.VerbExecute,
				Name: "s1",
				Text: "EXECUTE s1 a",
			},
			Prepared: egret.PreparedStatement{
				Text: strings.Repeat("q", c.size),
			},
			Timeout: 5 * time.Second,
		})
		s.Close()
		if got.Fault.Kind != c.want {
			t.Errorf("definition of %d bytes with %d bytes of memory: %v, want %v", c.size, total, got.Fault, c.want)
		}
	}
}
