package dbsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"egretlane.example/egret"
)

// handleQuery runs a statement. It returns the rows and signature of the answer, or an error.
func (s *session) handleQuery(id, text string) ([]string, string, wireError) {
	floor, text := splitFloor(text)
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return nil, "-", ""
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]preparedStatement{}
		return nil, "-", ""
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		if len(f) < 3 {
			return nil, "", "MALFORMED prepare"
		}
		s.prepared[f[0]] = preparedStatement{
			isWrite: f[1] == "WRITE",
			text:    f[2],
		}
		return nil, "-", ""
	case "CLOSE":
		delete(s.prepared, rest)
		return nil, "-", ""
	case "ROLLBACK":
		s.endTransaction()
		return nil, "-", ""
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return s.control(verb, rest)
	}
	if s.failed {
		return nil, "", "MALFORMED the transaction has failed"
	}
	if !acquireSlot(s.member.slots) {
		return nil, "", s.failTransaction("BUSY no slot")
	}
	defer func() {
		<-s.member.slots
	}()
	if f := s.waitForPosition(floor); f != "" {
		return nil, "", s.failTransaction(f)
	}
	if verb == "BEGIN" {
		return s.begin(rest)
	}
	faults := s.member.currentFaults()
	cost := s.member.group.StatementCost + faults.ExtraTime
	if withProbability(s.member.group.LongRate) {
		cost += s.member.group.LongCost
	}
	time.Sleep(cost)
	if withProbability(faults.FailureRate) {
		return nil, "", s.failTransaction("FAILED internal error")
	}
	return s.execute(id, text, verb, rest)
}

// withProbability returns true with the given probability.
func withProbability(p float64) bool {
	return p > 0 && rand.Float64() < p
}

// splitFloor splits a statement into its floor, the position that it waits for, and the rest.
func splitFloor(text string) (egret.Position, string) {
	rest, found := strings.CutPrefix(text, "WAITLSN ")
	if !found {
		return egret.Position{}, text
	}
	position, text, _ := strings.Cut(rest, " ")
	term, number, _ := strings.Cut(position, ".")
	p := egret.Position{}
	// A malformed position becomes one that no log reaches.
	var err error
	if p.Term, err = strconv.ParseUint(term, 10, 64); err != nil {
		p.Term = 1 << 62
	}
	if p.Offset, err = strconv.ParseUint(number, 10, 64); err != nil {
		p.Offset = 1 << 62
	}
	return p, text
}

// waitForPosition waits up to positionTimeout until the position is applied, and returns an error if it
// isn't.
func (s *session) waitForPosition(p egret.Position) wireError {
	m, g := s.member, s.member.group
	deadline := time.Now().Add(positionTimeout)
	for {
		g.mu.Lock()
		busy, applied := time.Now().Before(m.busyUntil), m.hasPosition(p, m.applied)
		g.mu.Unlock()
		switch {
		case busy:
			return "BUSY rolling back"
		case applied || p.IsZero():
			return ""
		case time.Now().After(deadline):
			return "LAGGING position not applied"
		}
		time.Sleep(tickInterval)
	}
}

// begin opens a transaction. The kind is empty for one that may write.
func (s *session) begin(kind string) ([]string, string, wireError) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.transaction != 0 {
		return nil, "", "MALFORMED a transaction is open"
	}
	if kind == "" && !m.isPrimary {
		return nil, "", s.failTransaction("READONLY not the primary")
	}
	g.statements++
	s.transaction = g.statements
	s.readOnly = kind == "READ"
	return nil, "-", ""
}

// execute runs a read, a write or a commit and tells the observer.
func (s *session) execute(id, text, verb, rest string) ([]string, string, wireError) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.running {
		return nil, "", "FAILED ended"
	}
	g.statements++
	r := Execution{
		Service:     g.Service,
		Member:      m.id,
		ID:          id,
		Text:        text,
		Workspace:   s.workspace,
		Values:      maps.Clone(s.values),
		Transaction: s.transaction,
		Signature:   fmt.Sprintf("%s.%x", m.id, g.statements),
		Holds: func(p egret.Position) bool {
			return m.hasPosition(p, m.applied)
		},
	}
	item, data, _ := strings.Cut(rest, " ")
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		p, found := s.prepared[item]
		if !found {
			return nil, "", s.failTransaction("NOSTMT " + wireError(item))
		}
		r.Shape = p.text
		item, data, _ = strings.Cut(data, " ")
		writes = p.isWrite
		verb = "READ"
	}
	var entry *Entry
	position := egret.Position{}
	f := wireError("")
	switch {
	case verb == "COMMIT":
		entry, position, f = s.commit(id)
	case writes:
		entry, position, f = s.write(id, item, data)
	case verb == "READ":
		r.Reads = true
		r.Rows = []string{s.read(item)}
		if s.transaction != 0 && !s.readOnly && !m.isPrimary {
			f = s.failTransaction("READONLY lost the lead")
		}
	default:
		f = "MALFORMED unknown statement"
	}
	if f != "" {
		r.Rows, r.Signature, r.Fault = nil, "", string(f)
	}
	g.Observer.Executed(r)
	if entry != nil && !g.waitForReplicas(m, entry, position) {
		return nil, "", "INDOUBT too few replicas"
	}
	return r.Rows, r.Signature, f
}

