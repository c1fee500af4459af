package egret

import (
	"context"
	"time"
)

// Holding is an exclusive right, limited in time, to use the primary of a service. At most one
// process holds it at a time.
type Holding interface {
	// Valid reports whether the right is in force. It expires without a renewal, also while the
	// process is suspended.
	Valid() bool

	// Left returns how long the right remains in force without a renewal.
	Left() time.Duration

	// Token returns the fencing token. It increases with each new holder of the service.
	Token() uint64

	// Holder returns the name by which the platform knows this process.
	Holder() string

	// Primary returns the member that was promoted last, or "" if none ever was.
	Primary() string

	// SetPrimary records that the member is about to be promoted. Later holders treat no other member
	// as the primary.
	SetPrimary(ctx context.Context, member string) error
}
