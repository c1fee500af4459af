package link

import (
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/quota"
)

func positionToWire(p egret.Position) *linkpb.Position {
	if p.IsZero() {
		return nil
	}
	return &linkpb.Position{
		Term:   p.Term,
		Offset: p.Offset,
	}
}

func positionFromWire(p *linkpb.Position) egret.Position {
	return egret.Position{
		Term:   p.GetTerm(),
		Offset: p.GetOffset(),
	}
}

func requestToWire(w *egret.StatementRequest) *linkpb.Work {
	m := &linkpb.Work{
		Service:        w.Service,
		Route:          w.Route,
		Id:             w.Query.ID,
		Verb:           int32(w.Query.Verb),
		Text:           w.Query.Text,
		Name:           w.Query.Name,
		Argument:       w.Query.Argument,
		Writes:         w.Writes,
		Shape:          w.Prepared.Text,
		ShapeWrites:    w.Prepared.Writes,
		Begin:          int32(w.Begin),
		InTransaction:  w.InTransaction,
		Kind:           int32(w.Consistency),
		MaxStalenessNs: int64(w.MaxStaleness),
		Own:            positionToWire(w.LastCommit),
		OwnTerm:        w.LastCommitTerm,
		TimeoutNs:      int64(w.Timeout),
		TargetNs:       int64(w.LatencyTarget),
		Priority:       int32(w.Priority),
		IdleNs:         int64(w.IdleTimeout),
		Workspace:      w.Workspace,
		Metered:        w.Metered,
		Domain:         w.Domain,
	}
	for _, v := range w.Values {
		m.Values = append(m.Values, &linkpb.Value{
			Name:  v.Name,
			Value: v.Value,
		})
	}
	return m
}

func requestFromWire(m *linkpb.Work) egret.StatementRequest {
	w := egret.StatementRequest{
		Service: m.GetService(),
		Route:   m.GetRoute(),
		Query: egret.Query{
			ID:       m.GetId(),
			Verb:     egret.Verb(m.GetVerb()),
			Text:     m.GetText(),
			Name:     m.GetName(),
			Argument: m.GetArgument(),
		},
		Writes: m.GetWrites(),
		Prepared: egret.PreparedStatement{
			Text:   m.GetShape(),
			Writes: m.GetShapeWrites(),
		},
		Begin:          egret.Verb(m.GetBegin()),
		InTransaction:  m.GetInTransaction(),
		Consistency:    egret.Consistency(m.GetKind()),
		MaxStaleness:   time.Duration(m.GetMaxStalenessNs()),
		LastCommit:     positionFromWire(m.GetOwn()),
		LastCommitTerm: m.GetOwnTerm(),
		Timeout:        time.Duration(m.GetTimeoutNs()),
		LatencyTarget:  time.Duration(m.GetTargetNs()),
		Priority:       int(m.GetPriority()),
		IdleTimeout:    time.Duration(m.GetIdleNs()),
		Workspace:      m.GetWorkspace(),
		Metered:        m.GetMetered(),
		Domain:         m.GetDomain(),
	}
	for _, v := range m.GetValues() {
		w.Values = append(w.Values, egret.SessionValue{
			Name:  v.GetName(),
			Value: v.GetValue(),
		})
	}
	return w
}

func answerToWire(a *egret.Answer) *linkpb.Answer {
	return &linkpb.Answer{
		Rows:      a.Rows,
		Signature: a.Signature,
		Fault:     int32(a.Fault.Kind),
		FaultText: a.Fault.Text,
		Status:    int32(a.Status),
		Position:  positionToWire(a.Position),
		Term:      a.Term,
		Member:    a.Member,
	}
}

func answerFromWire(m *linkpb.Answer) egret.Answer {
	return egret.Answer{
		Rows:      m.GetRows(),
		Signature: m.GetSignature(),
		Fault: egret.Fault{
			Kind: egret.FaultKind(m.GetFault()),
			Text: m.GetFaultText(),
		},
		Status:   egret.TxStatus(m.GetStatus()),
		Position: positionFromWire(m.GetPosition()),
		Term:     m.GetTerm(),
		Member:   m.GetMember(),
	}
}

func revisionFromWire(era, number uint64) egret.Revision {
	return egret.Revision{
		Era:    era,
		Number: number,
	}
}

func amountsToWire(amounts []quota.Amount) []*linkpb.Tokens {
	tokens := make([]*linkpb.Tokens, 0, len(amounts))
	for _, a := range amounts {
		tokens = append(tokens, &linkpb.Tokens{
			Workspace: a.Workspace,
			Amount:    a.Tokens,
		})
	}
	return tokens
}

func amountsFromWire(tokens []*linkpb.Tokens) []quota.Amount {
	amounts := make([]quota.Amount, 0, len(tokens))
	for _, t := range tokens {
		amounts = append(amounts, quota.Amount{
			Workspace: t.GetWorkspace(),
			Tokens:    t.GetAmount(),
		})
	}
	return amounts
}
