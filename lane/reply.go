package lane

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// replyOwner says for whom or for what purpose the message was sent that a reply answers.
type replyOwner int

const (
	// ownerCaller: the reply goes to the caller.
	ownerCaller replyOwner = iota

	// ownerSetting: the reply answers a message that prepares the connection.
	ownerSetting

	// ownerFloor: the reply answers the check of the floor.
	ownerFloor

	// ownerStatement: the reply answers a Parse that the lane added for a statement that the
	// caller's messages use. Its errors go to the caller.
	ownerStatement

	// ownerStatus: the reply answers the request for the member's state.
	ownerStatus
)

// replyKind is the kind of a reply. It determines which messages end it.
type replyKind int

const (
	// replyParse ends with ParseComplete.
	replyParse replyKind = iota

	// replyBind ends with BindComplete.
	replyBind

	// replyClose ends with CloseComplete.
	replyClose

	// replyDescribe ends with RowDescription or NoData.
	replyDescribe

	// replyExecute ends with CommandComplete, EmptyQueryResponse or PortalSuspended.
	replyExecute

	// replyQuery ends with ReadyForQuery, errors included.
	replyQuery

	// replySync ends with ReadyForQuery. After an error the member skips all messages up to the
	// next Sync.
	replySync

	// replySynthetic is made by the lane; the member sends none.
	replySynthetic
)

// reply is the reply that is expected for one message.
type reply struct {
	kind  replyKind
	owner replyOwner

	// name is the statement that is prepared once a replyParse has ended, or "".
	name string

	// synthetic is the message of a replySynthetic.
	synthetic pgproto3.BackendMessage
}

// replyQueue is the queue of expected replies, in the order in which they arrive.
type replyQueue struct {
	queue []reply
}

func (r *replyQueue) add(expected reply) {
	r.queue = append(r.queue, expected)
}

func (r *replyQueue) isEmpty() bool {
	return len(r.queue) == 0
}

func (r *replyQueue) front() reply {
	return r.queue[0]
}

func (r *replyQueue) pop() {
	r.queue = r.queue[1:]
}

// skipToSync removes the replies to messages that the member skips after an error: all up to the
// next Sync. An error inside a simple query skips no messages, since the query has a ReadyForQuery
// of its own.
func (r *replyQueue) skipToSync() {
	if r.queue[0].kind == replyQuery {
		return
	}
	i := slices.IndexFunc(r.queue, func(x reply) bool {
		return x.kind == replySync
	})
	r.queue = r.queue[max(i, 0):]
}

// accepts reports whether the message may be part of a reply of this kind, and whether it ends the
// reply.
func (k replyKind) accepts(m pgproto3.BackendMessage) (accepted bool, ends bool) {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return k == replyParse, true
	case *pgproto3.BindComplete:
		return k == replyBind, true
	case *pgproto3.CloseComplete:
		return k == replyClose, true
	case *pgproto3.ParameterDescription:
		return k == replyDescribe, false
	case *pgproto3.NoData:
		return k == replyDescribe, true
	case *pgproto3.RowDescription:
		return k == replyDescribe || k == replyQuery, k == replyDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return k == replyExecute || k == replyQuery, k == replyExecute
	case *pgproto3.PortalSuspended:
		return k == replyExecute, true
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return k == replyExecute || k == replyQuery, false
	case *pgproto3.ReadyForQuery:
		return k == replySync || k == replyQuery, true
	default:
		return false, false
	}
}
