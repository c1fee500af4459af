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
	// registrationTTL is how long a proxy that has ended stays registered. No lease on a service expires with a
	// registration. Registrations determine the order in which processes try to acquire such a lease, and which
	// processes are chosen as its voters, as observers of the store and for indirect probes.
	registrationTTL = 20 * time.Second

	// renewInterval leaves time for two more tries before a registration expires.
	renewInterval = 6 * time.Second

	// retryInterval is the base delay after a failed registration. It doubles with each further failure
	// up to maxRetryInterval. A registration is not urgent, as no lease on a service expires with it, and in
	// an outage of the store all processes pay for the calls.
	retryInterval    = 500 * time.Millisecond
	maxRetryInterval = 4 * time.Second

	// firstListTimeout is how long a process that starts waits for the first list of the fleet's keys before it registers.
	firstListTimeout = 2 * time.Second
)

// keepRegistered registers this process and renews the store lease of its registration until the context is
// canceled or the process leaves.
func (f *Fleet) keepRegistered(ctx context.Context) error {
	data, err := json.Marshal(f.Self)
	if err != nil {
		return err
	}
	f.awaitFirstRegistration(ctx)
	storeLease := egret.StoreLease{}
	retryDelay := retryInterval
	for ctx.Err() == nil && !f.Leaving() {
		delay := renewInterval
		if storeLease != (egret.StoreLease{}) {
			err = f.Keys.Renew(ctx, storeLease)
		}
		if storeLease == (egret.StoreLease{}) || errors.Is(err, egret.ErrLeaseExpired) || !f.registered() {
			storeLease, err = f.writeRegistration(ctx, data)
		}
		if err != nil {
			delay = retryDelay/2 + rand.N(retryDelay)
			retryDelay = min(2*retryDelay, maxRetryInterval)
		} else {
			retryDelay = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-f.leaveStarted:
		case <-f.storeRestored:
		case <-time.After(delay):
		}
	}
	// After a restore of the store, the ID of the lease may belong to another process.
	if storeLease != (egret.StoreLease{}) && storeLease.Era == f.era() {
		ctx, cancel := context.WithTimeout(context.Background(), retryInterval)
		defer cancel()
		// If the call fails, the store lease expires.
		_ = f.Keys.Revoke(ctx, storeLease)
	}
	return nil
}

// awaitFirstRegistration waits until this process should register: at once if the store has no registration of the node,
// and else up to renewInterval later. That of an earlier process says the same but for the incarnation, and is in force for
// longer, while many registrations at once, as after a loss of power, fill the network links of the fleet.
func (f *Fleet) awaitFirstRegistration(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.leaveStarted:
	case <-f.firstList:
	case <-time.After(firstListTimeout):
	}
	f.mu.Lock()
	n, found := f.nodes[f.Self.ID]
	f.mu.Unlock()
	n.Incarnation = f.Self.Incarnation
	if !found || n != f.Self {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.leaveStarted:
	case <-f.storeRestored:
	case <-time.After(rand.N(renewInterval)):
	}
}

// registered reports whether the store, as last seen by the watch, has the registration of this process.
func (f *Fleet) registered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, found := f.nodes[f.Self.ID]
	return found && n.Incarnation == f.Self.Incarnation
}

// era returns the era of the store, as last seen by the watch.
func (f *Fleet) era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedAt.Era
}

// writeRegistration writes the registration under a new store lease and returns that.
func (f *Fleet) writeRegistration(ctx context.Context, data []byte) (egret.StoreLease, error) {
	storeLease, err := f.Keys.Grant(ctx, registrationTTL)
	if err != nil {
		return egret.StoreLease{}, err
	}
	key := nodesPrefix + f.Self.ID
	f.mu.Lock()
	known := f.ownRevision
	f.mu.Unlock()
	_, err = f.Keys.CompareAndSwap(ctx, key, known, data, storeLease)
	if errors.Is(err, egret.ErrConflict) {
		// The watch has not shown the last change of the registration yet.
		item, readErr := f.Keys.Read(ctx, key)
		if readErr != nil {
			return egret.StoreLease{}, readErr
		}
		_, err = f.Keys.CompareAndSwap(ctx, key, item.Revision, data, storeLease)
	}
	f.EventLog.Event("registered").Str("node", f.Self.ID).Uint64("lease", uint64(storeLease.ID)).Err(err).Msg("tried to register this process")
	if err != nil {
		return egret.StoreLease{}, err
	}
	return storeLease, nil
}
