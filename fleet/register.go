package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

const (
	// nodeTTL is how long a proxy that is gone stays registered. Only the order of candidates depends
	// on it.
	nodeTTL = 20 * time.Second

	// renewInterval leaves time for two more tries before a registration lapses.
	renewInterval = 6 * time.Second

	// retryInterval is the pause after a failed registration, and maxRetryInterval that after several.
	// Nothing but the order of candidates waits for it, and all processes pay for calls in an outage.
	retryInterval    = 500 * time.Millisecond
	maxRetryInterval = 4 * time.Second
)

// register keeps this process registered.
func (f *Fleet) register(ctx context.Context) error {
	data, err := json.Marshal(f.Self)
	if err != nil {
		return err
	}
	lease := egret.LeaseID(0)
	retry := retryInterval
	for ctx.Err() == nil && !f.Leaving() {
		pause := renewInterval
		if lease != 0 {
			err = f.Keys.Renew(ctx, lease)
		}
		if lease == 0 || errors.Is(err, egret.ErrLeaseLapsed) || !f.registered() {
			lease, err = f.announce(ctx, data)
		}
		if err != nil {
			pause = retry/2 + rand.N(retry)
			retry = min(2*retry, maxRetryInterval)
		} else {
			retry = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-f.left:
		case <-time.After(pause):
		}
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), retryInterval)
		defer cancel()
		// The lease ends by itself if the call fails.
		_ = f.Keys.Revoke(ctx, lease)
	}
	return nil
}

// registered reports whether the last watch showed this process's own registration.
func (f *Fleet) registered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, found := f.nodes[f.Self.ID]
	return found && n.Incarnation == f.Self.Incarnation
}

// announce writes the registration under a new lease.
func (f *Fleet) announce(ctx context.Context, data []byte) (egret.LeaseID, error) {
	lease, err := f.Keys.Grant(ctx, nodeTTL)
	if err != nil {
		return 0, err
	}
	key := nodesPrefix + f.Self.ID
	_, err = f.Keys.Swap(ctx, key, 0, data, lease)
	if errors.Is(err, egret.ErrConflict) {
		// A former process's registration has not lapsed yet.
		item, readErr := f.Keys.Read(ctx, key)
		if readErr != nil {
			return 0, readErr
		}
		_, err = f.Keys.Swap(ctx, key, item.Revision, data, lease)
	}
	f.Trail.Event("registered").Str("node", f.Self.ID).Uint64("lease", uint64(lease)).Err(err).Msg("this process registered itself")
	if err != nil {
		return 0, err
	}
	return lease, nil
}
