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

// runQuery runs the statements of a Query message. Statements outside an explicit transaction share one
// implicit transaction.
func (s *Session) runQuery(ctx context.Context, text string) error {
	statements, err := parse.Statements(text)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		s.Backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		if err := s.runQueryStatement(ctx, st, i == len(statements)-1); err != nil {
			return err
		}
	}
	return s.commitImplicit()
}

// runQueryStatement runs one statement of a Query message. Completion of the last one is sent only after
// its implicit transaction is committed.
func (s *Session) runQueryStatement(ctx context.Context, st query.Statement, last bool) error {
	r, err := s.runStatement(ctx, st, exec.Arguments{})
	if err != nil {
		return err
	}
	if len(r.Columns) > 0 {
		s.Backend.Send(rowDescription(r.Columns, nil))
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
	s.sendComplete(r, count)
	return nil
}

// sendRows sends up to limit rows, or all if limit is zero. It returns the number of rows sent and whether
// the result has no more rows.
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
		if size < flushBytes {
			continue
		}
		size = 0
		if err := s.flush(ctx); err != nil {
			return count, false, err
		}
	}
	return count, false, nil
}

func (s *Session) sendComplete(r *exec.Result, count int) {
	s.Backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(r.Tag(count)),
	})
}

func encodeRow(columns []codec.Column, formats []int16, row []codec.Value) (*pgproto3.DataRow, error) {
	data := &pgproto3.DataRow{}
	for i, v := range row {
		f, err := codec.FormatCode(formats, i)
		if err != nil {
			return nil, core.Errorf(codeProtocolViolation, "%s", err)
		}
		cell, err := codec.Encode(columns[i].Type, f, v)
		if err != nil {
			return nil, core.Errorf(codeInternal, "column %s: %s", columns[i].Name, err)
		}
		data.Values = append(data.Values, cell)
	}
	return data, nil
}

// rowDescription describes the columns. The formats must be valid; bind checks them.
func rowDescription(columns []codec.Column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		f, _ := codec.FormatCode(formats, i)
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  uint32(c.Type),
			DataTypeSize: codec.TypeSize(c.Type),
			TypeModifier: -1,
			Format:       f,
		})
	}
	return d
}
