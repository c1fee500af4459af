package repl

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/walog"
)

const (
	// startCommand is the prefix of the Query that opens a stream. A Request follows.
	startCommand = "START_REPLICATION "

	// heartbeatInterval is the interval of frames from a primary that has no entries to send.
	heartbeatInterval = 300 * time.Millisecond

	// peerTimeout limits each read and write of either side. The stream ends after it.
	peerTimeout = 1200 * time.Millisecond

	// maxFrameEntries is the maximum number of entries in a frame.
	maxFrameEntries = 256
)

// Request opens a replication stream.
type Request struct {
	// Member is the name of the replica.
	Member string `json:"member"`

	// Term is the replica's granted term. The primary must be in the same term.
	Term uint64 `json:"term"`

	// Spans are the spans of the replica's log.
	Spans []walog.Span `json:"spans"`
}

// Frame is a message from the primary.
type Frame struct {
	// Common is the offset up to which the two logs are equal. It is set in the first frame only.
	Common *uint64 `json:"common,omitempty"`

	// Entries are the next entries of the log. A heartbeat has none.
	Entries []walog.Entry `json:"entries,omitempty"`
}

// Reply is a replica's answer to a frame.
type Reply struct {
	// Received is the offset of the replica's last entry.
	Received uint64 `json:"received"`
}

func parseRequest(text string) (Request, error) {
	rest, found := strings.CutPrefix(text, startCommand)
	if !found {
		return Request{}, errors.NotValidf("replication command %q", text)
	}
	var r Request
	err := json.Unmarshal([]byte(rest), &r)
	return r, errors.Annotate(err, "replication request")
}
