package egret

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors that callers of a Keyspace handle separately. Test for them with errors.Is.
const (
	// ErrCompacted reports that the store doesn't have the changes after the requested revision, as it has dropped them or
	// has been restored from an older copy.
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

	// Revision is the revision of the key's last change, in the era in which it was read. Its number is zero if the key
	// doesn't exist.
	Revision Revision

	// Removed is set if the change removed the key.
	Removed bool
}

// StoreLease is a lease of the platform's store. The zero value stands for none.
type StoreLease struct {
	// ID identifies the lease in its era.
	ID LeaseID

	// Era is the era of the store in which the lease was granted.
	Era uint64
}

// Keyspace is a client of the platform's store that lists and watches keys by prefix. Reads are
// linearizable.
//
// A call whose response is lost may still take effect later, if its condition holds at that time. After a restore of the
// store, that condition is compared with a number that may have been given out again.
type Keyspace interface {
	// Read returns the item at the key. The number of its revision is zero if the key doesn't
	// exist.
	Read(ctx context.Context, key string) (Item, error)

	// List returns the items with the prefix and a revision to watch from. The items may lack changes
	// made during the call, but a watch from the revision reports them.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)

	// Watch waits up to wait for changes below the prefix after the revision. It returns them and
	// the revision for the next call. It is not an error if there are none in this time.
	// ErrCompacted, as the cause of an error, means that the caller must call List again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)

	// CompareAndSwap writes the key if the number of its revision is still the given one, where zero means that the
	// key doesn't exist, and returns the new revision. ErrConflict, as the cause of an error, means that
	// nothing was written. If the era of the returned revision is another than the given one's, the key may have had
	// another value than the caller knew.
	CompareAndSwap(ctx context.Context, key string, revision Revision, data []byte, lease StoreLease) (Revision, error)

	// Grant creates a store lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (StoreLease, error)

	// Renew extends a store lease. ErrLeaseExpired, as the cause of an error, means that it has
	// expired, or that the store was restored since: the ID may belong to another process then.
	Renew(ctx context.Context, l StoreLease) error

	// Revoke ends a store lease and removes its keys.
	Revoke(ctx context.Context, l StoreLease) error
}

// Promoter promotes members to primaries.
type Promoter interface {
	// Promote makes the member the primary of the service's next term. The token is the fencing
	// token, which increases with each new holder of the service. ErrRefused, as the cause of an
	// error, means that the promotion was refused and nothing has changed.
	Promote(ctx context.Context, service, member, holder string, token uint64) error
}
