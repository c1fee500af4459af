package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/platform"
	"egretlane.example/egret/watch"
)

// storeCache caches the current configuration and the members registered in the store, and watches the store for
// changes of both.
type storeCache struct {
	keys  egret.Keyspace
	trail *evlog.Log

	// onConfiguration is called with each newer configuration.
	onConfiguration func(t *egret.Tables)

	// onMembersChanged is called with the members of a service when one of them changes.
	onMembersChanged func(service string, members []egret.Backend)

	// tables is the current configuration. Its revision never decreases.
	tables atomic.Pointer[egret.Tables]

	// operatorWatch watches the keys that the operator writes.
	operatorWatch *watch.Watcher

	// wake wakes watchMembers.
	wake chan struct{}

	mu sync.Mutex

	// members holds the registered members by ID, and services the same members by service and ID. The second index
	// exists because there are many services, and each process looks up the members of each several times a second.
	members  map[string]egret.Backend
	services map[string]map[string]egret.Backend
}

func newStoreCache(keys egret.Keyspace, t *evlog.Log) *storeCache {
	d := &storeCache{
		keys:     keys,
		trail:    t,
		wake:     make(chan struct{}, 1),
		members:  map[string]egret.Backend{},
		services: map[string]map[string]egret.Backend{},
	}
	d.operatorWatch = &watch.Watcher{
		Keys:   keys,
		Prefix: platform.OperatorPrefix,
		Reset: func(items []egret.Item) {
			for _, item := range items {
				d.handleOperatorKey(item)
			}
		},
		Change:        d.handleOperatorKey,
		StartFromPeer: true,
		EventLog:      t,
	}
	return d
}

// handleOperatorKey processes a key that the operator wrote.
func (d *storeCache) handleOperatorKey(item egret.Item) {
	if item.Key == platform.ConfigKey && !item.Removed {
		d.updateConfiguration(item.Data)
	}
}

// updateConfiguration replaces the current configuration if the new one has a higher revision.
func (d *storeCache) updateConfiguration(data []byte) {
	t, err := platform.DecodeTables(data)
	if t == nil {
		d.trail.Event("configuration-refused").Err(err).Msg("cannot decode the configuration; the current one stays in use")
		return
	}
	d.mu.Lock()
	current := d.tables.Load()
	if current != nil && t.Revision <= current.Revision {
		d.mu.Unlock()
		return
	}
	d.tables.Store(t)
	d.mu.Unlock()
	before := uint64(0)
	if current != nil {
		before = current.Revision
	}
	d.trail.Event("configuration-in-force").Uint64("version", t.Revision).Uint64("before", before).
		Int("routes", len(t.Routes)).Int("services", len(t.Pools)).Err(err).Msg("a newer configuration is in use")
	d.onConfiguration(t)
}

// watchMembers watches the members while needed reports true.
func (d *storeCache) watchMembers(ctx context.Context, needed func() bool) error {
	w := watch.Watcher{
		Keys:     d.keys,
		Prefix:   platform.MembersPrefix,
		Reset:    d.resetMembers,
		Change:   d.changeMember,
		EventLog: d.trail,
	}
	d.loadMembers(ctx)
	for ctx.Err() == nil {
		if !needed() {
			select {
			case <-ctx.Done():
			case <-d.wake:
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
		if err := w.Run(run); err != nil {
			cancel()
			return err
		}
		cancel()
	}
	return nil
}

// loadMembers lists the members once at startup, so that the failure domains of primaries are known.
func (d *storeCache) loadMembers(ctx context.Context) {
	items, _, err := d.keys.List(ctx, platform.MembersPrefix)
	if err != nil {
		d.trail.Event("members-unknown").Err(err).Msg("could not list the members at startup")
		return
	}
	d.resetMembers(items)
}

// wakeMemberWatch makes watchMembers check at once whether the members are needed.
func (d *storeCache) wakeMemberWatch() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// resetMembers replaces all members.
func (d *storeCache) resetMembers(items []egret.Item) {
	members := map[string]egret.Backend{}
	services := map[string]bool{}
	for _, item := range items {
		if b, ok := d.decodeMember(item); ok {
			members[b.ID] = b
			services[b.Service] = true
		}
	}
	d.mu.Lock()
	for _, b := range d.members {
		services[b.Service] = true
	}
	d.members = map[string]egret.Backend{}
	clear(d.services)
	for _, b := range members {
		d.putLocked(b)
	}
	d.mu.Unlock()
	for service := range services {
		d.onMembersChanged(service, d.membersOf(service))
	}
}

// changeMember applies a changed or removed entry of a member.
func (d *storeCache) changeMember(item egret.Item) {
	id := platform.MemberID(item.Key)
	d.mu.Lock()
	before, known := d.members[id]
	d.mu.Unlock()
	b, ok := d.decodeMember(item)
	d.mu.Lock()
	d.removeLocked(id)
	if ok {
		d.putLocked(b)
	}
	d.mu.Unlock()
	if known && (!ok || before.Service != b.Service) {
		d.onMembersChanged(before.Service, d.membersOf(before.Service))
	}
	if ok && (!known || before != b) {
		d.onMembersChanged(b.Service, d.membersOf(b.Service))
	}
}

// putLocked adds a member. mu must be held.
func (d *storeCache) putLocked(b egret.Backend) {
	d.members[b.ID] = b
	if d.services[b.Service] == nil {
		d.services[b.Service] = map[string]egret.Backend{}
	}
	d.services[b.Service][b.ID] = b
}

// removeLocked removes the member with the ID, if there is one. mu must be held.
func (d *storeCache) removeLocked(id string) {
	service := d.members[id].Service
	delete(d.members, id)
	delete(d.services[service], id)
	if len(d.services[service]) == 0 {
		delete(d.services, service)
	}
}

// decodeMember decodes an entry. It returns false for a removed entry and for one that cannot be decoded.
func (d *storeCache) decodeMember(item egret.Item) (egret.Backend, bool) {
	if item.Removed {
		return egret.Backend{}, false
	}
	b, err := platform.DecodeMember(item.Key, item.Data)
	if err != nil {
		d.trail.Event("member-unreadable").Str("key", item.Key).Uint64("revision", item.Revision).Err(err).Msg("cannot decode the entry of a member; the member is ignored")
		return egret.Backend{}, false
	}
	return b, true
}

// membersOf returns the members of a service.
func (d *storeCache) membersOf(service string) []egret.Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]egret.Backend, 0, len(d.services[service]))
	for _, b := range d.services[service] {
		members = append(members, b)
	}
	return members
}

// primaryDomain returns the failure domain of a service's primary according to the entries read last, or "".
func (d *storeCache) primaryDomain(service string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.services[service] {
		if b.Role == egret.RolePrimary {
			return b.Domain
		}
	}
	return ""
}
