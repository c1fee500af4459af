// Package mirror keeps copies of the operator's configuration and of the members that are registered in the platform's
// store, and watches the store for changes of both.
//
//	m := mirror.Mirror{
//		Keys:             store,
//		OnConfiguration:  func(t *egret.Tables) { ... },
//		OnMembersChanged: func(service string, members []egret.Backend) { ... },
//	}
//	m.Init()
//	go m.Operator.Run(ctx)
//	go m.WatchMembers(ctx, func() bool { return true })
package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/platform"
	"egretlane.example/egret/watch"
)

// removedEntryAge is for how long it is known which entry of a member that has left was its last. A restored store comes back
// from a copy that is some seconds old.
const removedEntryAge = 10 * time.Minute

// Mirror holds the current configuration and the registered members. Its exported fields up to EventLog are set before
// Init.
type Mirror struct {
	// Keys accesses the store.
	Keys egret.Keyspace

	// OnConfiguration is called with each newer configuration.
	OnConfiguration func(t *egret.Tables)

	// OnMembersChanged is called with the members of a service when one of them changes, and for all services after
	// the members were listed.
	OnMembersChanged func(service string, members []egret.Backend)

	// EventLog logs changes and entries that can't be decoded. It may be nil.
	EventLog *evlog.Log

	// Operator watches the keys that the operator writes, and Members the members while this process needs them. Init
	// creates both.
	Operator, Members *watch.Watcher

	// tables is the current configuration. Its revision never decreases.
	tables atomic.Pointer[egret.Tables]

	// wakeups wakes WatchMembers.
	wakeups chan struct{}

	// mu guards the fields below.
	mu sync.Mutex

	// members holds the registered members by ID, and services the same members by service and ID. The second index
	// exists because there are many services, and each process looks up the primary of each several times a second.
	members  map[string]egret.Backend
	services map[string]map[string]egret.Backend

	// entries has what is known of the newest entry of each member, also of those that have left.
	entries map[string]entry
}

// entry is a member's entry in the store, without its content.
type entry struct {
	// start and sequence say which of the member's entries it is. The sequence is zero if the entry doesn't tell.
	start    time.Time
	sequence uint64

	// era is the era of the store in which it was read.
	era uint64

	// removedAt is when the member left, or zero.
	removedAt clock.Time
}

// newerThan reports whether the entry is newer than one that was read. Within an era, what is read last is the newest. A
// restored store may have an older entry than before.
func (e entry) newerThan(read entry) bool {
	if e.era >= read.era || read.sequence == 0 || !e.start.Equal(read.start) {
		return false
	}
	return read.sequence < e.sequence || read.sequence == e.sequence && e.removedAt != 0
}

// Init prepares the Mirror for use. It is called once, before any other method.
func (m *Mirror) Init() {
	m.wakeups = make(chan struct{}, 1)
	m.members = map[string]egret.Backend{}
	m.services = map[string]map[string]egret.Backend{}
	m.entries = map[string]entry{}
	m.Operator = &watch.Watcher{
		Keys:   m.Keys,
		Prefix: platform.OperatorPrefix,
		Reset: func(items []egret.Item, _ egret.Revision) {
			for _, item := range items {
				m.handleOperatorKey(item)
			}
		},
		Change:        m.handleOperatorKey,
		StartFromPeer: true,
		EventLog:      m.EventLog,
	}
	m.Members = &watch.Watcher{
		Keys:   m.Keys,
		Prefix: platform.MembersPrefix,
		Reset: func(items []egret.Item, _ egret.Revision) {
			m.resetMembers(items)
		},
		Change:   m.changeMember,
		EventLog: m.EventLog,
	}
}

// Tables returns the current configuration, or nil.
func (m *Mirror) Tables() *egret.Tables {
	return m.tables.Load()
}

// handleOperatorKey processes a key that the operator wrote.
func (m *Mirror) handleOperatorKey(item egret.Item) {
	if item.Key == platform.ConfigKey && !item.Removed {
		m.updateConfiguration(item.Data)
	}
}

// updateConfiguration replaces the current configuration if the new one has a higher revision.
func (m *Mirror) updateConfiguration(data []byte) {
	t, err := platform.DecodeTables(data)
	if t == nil {
		m.EventLog.Event("configuration-refused").Err(err).Msg("cannot decode the configuration; the current one stays in use")
		return
	}
	m.mu.Lock()
	current := m.tables.Load()
	if current != nil && t.Revision <= current.Revision {
		m.mu.Unlock()
		return
	}
	m.tables.Store(t)
	m.mu.Unlock()
	before := uint64(0)
	if current != nil {
		before = current.Revision
	}
	m.EventLog.Event("configuration-in-force").Uint64("version", t.Revision).Uint64("before", before).
		Int("routes", len(t.Routes)).Int("services", len(t.Pools)).Int("workspaces", len(t.Workspaces)).Err(err).Msg("a newer configuration is in use")
	m.OnConfiguration(t)
}

