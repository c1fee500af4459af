package lane

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// header is the length of a message's type and size.
const header = 5

// pipeline is what goes to the member for one batch, and the replies expected for it.
//
// Ahead of the caller's messages come settings of the connection, closed by a Sync, and the check of
// the floor, which has none: an unmet floor makes the member skip the caller's messages up to their
// Sync. A simple query gets a Sync of its own for that. Behind them comes the question for the
// member's state.
type pipeline struct {
	// messages are sent in order.
	messages []pgproto3.FrontendMessage

	// replies are what the messages get.
	replies replies

	// size is about the encoded size of messages in bytes.
	size int

	// opens says that a statement of the batch opens a transaction by its first keyword.
	opens bool

	// ends says that a statement of the batch may end a transaction by its first keyword.
	ends bool

	// names are the connection's statements before the batch.
	names *names

	// added are the statements that the batch adds.
	added []string

	// statements are the batch's definitions.
	statements []egret.Statement
}

// encoded is a message that is passed on as it came.
type encoded []byte

// Frontend marks the message as one for a member.
func (encoded) Frontend() {}

// Decode is not used: the message stays as it came.
func (encoded) Decode([]byte) error {
	return errors.NotSupportedf("decoding")
}

// Encode appends the message.
func (e encoded) Encode(dst []byte) ([]byte, error) {
	return append(dst, e...), nil
}

func (p *pipeline) send(m pgproto3.FrontendMessage, r reply) {
	p.messages = append(p.messages, m)
	p.replies.add(r)
}

// setReadOnly makes the connection's next transactions refuse writes, or no longer.
func (p *pipeline) setReadOnly(on bool) {
	query := "SET default_transaction_read_only = off"
	if on {
		query = "SET default_transaction_read_only = on"
	}
	p.send(&pgproto3.Query{
		String: query,
	}, reply{
		kind:  replyQuery,
		owner: ownerSetting,
	})
}

// closeNames closes prepared statements.
func (p *pipeline) closeNames(names []string) {
	if len(names) == 0 {
		return
	}
	for _, n := range names {
		p.send(&pgproto3.Close{
			ObjectType: 'S',
			Name:       n,
		}, reply{
			kind:  replyClose,
			owner: ownerSetting,
		})
	}
	p.sync(ownerSetting)
}

// requireFloor makes the member skip what follows, up to the next Sync, if it doesn't reach the floor.
func (p *pipeline) requireFloor(o egret.Opening) {
	query := fmt.Sprintf("SELECT * FROM platform.require(%d, %d, %d)", o.Floor.Term, o.Floor.Offset,
		o.FloorWait.Milliseconds())
	p.ask(query, ownerFloor)
}

// askStatus asks for the member's state.
func (p *pipeline) askStatus() {
	p.ask(member.StatusQuery, ownerStatus)
	p.sync(ownerStatus)
}

func (p *pipeline) ask(query string, o owner) {
	p.send(&pgproto3.Parse{
		Query: query,
	}, reply{
		kind:  replyParse,
		owner: o,
	})
	p.send(&pgproto3.Bind{}, reply{
		kind:  replyBind,
		owner: o,
	})
	p.send(&pgproto3.Execute{}, reply{
		kind:  replyExecute,
		owner: o,
	})
}

func (p *pipeline) sync(o owner) {
	p.send(&pgproto3.Sync{}, reply{
		kind:  replySync,
		owner: o,
	})
}

// addBatch adds the caller's messages.
func (p *pipeline) addBatch(b egret.Batch) error {
	p.statements = b.Statements
	p.size = len(b.Messages)
	rest := b.Messages
	for len(rest) > 0 {
		if len(rest) < header {
			return errors.NotValidf("message header of %d bytes", len(rest))
		}
		length := int(binary.BigEndian.Uint32(rest[1:header])) + 1
		if length < header || length > len(rest) {
			return errors.NotValidf("message of %d bytes", length)
		}
		if err := p.addMessage(rest[0], rest[:length]); err != nil {
			return errors.Trace(err)
		}
		rest = rest[length:]
	}
	return nil
}

// addMessage adds one of the caller's messages. Statements that the connection has are not parsed
// again, those that it lacks are parsed first, and none is closed.
func (p *pipeline) addMessage(kind byte, message []byte) error {
	body := message[header:]
	switch kind {
	case 'Q':
		return p.addQuery(message, body)
	case 'P':
		return p.addParse(message, body)
	case 'B':
		return p.addBind(message, body)
	case 'D':
		return p.addDescribe(message, body)
	case 'C':
		return p.addClose(message, body)
	case 'E':
		p.send(encoded(message), reply{
			kind: replyExecute,
		})
	case 'S':
		p.sync(ownerCaller)
	case 'H':
		p.messages = append(p.messages, encoded(message))
	default:
		return errors.NotSupportedf("message type %q", kind)
	}
	return nil
}

// addQuery adds a Sync behind the query: it ends the skipping if the floor isn't met.
func (p *pipeline) addQuery(message []byte, body []byte) error {
	m := pgproto3.Query{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "query")
	}
	p.noteKeyword(m.String)
	p.send(encoded(message), reply{
		kind: replyQuery,
	})
	p.sync(ownerSetting)
	return nil
}

func (p *pipeline) addParse(message []byte, body []byte) error {
	m := pgproto3.Parse{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "parse")
	}
	p.noteKeyword(m.Query)
	if m.Name != "" && p.has(m.Name) {
		p.replies.add(reply{
			kind: replyMade,
			made: &pgproto3.ParseComplete{},
		})
		return nil
	}
	p.send(encoded(message), reply{
		kind: replyParse,
		name: m.Name,
	})
	p.added = append(p.added, m.Name)
	return nil
}

func (p *pipeline) addBind(message []byte, body []byte) error {
	m := pgproto3.Bind{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "bind")
	}
	p.define(m.PreparedStatement)
	p.send(encoded(message), reply{
		kind: replyBind,
	})
	return nil
}

func (p *pipeline) addDescribe(message []byte, body []byte) error {
	m := pgproto3.Describe{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "describe")
	}
	if m.ObjectType == 'S' {
		p.define(m.Name)
	}
	p.send(encoded(message), reply{
		kind: replyDescribe,
	})
	return nil
}

// addClose keeps named statements, since other callers use the same name for the same text.
func (p *pipeline) addClose(message []byte, body []byte) error {
	m := pgproto3.Close{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "close")
	}
	if m.ObjectType == 'S' && m.Name != "" {
		p.replies.add(reply{
			kind: replyMade,
			made: &pgproto3.CloseComplete{},
		})
		return nil
	}
	p.send(encoded(message), reply{
		kind: replyClose,
	})
	return nil
}

// define makes sure that the connection has the statement, as far as the batch defines it.
func (p *pipeline) define(name string) {
	if name == "" {
		return
	}
	for _, s := range p.statements {
		if s.Name != name {
			continue
		}
		p.noteKeyword(s.Query)
		if p.has(name) {
			return
		}
		p.send(&pgproto3.Parse{
			Name:          name,
			Query:         s.Query,
			ParameterOIDs: s.Types,
		}, reply{
			kind:  replyParse,
			owner: ownerStatement,
			name:  name,
		})
		p.size += len(s.Query)
		p.added = append(p.added, name)
		return
	}
}

func (p *pipeline) has(name string) bool {
	for _, n := range p.added {
		if n == name {
			return true
		}
	}
	return p.names.has(name)
}

func (p *pipeline) noteKeyword(query string) {
	k := keyword(query)
	p.opens = p.opens || opensTransaction(k)
	p.ends = p.ends || endsTransaction(k)
}
