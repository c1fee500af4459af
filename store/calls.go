package store

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/storpb"
)

// callKind is a kind of call. Its value is used in error messages and as a label of metrics.
type callKind string

// The kinds of calls.
const (
	kindGet            callKind = "get"
	kindCompareAndSwap callKind = "compare-and-swap"
	kindWatch          callKind = "watch"
	kindGrant          callKind = "grant"
	kindRenew          callKind = "renew"
)

// Get returns the key's value.
func (c *Client) Get(ctx context.Context, key string) (egret.Value, error) {
	v := egret.Value{}
	err := c.call(ctx, kindGet, c.timeout(), func(ctx context.Context, s storpb.StoreClient) error {
		r, err := s.Get(ctx, &storpb.GetRequest{
			Key: key,
		})
		v = valueFromProto(r)
		return err
	})
	return v, errors.Trace(err)
}

// CompareAndSwap writes the value if the key's revision is still the given one.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte, lease egret.LeaseID) (uint64, error) {
	written := uint64(0)
	err := c.call(ctx, kindCompareAndSwap, c.timeout(), func(ctx context.Context, s storpb.StoreClient) error {
		r, err := s.CompareAndSwap(ctx, &storpb.CompareAndSwapRequest{
			Key:      key,
			Revision: revision,
			Data:     data,
			Lease:    uint64(lease),
		})
		written = r.GetRevision()
		return err
	})
	return written, errors.Trace(err)
}

// Watch waits until the key's revision is higher than the given one and returns the value. It returns an error when
// the context ends or a call fails.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (egret.Value, error) {
	for {
		v, err := c.watchOnce(ctx, key, after)
		if err != nil {
			return egret.Value{}, errors.Trace(err)
		}
		if v.Revision > after {
			return v, nil
		}
	}
}

// watchOnce makes one long-poll request. The returned revision is not above the given one if the key hasn't changed
// within the long-poll timeout.
func (c *Client) watchOnce(ctx context.Context, key string, after uint64) (egret.Value, error) {
	v := egret.Value{}
	longPoll := c.longPollTimeout()
	err := c.call(ctx, kindWatch, longPoll+c.timeout(), func(ctx context.Context, s storpb.StoreClient) error {
		r, err := s.Watch(ctx, &storpb.WatchRequest{
			Key:        key,
			After:      after,
			WaitMillis: longPoll.Milliseconds(),
		})
		v = valueFromProto(r)
		return err
	})
	return v, errors.Trace(err)
}

// Grant creates a lease that expires when it has not been renewed for ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (egret.LeaseID, error) {
	id := egret.LeaseID(0)
	err := c.call(ctx, kindGrant, c.timeout(), func(ctx context.Context, s storpb.StoreClient) error {
		r, err := s.Grant(ctx, &storpb.GrantRequest{
			TtlMillis: ttl.Milliseconds(),
		})
		id = egret.LeaseID(r.GetLease())
		return err
	})
	return id, errors.Trace(err)
}

// Renew extends a lease.
func (c *Client) Renew(ctx context.Context, id egret.LeaseID) error {
	return c.call(ctx, kindRenew, c.timeout(), func(ctx context.Context, s storpb.StoreClient) error {
		_, err := s.Renew(ctx, &storpb.RenewRequest{
			Lease: uint64(id),
		})
		return err
	})
}

// classify adds egret.ErrConflict or egret.ErrLeaseExpired to errors that have that cause.
func classify(k callKind, err error) error {
	switch code := status.Code(err); {
	case k == kindCompareAndSwap && code == codes.Aborted:
		return errors.WithType(err, egret.ErrConflict)
	case k == kindCompareAndSwap && code == codes.NotFound, k == kindRenew && code == codes.NotFound:
		return errors.WithType(err, egret.ErrLeaseExpired)
	default:
		return err
	}
}

func valueFromProto(v *storpb.Value) egret.Value {
	return egret.Value{
		Revision: v.GetRevision(),
		Data:     v.GetData(),
	}
}
