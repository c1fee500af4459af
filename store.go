package egret

import (
	"context"
	"net/netip"
	"time"
)

// Value is the value of a key in the platform's store.
type Value struct {
	// Revision increases with each change of the key. It is zero if the key has no value.
	Revision uint64

	// Data is the content, at most one megabyte.
	Data []byte
}

// Store is the platform's key-value store, accessed by single keys.
//
// A call whose response is lost may have taken effect. ErrConflict, as the cause of an error, means
// that a compare-and-swap wrote nothing.
type Store interface {
	// Get returns the value of the key.
	Get(ctx context.Context, key string) (Value, error)

	// CompareAndSwap writes the value if the key's revision is still the given one, and returns the
	// new revision. If lease is not zero, the key is removed when the lease expires.
	CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte, lease LeaseID) (uint64, error)

	// Watch waits until the key has a revision above after and returns its value. It returns early
	// when the context ends.
	Watch(ctx context.Context, key string, after uint64) (Value, error)

	// Grant creates a store lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew extends a store lease. ErrLeaseExpired, as the cause of an error, means that it has
	// expired.
	Renew(ctx context.Context, id LeaseID) error
}

// LeaseID identifies a store lease. Zero means none.
type LeaseID uint64

// VM is an entry in the platform's list of VMs.
type VM struct {
	// Name is the VM's name. It equals the node ID of a proxy and the member name of a backend
	// server.
	Name string

	// Address is the VM's network address.
	Address netip.AddrPort

	// Region is the VM's region.
	Region string

	// Domain is the VM's failure domain.
	Domain string

	// Leaving is set if the VM will be removed soon.
	Leaving bool
}

// VMList is the platform's list of running and leaving VMs. The list may be out of date.
type VMList interface {
	// List returns the platform's current list.
	List(ctx context.Context) ([]VM, error)
}
