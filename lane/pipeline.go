package lane

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// headerBytes is the size of a message's type and length.
const headerBytes = 5

// pipeline has the messages that are sent to the member for one batch, and the replies that are
// expected for them.
//
// Before the caller's messages come settings of the connection, as a simple query or with a Sync at
// their end, and the check of the floor, which has no Sync: if the floor isn't reached, the member
// skips the caller's messages up to their Sync. A simple query is followed by a Sync for that
// purpose. The request for the member's state comes last.
type pipeline struct {
	// messages are sent in order.
	messages []pgproto3.FrontendMessage

	// replies are the replies that the messages will get.
	replies replyQueue

	// size is approximately the encoded size of messages in bytes.
	size int

	// opensTransaction says that a statement of the batch opens a transaction, judged by its first
	// keyword.
	opensTransaction bool

	// endsTransaction says that a statement of the batch may end a transaction, judged by its first
	// keyword.
	endsTransaction bool

	// prepared are the statements that were prepared on the connection before the batch.
	prepared *preparedStatements

	// added are the statements that the batch prepares.
	added []string

	// definitions are the batch's definitions of prepared statements.
	definitions []egret.NamedStatement
}

// rawMessage is an encoded message that is passed on unchanged.
type rawMessage []byte

// Frontend implements pgproto3.FrontendMessage.
func (rawMessage) Frontend() {}

// Decode is not supported: the message is never decoded.
func (rawMessage) Decode([]byte) error {
	return errors.NotSupportedf("decoding")
}

// Encode appends the message.
func (m rawMessage) Encode(dst []byte) ([]byte, error) {
	return append(dst, m...), nil
}

func (p *pipeline) push(m pgproto3.FrontendMessage, expected reply) {
	p.messages = append(p.messages, m)
	p.replies.add(expected)
}

// setReadOnly sets whether the connection's next transactions are read-only.
func (p *pipeline) setReadOnly(on bool) {
	query := "SET default_transaction_read_only = off"
	if on {
		query = "SET default_transaction_read_only = on"
	}
	p.push(&pgproto3.Query{
		String: query,
	}, reply{
		kind:  replyQuery,
		owner: ownerSetting,
	})
}

// closeStatements closes prepared statements that were evicted.
func (p *pipeline) closeStatements(names []string) {
	if len(names) == 0 {
		return
	}
	for _, n := range names {
		p.push(&pgproto3.Close{
			ObjectType: 'S',
			Name:       n,
		}, reply{
			kind:  replyClose,
			owner: ownerSetting,
		})
	}
	p.sync(ownerSetting)
}

// requireFloor adds the check of the floor: if the member doesn't reach it within FloorTimeout, the
// member skips all messages up to the next Sync.
func (p *pipeline) requireFloor(o egret.TransactionOptions) {
	query := fmt.Sprintf("SELECT * FROM platform.require(%d, %d, %d)", o.Floor.Term, o.Floor.Offset,
		o.FloorTimeout.Milliseconds())
	p.pushQuery(query, ownerFloor)
}

// requestState adds a request for the member's state.
func (p *pipeline) requestState() {
	p.pushQuery(member.StatusQuery, ownerStatus)
	p.sync(ownerStatus)
}

func (p *pipeline) pushQuery(query string, owner replyOwner) {
	p.push(&pgproto3.Parse{
		Query: query,
	}, reply{
		kind:  replyParse,
		owner: owner,
	})
	p.push(&pgproto3.Bind{}, reply{
		kind:  replyBind,
		owner: owner,
	})
	p.push(&pgproto3.Execute{}, reply{
		kind:  replyExecute,
		owner: owner,
	})
}

func (p *pipeline) sync(owner replyOwner) {
	p.push(&pgproto3.Sync{}, reply{
		kind:  replySync,
		owner: owner,
	})
}

// addBatch splits the batch into the caller's messages and adds them.
func (p *pipeline) addBatch(b egret.Batch) error {
	p.definitions = b.Statements
	p.size = len(b.Messages)
	rest := b.Messages
	for len(rest) > 0 {
		if len(rest) < headerBytes {
			return errors.NotValidf("message header of %d bytes", len(rest))
		}
		length := int(binary.BigEndian.Uint32(rest[1:headerBytes])) + 1
		if length < headerBytes || length > len(rest) {
			return errors.NotValidf("message of %d bytes", length)
		}
		if err := p.addMessage(rest[0], rest[:length]); err != nil {
			return errors.Trace(err)
		}
		rest = rest[length:]
	}
	return nil
}

// addMessage adds one of the caller's messages. Statements that are prepared on the connection are
// not parsed again, missing ones are parsed first, and named ones are not closed.
func (p *pipeline) addMessage(kind byte, message []byte) error {
	body := message[headerBytes:]
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
		p.push(rawMessage(message), reply{
			kind: replyExecute,
		})
	case 'S':
		p.sync(ownerCaller)
	case 'H':
		p.messages = append(p.messages, rawMessage(message))
	default:
		return errors.NotSupportedf("message type %q", kind)
	}
	return nil
}

// addQuery adds a simple query and a Sync, which ends the skipping if the floor isn't reached.
func (p *pipeline) addQuery(message []byte, body []byte) error {
	m := pgproto3.Query{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "query")
	}
	p.noteKeyword(m.String)
	p.push(rawMessage(message), reply{
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
	if m.Name != "" && p.isPrepared(m.Name) {
		p.replies.add(reply{
			kind:      replySynthetic,
			synthetic: &pgproto3.ParseComplete{},
		})
		return nil
	}
	p.push(rawMessage(message), reply{
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
	p.ensurePrepared(m.PreparedStatement)
	p.push(rawMessage(message), reply{
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
		p.ensurePrepared(m.Name)
	}
	p.push(rawMessage(message), reply{
		kind: replyDescribe,
	})
	return nil
}

// addClose adds a Close, except for named statements: they stay prepared, since other callers use
// the same name for the same text.
func (p *pipeline) addClose(message []byte, body []byte) error {
	m := pgproto3.Close{}
	if err := m.Decode(body); err != nil {
		return errors.Annotate(err, "close")
	}
	if m.ObjectType == 'S' && m.Name != "" {
		p.replies.add(reply{
			kind:      replySynthetic,
			synthetic: &pgproto3.CloseComplete{},
		})
		return nil
	}
	p.push(rawMessage(message), reply{
		kind: replyClose,
	})
	return nil
}

// ensurePrepared adds a Parse if the statement isn't prepared on the connection and the batch has
// its definition.
func (p *pipeline) ensurePrepared(name string) {
	if name == "" {
		return
	}
	for _, s := range p.definitions {
		if s.Name != name {
			continue
		}
		p.noteKeyword(s.Query)
		if p.isPrepared(name) {
			return
		}
		p.push(&pgproto3.Parse{
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

func (p *pipeline) isPrepared(name string) bool {
	for _, n := range p.added {
		if n == name {
			return true
		}
	}
	return p.prepared.has(name)
}

func (p *pipeline) noteKeyword(query string) {
	k := keyword(query)
	p.opensTransaction = p.opensTransaction || opensTransaction(k)
	p.endsTransaction = p.endsTransaction || endsTransaction(k)
}
