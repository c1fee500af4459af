package front

import (
	"sync/atomic"
	"testing"

	"egretlane.example/egret"
)

// TestOwnCommitIsKnownAfterRouteReturns guards against stale reads of a session whose route leads to another service and back:
// each read has to carry the session's newest commit on the service that it runs on, and no commit of another service.
func TestOwnCommitIsKnownAfterRouteReturns(t *testing.T) {
	tablesOf := func(service string) *egret.Tables {
		tables := testTables()
		tables.Routes[0].Pool = service
		return tables
	}
	current := &atomic.Pointer[egret.Tables]{}
	offsets := map[string]uint64{
		"a": 100,
		"b": 7,
	}
	stream := &fakeStream{
		do: func(w egret.StatementRequest) egret.Answer {
			if w.Writes {
				offsets[w.Service]++
			}
			return egret.Answer{
				Signature: "s",
				Term:      3,
				Position: egret.Position{
					Term:   3,
					Offset: offsets[w.Service],
				},
			}
		},
	}
	s := newTestServer(stream)
	s.Tables = current.Load
	c := newFakeConn("orders")
	current.Store(tablesOf("a"))
	serveOne(t, s, c)
	for i, step := range []struct {
		service string
		verb    egret.Verb

		// wantOffset is the offset of the commit that the statement carries, or zero for none.
		wantOffset uint64
	}{
		{service: "a", verb: egret.VerbWrite},
		{service: "a", verb: egret.VerbRead, wantOffset: 101},
		{service: "b", verb: egret.VerbRead},
		{service: "a", verb: egret.VerbRead, wantOffset: 101},
		{service: "b", verb: egret.VerbWrite},
		{service: "a", verb: egret.VerbWrite, wantOffset: 101},
		{service: "b", verb: egret.VerbRead, wantOffset: 8},
		{service: "a", verb: egret.VerbRead, wantOffset: 102},
	} {
		current.Store(tablesOf(step.service))
		c.queries <- egret.Query{
			ID:   "1",
			Verb: step.verb,
			Text: "text",
		}
		<-c.answers
		w := stream.received()[i]
		if w.Service != step.service || w.LastCommit.Offset != step.wantOffset || (w.LastCommitTerm == 3) != (step.wantOffset > 0) {
			t.Errorf("statement %d on %s carries commit %v of term %d, want service %s and offset %d", i, w.Service, w.LastCommit, w.LastCommitTerm, step.service, step.wantOffset)
		}
	}
}
