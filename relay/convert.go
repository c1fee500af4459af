package relay

import (
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

func optionsToProto(o egret.TransactionOptions, revision uint64) *lanepb.Opening {
	return &lanepb.Opening{
		Member:            o.Member,
		Group:             o.Group,
		Pool:              o.Pool,
		Caller:            o.Caller,
		Class:             string(o.Class),
		ReadOnly:          o.ReadOnly,
		Floor:             positionToProto(o.Floor),
		FloorWaitMicros:   o.FloorTimeout.Microseconds(),
		MaxAgeMicros:      o.MaxAge.Microseconds(),
		ConfirmWaitMicros: o.ConfirmTimeout.Microseconds(),
		BudgetMicros:      o.Budget.Microseconds(),
		Revision:          revision,
	}
}

func optionsFromProto(o *lanepb.Opening) egret.TransactionOptions {
	return egret.TransactionOptions{
		Member:         o.Member,
		Group:          o.Group,
		Pool:           o.Pool,
		Caller:         o.Caller,
		Class:          egret.Class(o.Class),
		ReadOnly:       o.ReadOnly,
		Floor:          positionFromProto(o.Floor),
		FloorTimeout:   fromMicros(o.FloorWaitMicros),
		MaxAge:         fromMicros(o.MaxAgeMicros),
		ConfirmTimeout: fromMicros(o.ConfirmWaitMicros),
		Budget:         fromMicros(o.BudgetMicros),
	}
}

func batchToProto(b egret.Batch) *lanepb.Batch {
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

func batchFromProto(b *lanepb.Batch) egret.Batch {
	statements := make([]egret.NamedStatement, 0, len(b.Statements))
	for _, s := range b.Statements {
		statements = append(statements, egret.NamedStatement{
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

func chunkReply(messages []byte) *lanepb.TransactReply {
	return &lanepb.TransactReply{
		Kind: &lanepb.TransactReply_Chunk{
			Chunk: &lanepb.Chunk{
				Messages: messages,
			},
		},
	}
}

func resultReply(c egret.BatchResult) *lanepb.TransactReply {
	return &lanepb.TransactReply{
		Kind: &lanepb.TransactReply_Completion{
			Completion: &lanepb.Completion{
				Status:   uint32(c.Status),
				Position: positionToProto(c.Position),
				Load:     loadToProto(c.Load),
			},
		},
	}
}

func resultFromProto(c *lanepb.Completion, now time.Time) egret.BatchResult {
	return egret.BatchResult{
		Status:   egret.TxStatus(c.Status),
		Position: positionFromProto(c.Position),
		Load:     loadFromProto(c.Load, now),
	}
}

func failureReply(f *egret.Failure) *lanepb.TransactReply {
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

func failureFromProto(f *lanepb.Failure) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.Outcome(f.Outcome),
		Reason:  egret.Reason(f.Reason),
		Code:    f.Code,
		Message: f.Message,
	}
}

func loadToProto(l egret.Load) *lanepb.Load {
	upstream := ""
	if l.State.Upstream.IsValid() {
		upstream = l.State.Upstream.String()
	}
	return &lanepb.Load{
		State: &lanepb.MemberState{
			Member:    l.State.Member,
			Role:      string(l.State.Role),
			Granted:   l.State.GrantedTerm,
			Received:  positionToProto(l.State.Received),
			Applied:   positionToProto(l.State.Applied),
			Upstream:  upstream,
			AgeMicros: time.Since(l.State.SampledAt).Microseconds(),
		},
		LagMicros:  lagMicros(l.Lag),
		WaitMicros: l.QueueWait.Microseconds(),
	}
}

// loadFromProto converts a load. It converts the age of the sample into a time of this process's clock.
func loadFromProto(l *lanepb.Load, now time.Time) egret.Load {
	s := l.GetState()
	// An invalid address counts as no upstream.
	upstream, _ := netip.ParseAddrPort(s.GetUpstream())
	return egret.Load{
		State: egret.MemberState{
			Member:      s.GetMember(),
			Role:        egret.Role(s.GetRole()),
			GrantedTerm: s.GetGranted(),
			Received:    positionFromProto(s.GetReceived()),
			Applied:     positionFromProto(s.GetApplied()),
			Upstream:    upstream,
			SampledAt:   now.Add(-fromMicros(s.GetAgeMicros())),
		},
		Lag:       fromMicros(l.GetLagMicros()),
		QueueWait: fromMicros(l.GetWaitMicros()),
	}
}

// lagMicros converts a lag to microseconds. An unknown lag, which is below zero, becomes -1: rounding could turn it
// into zero.
func lagMicros(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Microseconds()
}

func positionToProto(p egret.Position) *lanepb.Position {
	return &lanepb.Position{
		Term:   p.Term,
		Offset: p.Offset,
	}
}

func positionFromProto(p *lanepb.Position) egret.Position {
	return egret.Position{
		Term:   p.GetTerm(),
		Offset: p.GetOffset(),
	}
}

func fromMicros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
