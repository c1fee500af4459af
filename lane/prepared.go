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
func (p *preparedStatements) has(name string) bool {
	_, found := p.lastUse[name]
	if found {
		p.add(name)
	}
	return found
}

func (p *preparedStatements) add(name string) {
	if p.lastUse == nil {
		p.lastUse = map[string]uint64{}
	}
	p.uses++
	p.lastUse[name] = p.uses
}

// evict removes the least recently used statements above the limit and returns their names.
func (p *preparedStatements) evict() []string {
	evicted := []string{}
	for len(p.lastUse) > maxPreparedStatements {
		oldest := p.oldest()
		delete(p.lastUse, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

func (p *preparedStatements) oldest() string {
	oldest := ""
	for name, used := range p.lastUse {
		if oldest == "" || used < p.lastUse[oldest] {
			oldest = name
		}
	}
	return oldest
}