// WatchMembers watches the members while needed reports true.
func (m *Mirror) WatchMembers(ctx context.Context, needed func() bool) error {
	m.loadMembers(ctx)
	for ctx.Err() == nil {
		if !needed() {
			select {
			case <-ctx.Done():
			case <-m.wakeups:
			}
			continue
		}
		run, cancel := context.WithCancel(ctx)
		go func() {
			for needed() && run.Err() == nil {
				time.Sleep(time.Second)
			}
			cancel()
		}()
		if err := m.Members.Run(run); err != nil {
			cancel()
			return err
		}
		cancel()
	}
	return nil
}

// loadMembers lists the members once at startup, so that the failure domains of primaries are known.
func (m *Mirror) loadMembers(ctx context.Context) {
	items, _, err := m.Keys.List(ctx, platform.MembersPrefix)
	if err != nil {
		m.EventLog.Event("members-unknown").Err(err).Msg("could not list the members at startup")
		return
	}
	m.resetMembers(items)
}

// WakeMembers makes WatchMembers check at once whether the members are needed.
func (m *Mirror) WakeMembers() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}

// resetMembers replaces all members.
func (m *Mirror) resetMembers(items []egret.Item) {
	members := map[string]egret.Backend{}
	services := map[string]bool{}
	for _, item := range items {
		if b, ok := m.decodeMember(item); ok {
			members[b.ID] = b
			services[b.Service] = true
		}
	}
	m.mu.Lock()
	for _, b := range m.members {
		services[b.Service] = true
	}
	for id, e := range m.entries {
		if e.removedAt != 0 && clock.Since(e.removedAt) > removedEntryAge {
			delete(m.entries, id)
		}
	}
	m.members = map[string]egret.Backend{}
	clear(m.services)
	for _, b := range members {
		m.putLocked(b)
	}
	m.mu.Unlock()
	for service := range services {
		m.OnMembersChanged(service, m.MembersOf(service))
	}
}

// changeMember applies a changed or removed entry of a member.
func (m *Mirror) changeMember(item egret.Item) {
	id := platform.MemberID(item.Key)
	m.mu.Lock()
	before, known := m.members[id]
	m.mu.Unlock()
	b, ok := m.decodeMember(item)
	m.mu.Lock()
	if e, found := m.entries[id]; item.Removed && found {
		e.era, e.removedAt = item.Revision.Era, clock.Now()
		m.entries[id] = e
	}
	m.removeLocked(id)
	if ok {
		m.putLocked(b)
	}
	m.mu.Unlock()
	if known && (!ok || before.Service != b.Service) {
		m.OnMembersChanged(before.Service, m.MembersOf(before.Service))
	}
	if ok && (!known || before != b) {
		m.OnMembersChanged(b.Service, m.MembersOf(b.Service))
	}
}

// putLocked adds a member. mu must be held.
func (m *Mirror) putLocked(b egret.Backend) {
	m.members[b.ID] = b
	if m.services[b.Service] == nil {
		m.services[b.Service] = map[string]egret.Backend{}
	}
	m.services[b.Service][b.ID] = b
}

// removeLocked removes the member with the ID, if there is one. mu must be held.
func (m *Mirror) removeLocked(id string) {
	service := m.members[id].Service
	delete(m.members, id)
	delete(m.services[service], id)
	if len(m.services[service]) == 0 {
		delete(m.services, service)
	}
}

// decodeMember decodes an entry. It returns false for a removed entry and for one that cannot be decoded. If a restored store
// has an older entry of the member than is known, it returns the member as it is known, or false if that has left.
func (m *Mirror) decodeMember(item egret.Item) (egret.Backend, bool) {
	if item.Removed {
		return egret.Backend{}, false
	}
	b, sequence, err := platform.DecodeMember(item.Key, item.Data)
	if err != nil {
		m.EventLog.Event("member-unreadable").Str("key", item.Key).Str("revision", item.Revision.String()).Err(err).Msg("cannot decode the entry of a member; the member is ignored")
		return egret.Backend{}, false
	}
	read := entry{
		start:    b.StartTime,
		sequence: sequence,
		era:      item.Revision.Era,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[b.ID].newerThan(read) {
		known, found := m.members[b.ID]
		m.EventLog.Event("member-restored").Str("key", item.Key).Str("revision", item.Revision.String()).Uint64("sequence", sequence).Uint64("known", m.entries[b.ID].sequence).Msg("a restored store has an older entry of the member; it is ignored")
		return known, found
	}
	m.entries[b.ID] = read
	return b, true
}

// MembersOf returns the members of a service.
func (m *Mirror) MembersOf(service string) []egret.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]egret.Backend, 0, len(m.services[service]))
	for _, b := range m.services[service] {
		members = append(members, b)
	}
	return members
}

// PrimaryDomain returns the failure domain of a service's primary according to the entries read last, or "".
func (m *Mirror) PrimaryDomain(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.services[service] {
		if b.Role == egret.RolePrimary {
			return b.Domain
		}
	}
	return ""
}
