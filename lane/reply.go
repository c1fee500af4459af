package lane

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// owner says whose message a reply answers.
type owner int

const (
	// ownerCaller: the reply goes to the caller.
	ownerCaller owner = iota

	// ownerSetting: the reply answers what prepares the connection.
	ownerSetting

	// ownerFloor: the reply answers the check of the floor.
	ownerFloor

	// ownerStatement: the reply answers the definition of a statement that the caller's messages
	// use. Its errors go to the caller.
	ownerStatement

	// ownerStatus: the reply answers the question for the member's state.
	ownerStatus
)

// replyKind says by which messages a reply ends.
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

	// replySync ends with ReadyForQuery. An error before it skips all up to here.
	replySync

	// replyMade comes from the lane and not from the member.
	replyMade
)

// reply is what is expected for one message.
type reply struct {
	kind  replyKind
	owner owner

	// name is the statement that the connection has once a replyParse ended, or "".
	name string

	// made is the message of a replyMade.
	made pgproto3.BackendMessage
}

// replies are the expected replies in the order in which they come.
type replies struct {
	queue []reply
}

func (r *replies) add(x reply) {
	r.queue = append(r.queue, x)
}

func (r *replies) done() bool {
	return len(r.queue) == 0
}

func (r *replies) front() reply {
	return r.queue[0]
}

func (r *replies) pop() {
	r.queue = r.queue[1:]
}

// skip drops what the member skips after an error: all up to the next Sync. An error inside a
// simple query skips nothing, since the query has a ReadyForQuery of its own.
func (r *replies) skip() {
	if r.queue[0].kind == replyQuery {
		return
	}
	i := slices.IndexFunc(r.queue, func(x reply) bool {
		return x.kind == replySync
	})
	r.queue = r.queue[max(i, 0):]
}

// accepts reports whether the message may come in a reply of the kind, and whether it ends it.
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
