package lane

// maxNames is how many prepared statements a connection keeps.
const maxNames = 200

// names is the set of prepared statements that a connection has.
type names struct {
	// used tells when each statement was last used, in counts of clock.
	used map[string]uint64

	// clock rises with each use.
	clock uint64
}

// has reports whether the connection has the statement, and counts that as a use.
func (n *names) has(name string) bool {
	_, found := n.used[name]
	if found {
		n.add(name)
	}
	return found
}

func (n *names) add(name string) {
	if n.used == nil {
		n.used = map[string]uint64{}
	}
	n.clock++
	n.used[name] = n.clock
}

// evict takes out the statements that were unused for longest, down to the limit.
func (n *names) evict() []string {
	evicted := []string{}
	for len(n.used) > maxNames {
		oldest := n.oldest()
		delete(n.used, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

func (n *names) oldest() string {
	oldest := ""
	for name, used := range n.used {
		if oldest == "" || used < n.used[oldest] {
			oldest = name
		}
	}
	return oldest
}
