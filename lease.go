package egret

import (
	"context"
	"time"
)

// ServiceLease is an exclusive right, limited in time, to use the primary of a service. At most one
// process holds it at a time.
type ServiceLease interface {
	// Valid reports whether the right is in force. It expires without a renewal, also while the
	// process is suspended.
	Valid() bool

	// Remaining returns how long the right remains in force without a renewal.
	Remaining() time.Duration

	// FencingToken returns the fencing token. It increases with each new holder of the service.
	FencingToken() uint64

	// HolderName returns the name by which the platform knows this process.
	HolderName() string

	// Primary returns the member that was promoted last, or "" if none ever was.
	Primary() string

	// SetPrimary records that the member is about to be promoted. Later holders treat no other member
	// as the primary.
	SetPrimary(ctx context.Context, member string) error
}
