package lane

// maxPreparedStatements is how many prepared statements a connection keeps after eviction.
const maxPreparedStatements = 200

// preparedStatements is the set of a connection's prepared statements, by name, with their order of
// use.
type preparedStatements struct {
	// lastUse has the value of uses at each statement's last use.
	lastUse map[string]uint64

	// uses counts the uses of all statements.
	uses uint64
}

// has reports whether the statement is prepared, and counts as a use of it.
func (n *preparedStatements) has(name string) bool {
	_, found := n.lastUse[name]
	if found {
		n.add(name)
	}
	return found
}

func (n *preparedStatements) add(name string) {
	if n.lastUse == nil {
		n.lastUse = map[string]uint64{}
	}
	n.uses++
	n.lastUse[name] = n.uses
}

// evict removes the least recently used statements above the limit and returns their names.
func (n *preparedStatements) evict() []string {
	evicted := []string{}
	for len(n.lastUse) > maxPreparedStatements {
		oldest := n.oldest()
		delete(n.lastUse, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

func (n *preparedStatements) oldest() string {
	oldest := ""
	for name, used := range n.lastUse {
		if oldest == "" || used < n.lastUse[oldest] {
			oldest = name
		}
	}
	return oldest
}
