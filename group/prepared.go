package group

import (
	"crypto/sha256"
	"strconv"

	"egretlane.example/egret"
)

// maxPreparedStatements is how many prepared statements a connection keeps before it is reset, or, within a transaction, before all
// of them are closed.
const maxPreparedStatements = 64

// definitionKey identifies the definition of a prepared statement. Callers choose the definitions and share the connections, so the
// digest has to be collision-resistant. The text itself isn't kept, as it may be as long as a message.
type definitionKey struct {
	text   [sha256.Size]byte
	writes bool
}

// chunkBytes is the size of the parts of a definition that are copied to compute its digest. A copy of the whole could take as much
// memory as a message.
const chunkBytes = 4 << 10

func keyOf(p egret.PreparedStatement) definitionKey {
	k := definitionKey{
		writes: p.Writes,
	}
	if len(p.Text) <= chunkBytes {
		k.text = sha256.Sum256([]byte(p.Text))
		return k
	}
	h := sha256.New()
	chunk := make([]byte, chunkBytes)
	for rest := p.Text; rest != ""; {
		n := copy(chunk, rest)
		// A hash never returns an error.
		_, _ = h.Write(chunk[:n])
		rest = rest[n:]
	}
	h.Sum(k.text[:0])
	return k
}

// preparedStatements are the statements that are prepared on a connection to a member. Callers that have prepared the same
// definition share the statement. The names that callers have given to it are not used on the connection.
//
// The zero preparedStatements is empty and ready to use.
type preparedStatements struct {
	// names has the name of each statement.
	names map[definitionKey]string

	// named is the number of names that were given on the connection. No name is given again, also after a reset.
	named uint64
}

// name returns the name of the statement. It is empty if the statement isn't prepared.
func (s *preparedStatements) name(k definitionKey) string {
	return s.names[k]
}

// add returns the name under which the statement has to be prepared.
func (s *preparedStatements) add(k definitionKey) string {
	if s.names == nil {
		s.names = map[definitionKey]string{}
	}
	s.named++
	name := "p" + strconv.FormatUint(s.named, 10)
	s.names[k] = name
	return name
}

// len returns the number of statements.
func (s *preparedStatements) len() int {
	return len(s.names)
}

// clear removes all statements.
func (s *preparedStatements) clear() {
	clear(s.names)
}
