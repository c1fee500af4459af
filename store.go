package egret

import (
	"context"
	"net/netip"
	"time"
)

// Value is a key's value in the platform's store.
type Value struct {
	// Revision rises with each change of the key. It is zero if the key has no value.
	Revision uint64

	// Data is the value, at most a megabyte.
	Data []byte
}

// Store is the platform's key-value service.
//
// A call whose answer is lost may have taken effect. ErrConflict, as the cause of an error, says
// that a compare-and-swap did not.
type Store interface {
	// Get returns the key's value.
	Get(ctx context.Context, key string) (Value, error)

	// CompareAndSwap writes the value if the key's revision is still the given one. It returns
	// the new revision. A lease other than zero removes the key when the lease ends.
	CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte, lease LeaseID) (uint64, error)

	// Watch waits for a revision above after and returns its value. It ends with the context.
	Watch(ctx context.Context, key string, after uint64) (Value, error)

	// Grant opens a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew extends a lease. ErrLeaseLapsed, as the cause, says that it has ended.
	Renew(ctx context.Context, id LeaseID) error
}

// LeaseID names a lease of the store. Zero is no lease.
type LeaseID uint64

// VM is an entry of the platform's list of VMs.
type VM struct {
	// Name is the VM's name. For a proxy it is the node's ID, for a backend server the member's name.
	Name string

	// Address is where the VM is reached.
	Address netip.AddrPort

	// Region is the VM's region.
	Region string

	// Domain is the VM's failure domain.
	Domain string

	// Leaving says that the VM will go away soon.
	Leaving bool
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	// List returns the list as the platform has it now.
	List(ctx context.Context) ([]VM, error)
}
