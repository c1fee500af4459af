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

// query runs a statement.
func (s *session) query(id, text string) ([]string, string, fault) {
	floor, text := splitFloor(text)
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return nil, "-", ""
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]shape{}
		return nil, "-", ""
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		if len(f) < 3 {
			return nil, "", "MALFORMED prepare"
		}
		s.prepared[f[0]] = shape{
			writes: f[1] == "WRITE",
			text:   f[2],
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
	if !take(s.member.slots) {
		return nil, "", s.fail("BUSY no slot")
	}
	defer func() {
		<-s.member.slots
	}()
	if f := s.await(floor); f != "" {
		return nil, "", s.fail(f)
	}
	if verb == "BEGIN" {
		return s.begin(rest)
	}
	t := s.member.troubled()
	time.Sleep(s.member.group.Work + t.Slow)
	if chance(t.Fail) {
		return nil, "", s.fail("FAILED internal error")
	}
	return s.run(id, text, verb, rest)
}

func chance(part float64) bool {
	return part > 0 && rand.Float64() < part
}

// splitFloor takes the position off that a statement is to wait for.
func splitFloor(text string) (egret.Position, string) {
	rest, found := strings.CutPrefix(text, "WAITLSN ")
	if !found {
		return egret.Position{}, text
	}
	position, text, _ := strings.Cut(rest, " ")
	term, number, _ := strings.Cut(position, ".")
	p := egret.Position{}
	// A position that can't be read is one that no log has.
	var err error
	if p.Term, err = strconv.ParseUint(term, 10, 64); err != nil {
		p.Term = 1 << 62
	}
	if p.Offset, err = strconv.ParseUint(number, 10, 64); err != nil {
		p.Offset = 1 << 62
	}
	return p, text
}

// await waits a moment for a position, and refuses if the log lacks it.
func (s *session) await(p egret.Position) fault {
	m, g := s.member, s.member.group
	end := time.Now().Add(catchUpWait)
	for {
		g.mu.Lock()
		busy, held := time.Now().Before(m.busyUntil), m.holds(p, m.applied)
		g.mu.Unlock()
		switch {
		case busy:
			return "BUSY rolling back"
		case held || p.IsZero():
			return ""
		case time.Now().After(end):
			return "LAGGING position not applied"
		}
		time.Sleep(tickInterval)
	}
}

func (s *session) begin(kind string) ([]string, string, fault) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.transaction != 0 {
		return nil, "", "MALFORMED a transaction is open"
	}
	if kind == "" && !m.primary {
		return nil, "", s.fail("READONLY not the primary")
	}
	g.runs++
	s.transaction = g.runs
	s.readOnly = kind == "READ"
	return nil, "-", ""
}

// run runs a read, a write or a commit.
func (s *session) run(id, text, verb, rest string) ([]string, string, fault) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.running {
		return nil, "", "FAILED ended"
	}
	g.runs++
	r := Run{
		Service:     g.Service,
		Member:      m.id,
		ID:          id,
		Text:        text,
		Values:      maps.Clone(s.values),
		Transaction: s.transaction,
		Signature:   fmt.Sprintf("%s.%x", m.id, g.runs),
		Holds: func(p egret.Position) bool {
			return m.holds(p, m.applied)
		},
	}
	item, data, _ := strings.Cut(rest, " ")
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		p, found := s.prepared[item]
		if !found {
			return nil, "", s.fail("NOSTMT " + fault(item))
		}
		r.Shape = p.text
		item, data, _ = strings.Cut(data, " ")
		writes = p.writes
		verb = "READ"
	}
	var entry *Entry
	position := egret.Position{}
	f := fault("")
	switch {
	case verb == "COMMIT":
		entry, position, f = s.commit(id)
	case writes:
		entry, position, f = s.write(id, item, data)
	case verb == "READ":
		r.Reads = true
		r.Rows = []string{s.read(item)}
		if s.transaction != 0 && !s.readOnly && !m.primary {
			f = s.fail("READONLY lost the lead")
		}
	default:
		f = "MALFORMED unknown statement"
	}
	if f != "" {
		r.Rows, r.Signature, r.Fault = nil, "", string(f)
	}
	g.Witness.Ran(r)
	if entry != nil && !g.awaitReplicas(m, entry, position) {
		return nil, "", "INDOUBT too few replicas"
	}
	return r.Rows, r.Signature, f
}

// awaitReplicas waits until enough replicas have an entry. The caller holds mu, which is left meanwhile.
func (g *Group) awaitReplicas(m *Member, e *Entry, p egret.Position) bool {
	end := time.Now().Add(syncWait)
	for g.received(e, int(p.Offset)) < g.SyncReplicas {
		g.mu.Unlock()
		time.Sleep(tickInterval)
		g.mu.Lock()
		if time.Now().After(end) || !m.primary || !m.running {
			return false
		}
	}
	return true
}

// read returns an item as the connection sees it. The caller holds the group's lock.
func (s *session) read(item string) string {
	for i := len(s.writes) - 1; i >= 0; i-- {
		if s.writes[i].Item == item {
			return s.writes[i].Data
		}
	}
	if data, found := s.member.state[item]; found {
		return data
	}
	return "none"
}

// write changes an item, at once outside a transaction. The caller holds the group's lock.
func (s *session) write(id, item, data string) (*Entry, egret.Position, fault) {
	w := Write{
		Item: item,
		Data: data,
	}
	if !s.member.primary || s.readOnly {
		return nil, egret.Position{}, s.fail("READONLY not the primary")
	}
	if s.transaction != 0 {
		s.writes = append(s.writes, w)
		return nil, egret.Position{}, ""
	}
	e, p := s.member.commit(id, []Write{w})
	return e, p, ""
}

// commit ends the transaction. The caller holds the group's lock.
func (s *session) commit(id string) (*Entry, egret.Position, fault) {
	if s.transaction == 0 {
		return nil, egret.Position{}, "MALFORMED no transaction"
	}
	if len(s.writes) == 0 {
		s.endTransaction()
		return nil, egret.Position{}, ""
	}
	if !s.member.primary {
		return nil, egret.Position{}, s.fail("READONLY lost the lead")
	}
	e, p := s.member.commit(id, s.writes)
	s.endTransaction()
	return e, p, ""
}

func (s *session) endTransaction() {
	s.transaction, s.readOnly, s.failed, s.writes = 0, false, false, nil
}

// fail marks the open transaction as failed.
func (s *session) fail(f fault) fault {
	s.failed = s.transaction != 0
	return f
}

// control answers the statements about the member itself.
func (s *session) control(verb, rest string) ([]string, string, fault) {
	m, g := s.member, s.member.group
	if !take(m.slots) {
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
		if !m.primary && term > g.term {
			m.held = term
		}
	case "RESUME":
		m.held = 0
	case "DEMOTE":
		if m.primary && m.term < term {
			m.primary = false
			m.reached = time.Time{}
		}
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", m.role(), m.term, format(egret.Position{
		Term:   m.term,
		Offset: uint64(len(m.log)),
	}), m.held, g.Lag.Milliseconds(), len(m.slots), len(m.connections))
	return []string{row}, "-", ""
}