// waitForReplicas waits until SyncReplicas replicas have an entry. It returns false if they don't within
// syncTimeout, or if the member stops being a running primary. The caller holds mu, which is released
// while waiting.
func (g *Group) waitForReplicas(m *Member, e *Entry, p egret.Position) bool {
	deadline := time.Now().Add(syncTimeout)
	for g.replicasWith(e, int(p.Offset)) < g.SyncReplicas {
		g.mu.Unlock()
		time.Sleep(tickInterval)
		g.mu.Lock()
		if time.Now().After(deadline) || !m.isPrimary || !m.running {
			return false
		}
	}
	return true
}

// read returns the value of an item, as the open transaction sees it. The caller holds the group's lock.
func (s *session) read(item string) string {
	for i := len(s.pendingWrites) - 1; i >= 0; i-- {
		if s.pendingWrites[i].Item == item {
			return s.pendingWrites[i].Data
		}
	}
	if data, found := s.member.state[item]; found {
		return data
	}
	return "none"
}

// write sets an item. In a transaction the write is kept until COMMIT; otherwise it is committed at once.
// The caller holds the group's lock.
func (s *session) write(id, item, data string) (*Entry, egret.Position, wireError) {
	w := Write{
		Item: item,
		Data: data,
	}
	if !s.member.isPrimary || s.readOnly {
		return nil, egret.Position{}, s.failTransaction("READONLY not the primary")
	}
	if s.transaction != 0 {
		s.pendingWrites = append(s.pendingWrites, w)
		return nil, egret.Position{}, ""
	}
	e, p := s.member.commit(id, []Write{w})
	return e, p, ""
}

// commit commits the open transaction. The caller holds the group's lock.
func (s *session) commit(id string) (*Entry, egret.Position, wireError) {
	if s.transaction == 0 {
		return nil, egret.Position{}, "MALFORMED no transaction"
	}
	if len(s.pendingWrites) == 0 {
		s.endTransaction()
		return nil, egret.Position{}, ""
	}
	if !s.member.isPrimary {
		return nil, egret.Position{}, s.failTransaction("READONLY lost the lead")
	}
	e, p := s.member.commit(id, s.pendingWrites)
	s.endTransaction()
	return e, p, ""
}

func (s *session) endTransaction() {
	s.transaction, s.readOnly, s.failed, s.pendingWrites = 0, false, false, nil
}

// failTransaction marks the open transaction, if there is one, as failed. It returns the error.
func (s *session) failTransaction(f wireError) wireError {
	s.failed = s.transaction != 0
	return f
}

// control runs a statement about the member itself. All of them answer with its status.
func (s *session) control(verb, rest string) ([]string, string, wireError) {
	m, g := s.member, s.member.group
	if !acquireSlot(m.slots) {
		return nil, "", "BUSY no slot"
	}
	defer func() {
		<-m.slots
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	term, err := strconv.ParseUint(rest, 10, 64)
	if err != nil && (verb == "PAUSE" || verb == "DEMOTE") {
		return nil, "", "MALFORMED term"
	}
	switch verb {
	case "PAUSE":
		if !m.isPrimary && term > g.term {
			m.pausedTerm = term
		}
	case "RESUME":
		m.pausedTerm = 0
	case "DEMOTE":
		if m.isPrimary && m.term < term {
			m.isPrimary = false
			m.newerReachableSince = time.Time{}
		}
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", m.role(), m.term, formatPosition(egret.Position{
		Term:   m.term,
		Offset: uint64(len(m.log)),
	}), m.pausedTerm, g.ApplyDelay.Milliseconds(), len(m.slots), len(m.connections))
	return []string{row}, "-", ""
}
