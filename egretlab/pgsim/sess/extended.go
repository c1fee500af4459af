package sess

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/exec"
	"egretlane.example/egret/egretlab/pgsim/parse"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// statement is a prepared statement.
type statement struct {
	// parsed is the statement, or nil if the text was empty.
	parsed *query.Statement

	// types holds the type of each parameter.
	types []query.Type
}

// portal is a statement with its parameters.
type portal struct {
	// statement is what the portal runs.
	statement *statement

	// arguments has a value for each type of the statement.
	arguments exec.Arguments

	// formats are the formats of the result's columns.
	formats []int16

	// result is the rest of the rows, once the portal has run.
	result *exec.Result
}

func (s *Session) parse(m *pgproto3.Parse) error {
	if _, found := s.statements[m.Name]; found && m.Name != "" {
		return core.Errorf(codeStatementExists, "prepared statement %q already exists", m.Name)
	}
	parsed, err := parse.Statements(m.Query)
	if err != nil {
		return err
	}
	if len(parsed) > 1 {
		return &query.Error{
			Code:     query.CodeSyntax,
			Message:  "cannot insert multiple commands into a prepared statement",
			Position: len(parsed[0].Text) + 1,
		}
	}
	st := &statement{}
	if len(parsed) == 1 {
		st.parsed = &parsed[0]
		st.types = parameterTypes(parsed[0].Parameters, m.ParameterOIDs)
		if err := s.allowed(st.parsed.Node); err != nil {
			return err
		}
	}
	s.statements[m.Name] = st
	s.Backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// parameterTypes returns the types that the client asked for, and the inferred ones where it left
// them open.
func parameterTypes(inferred []query.Type, asked []uint32) []query.Type {
	types := make([]query.Type, max(len(inferred), len(asked)))
	for i := range types {
		types[i] = query.TypeText
		if i < len(inferred) && inferred[i] != query.TypeUnknown {
			types[i] = inferred[i]
		}
		if i < len(asked) && asked[i] != 0 && query.Type(asked[i]) != query.TypeUnknown {
			types[i] = query.Type(asked[i])
		}
	}
	return types
}

func (s *Session) bind(m *pgproto3.Bind) error {
	st, found := s.statements[m.PreparedStatement]
	if !found {
		return core.Errorf(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if _, found := s.portals[m.DestinationPortal]; found && m.DestinationPortal != "" {
		return core.Errorf(codeCursorExists, "portal %q already exists", m.DestinationPortal)
	}
	if len(m.Parameters) != len(st.types) {
		return core.Errorf(codeProtocol, "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(st.types))
	}
	p := &portal{
		statement: st,
		formats:   m.ResultFormatCodes,
	}
	for i, data := range m.Parameters {
		f, err := codec.Format(m.ParameterFormatCodes, i)
		if err != nil {
			return core.Errorf(codeProtocol, "%s", err)
		}
		v, err := codec.Decode(st.types[i], f, data)
		if err != nil {
			return core.Errorf(exec.CodeBadText, "parameter $%d: %s", i+1, err)
		}
		p.arguments.Parameters = append(p.arguments.Parameters, v)
	}
	if st.parsed != nil {
		for i := range exec.Columns(st.parsed.Node) {
			if _, err := codec.Format(p.formats, i); err != nil {
				return core.Errorf(codeProtocol, "%s", err)
			}
		}
	}
	s.portals[m.DestinationPortal] = p
	s.Backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *Session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, found := s.portals[m.Name]
		if !found {
			return core.Errorf(codeNoPortal, "portal %q does not exist", m.Name)
		}
		s.sendColumns(p.statement, p.formats)
		return nil
	}
	st, found := s.statements[m.Name]
	if !found {
		return core.Errorf(codeNoStatement, "prepared statement %q does not exist", m.Name)
	}
	d := &pgproto3.ParameterDescription{}
	for _, t := range st.types {
		d.ParameterOIDs = append(d.ParameterOIDs, uint32(t))
	}
	s.Backend.Send(d)
	s.sendColumns(st, nil)
	return nil
}

func (s *Session) sendColumns(st *statement, formats []int16) {
	if st.parsed != nil {
		if columns := exec.Columns(st.parsed.Node); len(columns) > 0 {
			s.Backend.Send(describeRows(columns, formats))
			return
		}
	}
	s.Backend.Send(&pgproto3.NoData{})
}

// execute runs a portal, or goes on with its rows.
func (s *Session) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, found := s.portals[m.Portal]
	if !found {
		return core.Errorf(codeNoPortal, "portal %q does not exist", m.Portal)
	}
	if p.statement.parsed == nil {
		s.Backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		r, err := s.run(ctx, *p.statement.parsed, p.arguments)
		if err != nil {
			return err
		}
		p.result = r
	}
	count, atEnd, err := s.sendRows(ctx, p.result, p.formats, int(m.MaxRows))
	if err != nil {
		return err
	}
	if !atEnd {
		s.Backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.complete(p.result, count)
	return nil
}

func (s *Session) close(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		delete(s.portals, m.Name)
	} else {
		delete(s.statements, m.Name)
	}
	s.Backend.Send(&pgproto3.CloseComplete{})
}
