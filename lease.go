package egret

import (
	"context"
	"net/netip"
	"time"
)

// KnownMember identifies a member's process.
type KnownMember struct {
	// ID is the member's ID.
	ID string `json:"id"`

	// StartTime is the start time of the process.
	StartTime time.Time `json:"start-time"`

	// Address is where the member accepts connections.
	Address netip.AddrPort `json:"address"`

	// Draining says that the member has reported that it will shut down. Its log is transferred to its successor at the
	// address.
	Draining bool `json:"draining,omitempty"`
}

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

	// Members returns the members that may have acknowledged commits, sorted by ID, as recorded last.
	Members() []KnownMember

	// SetMembers records the members that may have acknowledged commits, for later holders.
	SetMembers(ctx context.Context, members []KnownMember) error

	// SetPrimary records that the member is about to be promoted. Later holders treat no other member
	// as the primary.
	SetPrimary(ctx context.Context, member string) error
}
