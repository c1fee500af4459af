package caller

import (
	"strconv"

	"egretlane.example/egret"
)

const (
	// maxPreparedBytes limits the total size of the texts of a session's prepared statements.
	maxPreparedBytes = 4 << 20

	// maxEntryBytes limits the total size of what else the prepared statements of a session take, and of the names of statements
	// that one batch defines and closes.
	maxEntryBytes = 4 << 20

	// entryBytes approximates the memory of a prepared statement without its texts.
	entryBytes = 256

	// typeBytes is the size of the object ID of a parameter type.
	typeBytes = 4
)

// preparedSize is the memory of prepared statements.
type preparedSize struct {
	// texts is the size of the statements' texts.
	texts int

	// entries is the size of the names that the caller has given to the statements, of the parameter types, and of the entries
	// themselves.
	entries int
}

// preparedSizeOf returns the size of a statement with the caller's name.
func preparedSizeOf(name string, s egret.NamedStatement) preparedSize {
	return preparedSize{
		texts:   len(s.Query),
		entries: entryBytes + len(name) + typeBytes*len(s.Types),
	}
}

func (p preparedSize) plus(q preparedSize) preparedSize {
	return preparedSize{
		texts:   p.texts + q.texts,
		entries: p.entries + q.entries,
	}
}

func (p preparedSize) minus(q preparedSize) preparedSize {
	return preparedSize{
		texts:   p.texts - q.texts,
		entries: p.entries - q.entries,
	}
}

func (p preparedSize) total() int {
	return p.texts + p.entries
}

// limitFailure returns why a session may not have prepared statements of the size, or "" if it may.
func (p preparedSize) limitFailure() string {
	switch {
	case p.texts > maxPreparedBytes:
		return "the session's prepared statements are over the limit of " + strconv.Itoa(maxPreparedBytes) + " bytes: close some"
	case p.entries > maxEntryBytes:
		return "the names and parameter types of the session's prepared statements are over the limit of " + strconv.Itoa(maxEntryBytes) + " bytes: close some"
	default:
		return ""
	}
}

// setPrepared sets the session's prepared statement with the caller's name.
func (c *Conn) setPrepared(name string, s egret.NamedStatement) {
	c.removePrepared(name)
	c.prepared[name] = s
	c.preparedSize = c.preparedSize.plus(preparedSizeOf(name, s))
}

func (c *Conn) removePrepared(name string) {
	s, found := c.prepared[name]
	if !found {
		return
	}
	c.preparedSize = c.preparedSize.minus(preparedSizeOf(name, s))
	delete(c.prepared, name)
}

// ClearPrepared removes all prepared statements of the session.
func (c *Conn) ClearPrepared() {
	clear(c.prepared)
	c.preparedSize = preparedSize{}
}

// reservePrepared reports whether the session may have the named statement in addition to its own and to what the batch has
// changed so far. If so, it takes the memory for it; otherwise it refuses the batch.
func (b *batchBuilder) reservePrepared(name string, s egret.NamedStatement) bool {
	size := preparedSizeOf(name, s)
	if text := b.conn.preparedSize.plus(b.change).plus(size).limitFailure(); text != "" {
		b.refuse(codeConfigurationLimit, text)
		return false
	}
	return b.reserve(size)
}

// reserve reports whether the batch may have a further entry, and takes the memory for it; otherwise it refuses the batch. The names
// that callers have given are not part of the messages for the lane, whose size is limited.
func (b *batchBuilder) reserve(size preparedSize) bool {
	if b.entries+size.entries > maxEntryBytes {
		b.refuse(codeConfigurationLimit, "the names of the prepared statements in the batch are over the limit of "+strconv.Itoa(maxEntryBytes)+" bytes")
		return false
	}
	if !b.conn.memory.takePrepared(size.total()) {
		b.refuse(codeOutOfMemory, "the proxy has no memory for further prepared statements at present")
		return false
	}
	b.entries += size.entries
	return true
}
