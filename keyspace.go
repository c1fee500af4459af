package egret

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors that callers of a Keyspace handle separately. Test for them with errors.Is.
const (
	// ErrCompacted reports that the store no longer has the changes after the requested revision.
	ErrCompacted = errors.ConstError("the store no longer has these changes")

	// ErrRefused reports that the platform refused a call, to its store or to a Promoter, and changed
	// nothing.
	ErrRefused = errors.ConstError("the store refused the call")
)

// Item is a key of the platform's store and its value.
type Item struct {
	// Key is the full key, with the prefix.
	Key string

	// Data is the value. It is nil if the key was removed.
	Data []byte

	// Revision is the revision of the key's last change. It is zero if the key doesn't exist.
	Revision uint64

	// Removed is set if the change removed the key.
	Removed bool
}

// Keyspace is a client of the platform's store that lists and watches keys by prefix. Reads are
// linearizable.
//
// A call whose response is lost may still take effect later, if its condition holds at that time.
type Keyspace interface {
	// Read returns the item at the key. Its revision is zero if the key doesn't exist.
	Read(ctx context.Context, key string) (Item, error)

	// List returns the items with the prefix and a revision to watch from. The items may lack changes
	// made during the call, but a watch from the revision reports them.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)

	// Watch waits up to wait for changes below the prefix after the revision. It returns them and
	// the revision for the next call. It is not an error if there are none in this time.
	// ErrCompacted, as the cause of an error, means that the caller must call List again.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)

	// CompareAndSwap writes the key if its revision is still the given one, where zero means that the key
	// doesn't exist, and returns the new revision. ErrConflict, as the cause of an error, means that
	// nothing was written.
	CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte, lease LeaseID) (uint64, error)

	// Grant creates a store lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew extends a store lease. ErrLeaseExpired, as the cause of an error, means that it has
	// expired.
	Renew(ctx context.Context, id LeaseID) error

	// Revoke ends a store lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Promoter promotes members to primaries.
type Promoter interface {
	// Promote makes the member the primary of the service's next term. The token is the fencing
	// token, which increases with each new holder of the service. ErrRefused, as the cause of an
	// error, means that the promotion was refused and nothing has changed.
	Promote(ctx context.Context, service, member, holder string, token uint64) error
}
