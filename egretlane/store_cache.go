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
	keys     egret.Keyspace
	eventLog *evlog.Log

	// onConfiguration is called with each newer configuration.
	onConfiguration func(t *egret.Tables)

	// onMembersChanged is called with the members of a service when one of them changes, and for all services after
	// the members were listed.
	onMembersChanged func(service string, members []egret.Backend)

	// tables is the current configuration. Its revision never decreases.
	tables atomic.Pointer[egret.Tables]

	// operatorWatch watches the keys that the operator writes.
	operatorWatch *watch.Watcher

	// memberWatch watches the members while this process needs them.
	memberWatch *watch.Watcher

	// wake wakes watchMembers.
	wake chan struct{}

	mu sync.Mutex

	// members holds the registered members by ID, and services the same members by service and ID. The second index
	// exists because there are many services, and each process looks up the primary of each several times a second.
	members  map[string]egret.Backend
	services map[string]map[string]egret.Backend
}

func newStoreCache(keys egret.Keyspace, eventLog *evlog.Log) *storeCache {
	c := &storeCache{
		keys:     keys,
		eventLog: eventLog,
		wake:     make(chan struct{}, 1),
		members:  map[string]egret.Backend{},
		services: map[string]map[string]egret.Backend{},
	}
	c.operatorWatch = &watch.Watcher{
		Keys:   keys,
		Prefix: platform.OperatorPrefix,
		Reset: func(items []egret.Item) {
			for _, item := range items {
				c.handleOperatorKey(item)
			}
		},
		Change:        c.handleOperatorKey,
		StartFromPeer: true,
		EventLog:      eventLog,
	}
	c.memberWatch = &watch.Watcher{
		Keys:     keys,
		Prefix:   platform.MembersPrefix,
		Reset:    c.resetMembers,
		Change:   c.changeMember,
		EventLog: eventLog,
	}
	return c
}

// handleOperatorKey processes a key that the operator wrote.
func (c *storeCache) handleOperatorKey(item egret.Item) {
	if item.Key == platform.ConfigKey && !item.Removed {
		c.updateConfiguration(item.Data)
	}
}

// updateConfiguration replaces the current configuration if the new one has a higher revision.
func (c *storeCache) updateConfiguration(data []byte) {
	t, err := platform.DecodeTables(data)
	if t == nil {
		c.eventLog.Event("configuration-refused").Err(err).Msg("cannot decode the configuration; the current one stays in use")
		return
	}
	c.mu.Lock()
	current := c.tables.Load()
	if current != nil && t.Revision <= current.Revision {
		c.mu.Unlock()
		return
	}
	c.tables.Store(t)
	c.mu.Unlock()
	before := uint64(0)
	if current != nil {
		before = current.Revision
	}
	c.eventLog.Event("configuration-in-force").Uint64("version", t.Revision).Uint64("before", before).
		Int("routes", len(t.Routes)).Int("services", len(t.Pools)).Err(err).Msg("a newer configuration is in use")
	c.onConfiguration(t)
}

// watchMembers watches the members while needed reports true.
func (c *storeCache) watchMembers(ctx context.Context, needed func() bool) error {
	c.loadMembers(ctx)
	for ctx.Err() == nil {
		if !needed() {
			select {
			case <-ctx.Done():
			case <-c.wake:
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
		if err := c.memberWatch.Run(run); err != nil {
			cancel()
			return err
		}
		cancel()
	}
	return nil
}

// loadMembers lists the members once at startup, so that the failure domains of primaries are known.
func (c *storeCache) loadMembers(ctx context.Context) {
	items, _, err := c.keys.List(ctx, platform.MembersPrefix)
	if err != nil {
		c.eventLog.Event("members-unknown").Err(err).Msg("could not list the members at startup")
		return
	}
	c.resetMembers(items)
}

// wakeMemberWatch makes watchMembers check at once whether the members are needed.
func (c *storeCache) wakeMemberWatch() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// resetMembers replaces all members.
func (c *storeCache) resetMembers(items []egret.Item) {
	members := map[string]egret.Backend{}
	services := map[string]bool{}
	for _, item := range items {
		if b, ok := c.decodeMember(item); ok {
			members[b.ID] = b
			services[b.Service] = true
		}
	}
	c.mu.Lock()
	for _, b := range c.members {
		services[b.Service] = true
	}
	c.members = map[string]egret.Backend{}
	clear(c.services)
	for _, b := range members {
		c.putLocked(b)
	}
	c.mu.Unlock()
	for service := range services {
		c.onMembersChanged(service, c.membersOf(service))
	}
}

// changeMember applies a changed or removed entry of a member.
func (c *storeCache) changeMember(item egret.Item) {
	id := platform.MemberID(item.Key)
	c.mu.Lock()
	before, known := c.members[id]
	c.mu.Unlock()
	b, ok := c.decodeMember(item)
	c.mu.Lock()
	c.removeLocked(id)
	if ok {
		c.putLocked(b)
	}
	c.mu.Unlock()
	if known && (!ok || before.Service != b.Service) {
		c.onMembersChanged(before.Service, c.membersOf(before.Service))
	}
	if ok && (!known || before != b) {
		c.onMembersChanged(b.Service, c.membersOf(b.Service))
	}
}

// putLocked adds a member. mu must be held.
func (c *storeCache) putLocked(b egret.Backend) {
	c.members[b.ID] = b
	if c.services[b.Service] == nil {
		c.services[b.Service] = map[string]egret.Backend{}
	}
	c.services[b.Service][b.ID] = b
}

// removeLocked removes the member with the ID, if there is one. mu must be held.
func (c *storeCache) removeLocked(id string) {
	service := c.members[id].Service
	delete(c.members, id)
	delete(c.services[service], id)
	if len(c.services[service]) == 0 {
		delete(c.services, service)
	}
}

// decodeMember decodes an entry. It returns false for a removed entry and for one that cannot be decoded.
func (c *storeCache) decodeMember(item egret.Item) (egret.Backend, bool) {
	if item.Removed {
		return egret.Backend{}, false
	}
	b, err := platform.DecodeMember(item.Key, item.Data)
	if err != nil {
		c.eventLog.Event("member-unreadable").Str("key", item.Key).Uint64("revision", item.Revision).Err(err).Msg("cannot decode the entry of a member; the member is ignored")
		return egret.Backend{}, false
	}
	return b, true
}

// membersOf returns the members of a service.
func (c *storeCache) membersOf(service string) []egret.Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]egret.Backend, 0, len(c.services[service]))
	for _, b := range c.services[service] {
		members = append(members, b)
	}
	return members
}

// primaryDomain returns the failure domain of a service's primary according to the entries read last, or "".
func (c *storeCache) primaryDomain(service string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.services[service] {
		if b.Role == egret.RolePrimary {
			return b.Domain
		}
	}
	return ""
}
