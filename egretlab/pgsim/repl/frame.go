package repl

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/walog"
)

const (
	// command opens a stream.
	command = "START_REPLICATION "

	// heartbeat is how often an idle primary sends a frame.
	heartbeat = 300 * time.Millisecond

	// silence is how long either side waits for the other before it gives the stream up.
	silence = 1200 * time.Millisecond

	// maxEntries is how many entries a frame holds.
	maxEntries = 256
)

// Request opens a stream.
type Request struct {
	// Member names the replica.
	Member string `json:"member"`

	// Term is the term that the replica follows in. The primary's must be the same.
	Term uint64 `json:"term"`

	// Spans are those of the replica's log.
	Spans []walog.Span `json:"spans"`
}

// Frame is a message from the primary.
type Frame struct {
	// Common is the offset up to which the two logs are equal. It is set in the first frame.
	Common *uint64 `json:"common,omitempty"`

	// Entries continue the log. They may be empty.
	Entries []walog.Entry `json:"entries,omitempty"`
}

// Reply is a replica's answer to a frame.
type Reply struct {
	// Received is the offset of the replica's last entry.
	Received uint64 `json:"received"`
}

func parseRequest(text string) (Request, error) {
	rest, found := strings.CutPrefix(text, command)
	if !found {
		return Request{}, errors.NotValidf("replication command %q", text)
	}
	var r Request
	err := json.Unmarshal([]byte(rest), &r)
	return r, errors.Annotate(err, "replication request")
}
