package relay

import (
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

func openingTo(o egret.Opening, revision uint64) *lanepb.Opening {
	return &lanepb.Opening{
		Member:            o.Member,
		Group:             o.Group,
		Pool:              o.Pool,
		Caller:            o.Caller,
		Class:             string(o.Class),
		ReadOnly:          o.ReadOnly,
		Floor:             positionTo(o.Floor),
		FloorWaitMicros:   o.FloorWait.Microseconds(),
		MaxAgeMicros:      o.MaxAge.Microseconds(),
		ConfirmWaitMicros: o.ConfirmWait.Microseconds(),
		BudgetMicros:      o.Budget.Microseconds(),
		Revision:          revision,
	}
}

func openingFrom(o *lanepb.Opening) egret.Opening {
	return egret.Opening{
		Member:      o.Member,
		Group:       o.Group,
		Pool:        o.Pool,
		Caller:      o.Caller,
		Class:       egret.Class(o.Class),
		ReadOnly:    o.ReadOnly,
		Floor:       positionFrom(o.Floor),
		FloorWait:   micros(o.FloorWaitMicros),
		MaxAge:      micros(o.MaxAgeMicros),
		ConfirmWait: micros(o.ConfirmWaitMicros),
		Budget:      micros(o.BudgetMicros),
	}
}

func batchTo(b egret.Batch) *lanepb.Batch {
	statements := make([]*lanepb.Statement, 0, len(b.Statements))
	for _, s := range b.Statements {
		statements = append(statements, &lanepb.Statement{
			Name:  s.Name,
			Query: s.Query,
			Types: s.Types,
		})
	}
	return &lanepb.Batch{
		Messages:   b.Messages,
		Statements: statements,
	}
}

func batchFrom(b *lanepb.Batch) egret.Batch {
	statements := make([]egret.Statement, 0, len(b.Statements))
	for _, s := range b.Statements {
		statements = append(statements, egret.Statement{
			Name:  s.Name,
			Query: s.Query,
			Types: s.Types,
		})
	}
	return egret.Batch{
		Messages:   b.Messages,
		Statements: statements,
	}
}

func chunkTo(messages []byte) *lanepb.TransactReply {
	return &lanepb.TransactReply{
		Kind: &lanepb.TransactReply_Chunk{
			Chunk: &lanepb.Chunk{
				Messages: messages,
			},
		},
	}
}

func completionTo(c egret.Completion) *lanepb.TransactReply {
	return &lanepb.TransactReply{
		Kind: &lanepb.TransactReply_Completion{
			Completion: &lanepb.Completion{
				Status:   uint32(c.Status),
				Position: positionTo(c.Position),
				Load:     loadTo(c.Load),
			},
		},
	}
}

func completionFrom(c *lanepb.Completion, now time.Time) egret.Completion {
	return egret.Completion{
		Status:   egret.TxStatus(c.Status),
		Position: positionFrom(c.Position),
		Load:     loadFrom(c.Load, now),
	}
}

func failureTo(f *egret.Failure) *lanepb.TransactReply {
	return &lanepb.TransactReply{
		Kind: &lanepb.TransactReply_Failure{
			Failure: &lanepb.Failure{
				Outcome: uint32(f.Outcome),
				Reason:  uint32(f.Reason),
				Code:    f.Code,
				Message: f.Message,
			},
		},
	}
}

func failureFrom(f *lanepb.Failure) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.Outcome(f.Outcome),
		Reason:  egret.Reason(f.Reason),
		Code:    f.Code,
		Message: f.Message,
	}
}

func loadTo(l egret.Load) *lanepb.Load {
	upstream := ""
	if l.State.Upstream.IsValid() {
		upstream = l.State.Upstream.String()
	}
	return &lanepb.Load{
		State: &lanepb.MemberState{
			Member:    l.State.Member,
			Role:      string(l.State.Role),
			Granted:   l.State.Granted,
			Received:  positionTo(l.State.Received),
			Applied:   positionTo(l.State.Applied),
			Upstream:  upstream,
			AgeMicros: time.Since(l.State.Sampled).Microseconds(),
		},
		LagMicros:  lagTo(l.Lag),
		WaitMicros: l.Wait.Microseconds(),
	}
}

// loadFrom turns the sample's age into a time of this process's clock.
func loadFrom(l *lanepb.Load, now time.Time) egret.Load {
	s := l.GetState()
	// An upstream that can't be read is as good as none.
	upstream, _ := netip.ParseAddrPort(s.GetUpstream())
	return egret.Load{
		State: egret.MemberState{
			Member:   s.GetMember(),
			Role:     egret.Role(s.GetRole()),
			Granted:  s.GetGranted(),
			Received: positionFrom(s.GetReceived()),
			Applied:  positionFrom(s.GetApplied()),
			Upstream: upstream,
			Sampled:  now.Add(-micros(s.GetAgeMicros())),
		},
		Lag:  micros(l.GetLagMicros()),
		Wait: micros(l.GetWaitMicros()),
	}
}

// lagTo keeps the sign of an unknown lag, which rounding would lose.
func lagTo(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Microseconds()
}

func positionTo(p egret.Position) *lanepb.Position {
	return &lanepb.Position{
		Term:   p.Term,
		Offset: p.Offset,
	}
}

func positionFrom(p *lanepb.Position) egret.Position {
	return egret.Position{
		Term:   p.GetTerm(),
		Offset: p.GetOffset(),
	}
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
