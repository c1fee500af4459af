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

// simple runs the statements of a Query message. Those outside an explicit transaction share an
// implicit one.
func (s *Session) simple(ctx context.Context, text string) error {
	statements, err := parse.Statements(text)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		s.Backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		if err := s.simpleStatement(ctx, st, i == len(statements)-1); err != nil {
			return err
		}
	}
	return s.commitImplicit()
}

// simpleStatement runs one statement. The last one is complete only when its implicit transaction
// is committed.
func (s *Session) simpleStatement(ctx context.Context, st query.Statement, last bool) error {
	r, err := s.run(ctx, st, exec.Arguments{})
	if err != nil {
		return err
	}
	if len(r.Columns) > 0 {
		s.Backend.Send(describeRows(r.Columns, nil))
	}
	count, _, err := s.sendRows(ctx, r, nil, 0)
	if err != nil {
		return err
	}
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	s.complete(r, count)
	return nil
}

// sendRows sends up to limit rows, or all if limit is zero. It returns how many, and whether the
// result is at its end.
func (s *Session) sendRows(ctx context.Context, r *exec.Result, formats []int16, limit int) (int, bool, error) {
	count := 0
	size := 0
	for limit == 0 || count < limit {
		row, more := r.Rows.Next()
		if !more {
			return count, true, nil
		}
		data, err := encodeRow(r.Columns, formats, row)
		if err != nil {
			return count, false, err
		}
		s.Backend.Send(data)
		count++
		for _, v := range data.Values {
			size += len(v)
		}
		if size < flushSize {
			continue
		}
		size = 0
		if err := s.flush(ctx); err != nil {
			return count, false, err
		}
	}
	return count, false, nil
}

func (s *Session) complete(r *exec.Result, count int) {
	s.Backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(r.Tag(count)),
	})
}

func encodeRow(columns []codec.Column, formats []int16, row []codec.Value) (*pgproto3.DataRow, error) {
	data := &pgproto3.DataRow{}
	for i, v := range row {
		f, err := codec.Format(formats, i)
		if err != nil {
			return nil, core.Errorf(codeProtocol, "%s", err)
		}
		cell, err := codec.Encode(columns[i].Type, f, v)
		if err != nil {
			return nil, core.Errorf(codeInternal, "column %s: %s", columns[i].Name, err)
		}
		data.Values = append(data.Values, cell)
	}
	return data, nil
}

// describeRows returns the description of columns. The formats were checked when they were bound.
func describeRows(columns []codec.Column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		f, _ := codec.Format(formats, i)
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  uint32(c.Type),
			DataTypeSize: codec.Size(c.Type),
			TypeModifier: -1,
			Format:       f,
		})
	}
	return d
}
