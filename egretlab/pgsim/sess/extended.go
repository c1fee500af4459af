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
	// parsed is the parsed statement, or nil if the text was empty.
	parsed *query.Statement

	// types holds the type of each parameter.
	types []query.Type
}

// portal is a prepared statement with bound parameters.
type portal struct {
	// statement is the prepared statement.
	statement *statement

	// arguments has one value for each parameter of the statement.
	arguments exec.Arguments

	// formats holds the format codes of the result's columns.
	formats []int16

	// result holds the rows that are not sent yet. It is nil until the portal has run.
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
			Code:     query.CodeSyntaxError,
			Message:  "cannot insert multiple commands into a prepared statement",
			Position: len(parsed[0].Text) + 1,
		}
	}
	st := &statement{}
	if len(parsed) == 1 {
		st.parsed = &parsed[0]
		st.types = parameterTypes(parsed[0].Parameters, m.ParameterOIDs)
		if err := s.checkNotFailed(st.parsed.Node); err != nil {
			return err
		}
	}
	s.statements[m.Name] = st
	s.Backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// parameterTypes returns the types that the client specified, and the inferred types where it left them
// unspecified. Types that are unknown in both are text.
func parameterTypes(inferred []query.Type, specified []uint32) []query.Type {
	types := make([]query.Type, max(len(inferred), len(specified)))
	for i := range types {
		types[i] = query.TypeText
		if i < len(inferred) && inferred[i] != query.TypeUnknown {
			types[i] = inferred[i]
		}
		if i < len(specified) && specified[i] != 0 && query.Type(specified[i]) != query.TypeUnknown {
			types[i] = query.Type(specified[i])
		}
	}
	return types
}

func (s *Session) bind(m *pgproto3.Bind) error {
	st, found := s.statements[m.PreparedStatement]
	if !found {
		return core.Errorf(codeUnknownStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if _, found := s.portals[m.DestinationPortal]; found && m.DestinationPortal != "" {
		return core.Errorf(codePortalExists, "portal %q already exists", m.DestinationPortal)
	}
	if len(m.Parameters) != len(st.types) {
		return core.Errorf(codeProtocolViolation, "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(st.types))
	}
	p := &portal{
		statement: st,
		formats:   m.ResultFormatCodes,
	}
	for i, data := range m.Parameters {
		f, err := codec.FormatCode(m.ParameterFormatCodes, i)
		if err != nil {
			return core.Errorf(codeProtocolViolation, "%s", err)
		}
		v, err := codec.Decode(st.types[i], f, data)
		if err != nil {
			return core.Errorf(exec.CodeInvalidText, "parameter $%d: %s", i+1, err)
		}
		p.arguments.Parameters = append(p.arguments.Parameters, v)
	}
	if st.parsed != nil {
		for i := range exec.Columns(st.parsed.Node) {
			if _, err := codec.FormatCode(p.formats, i); err != nil {
				return core.Errorf(codeProtocolViolation, "%s", err)
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
			return core.Errorf(codeUnknownPortal, "portal %q does not exist", m.Name)
		}
		s.sendDescription(p.statement, p.formats)
		return nil
	}
	st, found := s.statements[m.Name]
	if !found {
		return core.Errorf(codeUnknownStatement, "prepared statement %q does not exist", m.Name)
	}
	d := &pgproto3.ParameterDescription{}
	for _, t := range st.types {
		d.ParameterOIDs = append(d.ParameterOIDs, uint32(t))
	}
	s.Backend.Send(d)
	s.sendDescription(st, nil)
	return nil
}

// sendDescription sends the row description of a statement, or NoData if it returns no rows.
func (s *Session) sendDescription(st *statement, formats []int16) {
	if st.parsed != nil {
		if columns := exec.Columns(st.parsed.Node); len(columns) > 0 {
			s.Backend.Send(rowDescription(columns, formats))
			return
		}
	}
	s.Backend.Send(&pgproto3.NoData{})
}

// execute runs a portal and sends its rows, or sends further rows of a portal that was suspended.
func (s *Session) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, found := s.portals[m.Portal]
	if !found {
		return core.Errorf(codeUnknownPortal, "portal %q does not exist", m.Portal)
	}
	if p.statement.parsed == nil {
		s.Backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		r, err := s.runStatement(ctx, *p.statement.parsed, p.arguments)
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
	s.sendComplete(p.result, count)
	return nil
}

func (s *Session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		delete(s.portals, m.Name)
	} else {
		delete(s.statements, m.Name)
	}
	s.Backend.Send(&pgproto3.CloseComplete{})
}
