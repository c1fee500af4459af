package egret

import (
	"context"
	"time"
)

// Holding is the right to use the primary of a service. One process at a time has it.
type Holding interface {
	// Valid reports whether the right is in force now. It lapses by itself, suspensions of the
	// process included.
	Valid() bool

	// Left returns how long the right stays in force without a renewal.
	Left() time.Duration

	// Token rises with each holder of the service.
	Token() uint64

	// Holder names the process towards the platform.
	Holder() string

	// Primary returns the member that was made primary last, or "" if none ever was.
	Primary() string

	// SetPrimary records that the member is about to be made primary. Later holders take no other
	// member for the primary.
	SetPrimary(ctx context.Context, member string) error
}
