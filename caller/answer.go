package caller

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID is the type of the proxy's own values. They read the same in text and in binary form.
const textOID = 25

// Answer is the proxy's own answer to a statement.
type Answer struct {
	// Tag is the command tag.
	Tag string

	// Column names the only column. It is empty for a statement without rows.
	Column string

	// Value is the value of the only row.
	Value string
}

// Answer answers a batch of one statement as if the database had run it.
func (c *Conn) Answer(in *Incoming, a Answer) {
	const header = 5
	for rest := in.Batch.Messages; len(rest) >= header; {
		c.answer(rest[0], rest[header:], a)
		rest = rest[1+binary.BigEndian.Uint32(rest[1:header]):]
	}
	c.Settle(in, len(in.changes))
}

// answer answers a message by its type.
func (c *Conn) answer(kind byte, body []byte, a Answer) {
	switch kind {
	case 'Q':
		c.describe(a)
		c.complete(a)
	case 'P':
		c.send(&pgproto3.ParseComplete{})
	case 'B':
		c.send(&pgproto3.BindComplete{})
	case 'C':
		c.send(&pgproto3.CloseComplete{})
	case 'D':
		if body[0] == 'S' {
			c.send(&pgproto3.ParameterDescription{})
		}
		if a.Column == "" {
			c.send(&pgproto3.NoData{})
		}
		c.describe(a)
	case 'E':
		c.complete(a)
	}
}

func (c *Conn) describe(a Answer) {
	if a.Column == "" {
		return
	}
	c.send(&pgproto3.RowDescription{
		Fields: []pgproto3.FieldDescription{{
			Name:         []byte(a.Column),
			DataTypeOID:  textOID,
			DataTypeSize: -1,
			TypeModifier: -1,
		}},
	})
}

func (c *Conn) complete(a Answer) {
	if a.Column != "" {
		c.send(&pgproto3.DataRow{
			Values: [][]byte{[]byte(a.Value)},
		})
	}
	c.send(&pgproto3.CommandComplete{
		CommandTag: []byte(a.Tag),
	})
}
