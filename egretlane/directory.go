package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/platform"
	"egretlane.example/egret/trail"
	"egretlane.example/egret/watch"
)

// directory knows the configuration in force and the members that have an entry.
type directory struct {
	keys  egret.Keyspace
	trail *trail.Trail

	// configured is called with each newer configuration.
	configured func(t *egret.Tables)

	// changed is called with the members of a service when one of them changes.
	changed func(service string, members []egret.Backend)

	// tables is the configuration in force. Its version never falls.
	tables atomic.Pointer[egret.Tables]

	// operatorKeys follows what the operator writes.
	operatorKeys *watch.Watch

	// needed wakes the watch of members.
	needed chan struct{}

	mu sync.Mutex

	// members are all that have an entry, by ID, and services the same by service and ID. There are
	// many services, and each process asks for the members of each several times a second.
	members  map[string]egret.Backend
	services map[string]map[string]egret.Backend
}

func newDirectory(keys egret.Keyspace, t *trail.Trail) *directory {
	d := &directory{
		keys:     keys,
		trail:    t,
		needed:   make(chan struct{}, 1),
		members:  map[string]egret.Backend{},
		services: map[string]map[string]egret.Backend{},
	}
	d.operatorKeys = &watch.Watch{
		Keys:   keys,
		Prefix: platform.OperatorPrefix,
		Reset: func(items []egret.Item) {
			for _, item := range items {
				d.operator(item)
			}
		},
		Change:     d.operator,
		RelayStart: true,
		Trail:      t,
	}
	return d
}

// operator takes a key that the operator wrote.
func (d *directory) operator(item egret.Item) {
	if item.Key == platform.ConfigKey && !item.Removed {
		d.take(item.Data)
	}
}

// take puts a configuration in force if it is newer than the one that is.
func (d *directory) take(data []byte) {
	t, err := platform.DecodeTables(data)
	if t == nil {
		d.trail.Event("configuration-refused").Err(err).Msg("the configuration can't be read; the one in force stays")
		return
	}
	d.mu.Lock()
	now := d.tables.Load()
	if now != nil && t.Revision <= now.Revision {
		d.mu.Unlock()
		return
	}
	d.tables.Store(t)
	d.mu.Unlock()
	before := uint64(0)
	if now != nil {
		before = now.Revision
	}
	d.trail.Event("configuration-in-force").Uint64("version", t.Revision).Uint64("before", before).
		Int("routes", len(t.Routes)).Int("services", len(t.Pools)).Err(err).Msg("a newer configuration is in force")
	d.configured(t)
}

// watchMembers follows the members while they are needed, which held tells.
func (d *directory) watchMembers(ctx context.Context, held func() bool) error {
	w := watch.Watch{
		Keys:   d.keys,
		Prefix: platform.MembersPrefix,
		Reset:  d.resetMembers,
		Change: d.changeMember,
		Trail:  d.trail,
	}
	d.listOnce(ctx)
	for ctx.Err() == nil {
		if !held() {
			select {
			case <-ctx.Done():
			case <-d.needed:
			}
			continue
		}
		run, cancel := context.WithCancel(ctx)
		go func() {
			for held() && run.Err() == nil {
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

// listOnce reads the members at the start, to know where primaries are.
func (d *directory) listOnce(ctx context.Context) {
	items, _, err := d.keys.List(ctx, platform.MembersPrefix)
	if err != nil {
		d.trail.Event("members-unknown").Err(err).Msg("the members could not be listed at the start")
		return
	}
	d.resetMembers(items)
}

// need starts the watch of members.
func (d *directory) need() {
	select {
	case d.needed <- struct{}{}:
	default:
	}
}

func (d *directory) resetMembers(items []egret.Item) {
	members := map[string]egret.Backend{}
	services := map[string]bool{}
	for _, item := range items {
		if b, ok := d.decode(item); ok {
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
		d.put(b)
	}
	d.mu.Unlock()
	for service := range services {
		d.changed(service, d.of(service))
	}
}

func (d *directory) changeMember(item egret.Item) {
	id := platform.MemberID(item.Key)
	d.mu.Lock()
	before, known := d.members[id]
	d.mu.Unlock()
	b, ok := d.decode(item)
	d.mu.Lock()
	d.remove(id)
	if ok {
		d.put(b)
	}
	d.mu.Unlock()
	if known && (!ok || before.Service != b.Service) {
		d.changed(before.Service, d.of(before.Service))
	}
	if ok && (!known || before != b) {
		d.changed(b.Service, d.of(b.Service))
	}
}

// put adds a member. The caller holds mu.
func (d *directory) put(b egret.Backend) {
	d.members[b.ID] = b
	if d.services[b.Service] == nil {
		d.services[b.Service] = map[string]egret.Backend{}
	}
	d.services[b.Service][b.ID] = b
}

// remove takes a member out, if there is one of the ID. The caller holds mu.
func (d *directory) remove(id string) {
	service := d.members[id].Service
	delete(d.members, id)
	delete(d.services[service], id)
	if len(d.services[service]) == 0 {
		delete(d.services, service)
	}
}

// decode reads an entry. One that can't be read names no member.
func (d *directory) decode(item egret.Item) (egret.Backend, bool) {
	if item.Removed {
		return egret.Backend{}, false
	}
	b, err := platform.DecodeMember(item.Key, item.Data)
	if err != nil {
		d.trail.Event("member-unreadable").Str("key", item.Key).Uint64("revision", item.Revision).Err(err).Msg("the entry names no member")
		return egret.Backend{}, false
	}
	return b, true
}

// of returns the members of a service.
func (d *directory) of(service string) []egret.Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]egret.Backend, 0, len(d.services[service]))
	for _, b := range d.services[service] {
		members = append(members, b)
	}
	return members
}

// home returns the failure domain of a service's primary, as its entry said when it was read.
func (d *directory) home(service string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.services[service] {
		if b.Role == egret.RolePrimary {
			return b.Domain
		}
	}
	return ""
}
