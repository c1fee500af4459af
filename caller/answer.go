package caller

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID is the type OID of values in the proxy's own answers. The text and binary formats of type text are the same.
const textOID = 25

// LocalAnswer is an answer to a statement that the proxy itself gives.
type LocalAnswer struct {
	// Tag is the command tag.
	Tag string

	// Column is the name of the only column. It is empty for a statement without rows.
	Column string

	// Value is the value of the column in the only row.
	Value string
}

// WriteAnswer answers each message of a batch with one statement as if the database had run the batch.
func (c *Conn) WriteAnswer(in *IncomingBatch, a LocalAnswer) {
	const headerBytes = 5
	for rest := in.Batch.Messages; len(rest) >= headerBytes; {
		c.answerMessage(rest[0], rest[headerBytes:], a)
		rest = rest[1+binary.BigEndian.Uint32(rest[1:headerBytes]):]
	}
	c.UpdatePrepared(in, len(in.changes))
}

// answerMessage answers one message of the given type.
func (c *Conn) answerMessage(messageType byte, body []byte, a LocalAnswer) {
	switch messageType {
	case 'Q':
		c.sendRowDescription(a)
		c.sendCompletion(a)
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
		c.sendRowDescription(a)
	case 'E':
		c.sendCompletion(a)
	}
}

// sendRowDescription sends the description of the answer's row, if it has one.
func (c *Conn) sendRowDescription(a LocalAnswer) {
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

// sendCompletion sends the answer's row, if it has one, and CommandComplete.
func (c *Conn) sendCompletion(a LocalAnswer) {
	if a.Column != "" {
		c.send(&pgproto3.DataRow{
			Values: [][]byte{[]byte(a.Value)},
		})
	}
	c.send(&pgproto3.CommandComplete{
		CommandTag: []byte(a.Tag),
	})
}
