package egret

import (
	"context"
	"time"
)

// ServiceLease is the lease on a service: the exclusive right, limited in time, to use the service's
// members. At most one process, the holder, has it at a time.
type ServiceLease interface {
	// Valid reports whether this process holds the lease and it hasn't expired. It expires without a
	// renewal, also while the process is suspended.
	Valid() bool

	// Remaining returns how long the lease stays valid without a renewal.
	Remaining() time.Duration

	// FencingToken returns the fencing token. It increases with each new holder of the service.
	FencingToken() uint64

	// HolderName returns the name by which the platform knows this process.
	HolderName() string

	// Primary returns the member that was promoted last, or "" if none ever was.
	Primary() string

	// PrimaryUncertain reports that the platform's store was restored from an older copy since Primary was recorded, so
	// that another member may have been promoted last.
	PrimaryUncertain() bool

	// SetPrimary records that the member is about to be promoted. Later holders treat no other member
	// as the primary.
	SetPrimary(ctx context.Context, member string) error
}
