package kvsim

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// maxValueBytes is the largest size of a value.
const maxValueBytes = 1 << 20

// errTooLarge is returned for a value larger than maxValueBytes.
const errTooLarge = errors.ConstError("the value is larger than a megabyte")

// keys holds the values and the leases. The zero value is empty and ready to use.
type keys struct {
	// mu guards the fields below.
	mu sync.Mutex

	// revision is the revision of the last change of any key. It never decreases.
	revision uint64

	// lastLease is the ID of the last lease that was granted.
	lastLease egret.LeaseID

	// values has an entry for each key with a value.
	values map[string]entry

	// leases has the leases that have not been removed.
	leases map[egret.LeaseID]lease

	// changed is closed at the next change of any key.
	changed chan struct{}
}

// entry is the value of a key.
type entry struct {
	// value is the value. Its revision is above zero.
	value egret.Value

	// lease is the lease whose expiry removes the key, or 0.
	lease egret.LeaseID
}

// lease is a lease that has not been removed.
type lease struct {
	// ttl is the time from the grant or the last renewal to the expiry.
	ttl time.Duration

	// expiresAt is the time of the expiry.
	expiresAt time.Time
}

// get returns the value of a key and a channel that is closed at the next change of any key.
func (k *keys) get(key string) (egret.Value, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.values[key].value, k.changed
}

// swap writes the value if the key has the revision, and returns the new revision. A lease ID other than 0
// attaches the key to the lease.
func (k *keys) swap(key string, revision uint64, data []byte, id egret.LeaseID) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(data) > maxValueBytes {
		return 0, errTooLarge
	}
	if id != 0 && k.leases[id].ttl == 0 {
		return 0, egret.ErrLeaseExpired
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
	k.wakeWatches()
	return k.revision, nil
}

// grant adds a lease and returns its ID.
func (k *keys) grant(now time.Time, ttl time.Duration) egret.LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases == nil {
		k.leases = make(map[egret.LeaseID]lease)
	}
	k.lastLease++
	k.leases[k.lastLease] = lease{
		ttl:       ttl,
		expiresAt: now.Add(ttl),
	}
	return k.lastLease
}

// renew sets the expiry of a lease to its TTL from now.
func (k *keys) renew(now time.Time, id egret.LeaseID) error {
	k.expireLeases(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	l, found := k.leases[id]
	if !found {
		return egret.ErrLeaseExpired
	}
	l.expiresAt = now.Add(l.ttl)
	k.leases[id] = l
	return nil
}

// expireLeases removes the expired leases and their keys.
func (k *keys) expireLeases(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, l := range k.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(k.leases, id)
		k.removeKeysOf(id)
	}
}

// removeKeysOf removes the keys that are attached to a lease. The caller holds mu.
func (k *keys) removeKeysOf(id egret.LeaseID) {
	for key, e := range k.values {
		if e.lease != id {
			continue
		}
		delete(k.values, key)
		k.revision++
		k.wakeWatches()
	}
}

// wakeWatches makes the waiting watches look at their keys again. The caller holds mu.
func (k *keys) wakeWatches() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}
