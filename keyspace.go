package egret

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Causes that callers of a Keyspace tell apart. Test with errors.Is.
const (
	// ErrHistoryGone says that changes after the asked revision are no longer known.
	ErrHistoryGone = errors.ConstError("the store has dropped this history")

	// ErrNotServed says that the store refused the call and nothing was done.
	ErrNotServed = errors.ConstError("the store refused the call")
)

// Item is a key of the platform's store with its value.
type Item struct {
	// Key is the full name.
	Key string

	// Data is the value. It is nil if the key was removed.
	Data []byte

	// Revision is that of the key's last change. It is zero if the key doesn't exist.
	Revision uint64

	// Removed says that the change was a removal.
	Removed bool
}

// Keyspace is the platform's store, by prefix. Reads are linearizable.
//
// A call whose answer is lost may still be carried out later, if its condition holds then.
type Keyspace interface {
	// Read returns the key's item, with revision zero if it doesn't exist.
	Read(ctx context.Context, key string) (Item, error)

	// List returns the items below the prefix and a revision to watch from. Changes that happen
	// while it runs may be missing from the items, but not from a watch after the revision.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)

	// Changes waits for changes below the prefix after the revision, and returns them with the
	// revision to go on from. No changes within the time is no error. ErrHistoryGone, as the cause,
	// asks for a new List.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)

	// Swap writes the key if its revision is still the given one, zero standing for absence, and
	// returns the new revision. ErrConflict, as the cause, says that it did not.
	Swap(ctx context.Context, key string, revision uint64, data []byte, lease LeaseID) (uint64, error)

	// Grant opens a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew extends a lease. ErrLeaseLapsed, as the cause, says that it has ended.
	Renew(ctx context.Context, id LeaseID) error

	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Promoter makes members primaries.
type Promoter interface {
	// Promote makes the member lead the service's next term. The token rises with each holder of the
	// duty. ErrNotServed, as the cause, says that the member was refused and nothing changes.
	Promote(ctx context.Context, service, member, holder string, token uint64) error
}
