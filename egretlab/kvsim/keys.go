package kvsim

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// maxValueBytes is the size limit of a value.
const maxValueBytes = 1 << 20

// errTooLarge refuses a value over the limit.
const errTooLarge = errors.ConstError("the value is larger than a megabyte")

// keys holds the values and the leases. The zero keys is empty and ready to use.
type keys struct {
	// mu guards the fields below.
	mu sync.Mutex

	// revision is that of the last change of any key. It never falls.
	revision uint64

	// lastLease is the last lease granted.
	lastLease egret.LeaseID

	// values holds one entry for each key that has a value.
	values map[string]entry

	// leases holds the leases that have not ended.
	leases map[egret.LeaseID]lease

	// changed is closed at the next change of any key.
	changed chan struct{}
}

// entry is a key's value.
type entry struct {
	// value has a revision above zero.
	value egret.Value

	// lease removes the key when it ends. Zero keeps it.
	lease egret.LeaseID
}

// lease is a grant that has not ended.
type lease struct {
	// ttl is the time from the last renewal to the end.
	ttl time.Duration

	// end is when the lease ends.
	end time.Time
}

// get returns the value and a channel that is closed at the next change of any key.
func (k *keys) get(key string) (egret.Value, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.values[key].value, k.changed
}

// swap writes the value if the key has the revision.
func (k *keys) swap(key string, revision uint64, data []byte, id egret.LeaseID) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(data) > maxValueBytes {
		return 0, errTooLarge
	}
	if id != 0 && k.leases[id].ttl == 0 {
		return 0, egret.ErrLeaseLapsed
	}
	if k.values[key].value.Revision != revision {
		return 0, egret.ErrConflict
	}
	if k.values == nil {
		k.values = make(map[string]entry)
	}
	k.revision++
	k.values[key] = entry{
		value: egret.Value{
			Revision: k.revision,
			Data:     slices.Clone(data),
		},
		lease: id,
	}
	k.announce()
	return k.revision, nil
}

// grant opens a lease.
func (k *keys) grant(now time.Time, ttl time.Duration) egret.LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		k.leases = make(map[egret.LeaseID]lease)
	}
	k.lastLease++
	k.leases[k.lastLease] = lease{
		ttl: ttl,
		end: now.Add(ttl),
	}
	return k.lastLease
}

// renew extends a lease.
func (k *keys) renew(now time.Time, id egret.LeaseID) error {
	k.expire(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	l, found := k.leases[id]
	if !found {
		return egret.ErrLeaseLapsed
	}
	l.end = now.Add(l.ttl)
	k.leases[id] = l
	return nil
}

// expire ends the leases that are over and removes their keys.
func (k *keys) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, l := range k.leases {
		if now.Before(l.end) {
			continue
		}
		delete(k.leases, id)
		k.remove(id)
	}
}

// remove drops the keys of a lease. The caller holds mu.
func (k *keys) remove(id egret.LeaseID) {
	for key, e := range k.values {
		if e.lease != id {
			continue
		}
		delete(k.values, key)
		k.revision++
		k.announce()
	}
}

// announce wakes the watches. The caller holds mu.
func (k *keys) announce() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}
