package kvsim

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/storpb"
)

// service implements the store's gRPC service on the keys in memory.
type service struct {
	storpb.UnimplementedStoreServer

	keys *keys
}

// Get returns the value of a key.
func (s *service) Get(_ context.Context, r *storpb.GetRequest) (*storpb.Value, error) {
	v, _ := s.keys.get(r.GetKey())
	return toWire(v), nil
}

// CompareAndSwap writes the value if the key still has the given revision.
func (s *service) CompareAndSwap(_ context.Context, r *storpb.CompareAndSwapRequest) (*storpb.CompareAndSwapReply, error) {
	revision, err := s.keys.swap(r.GetKey(), r.GetRevision(), r.GetData(), egret.LeaseID(r.GetLease()))
	if err != nil {
		return nil, toStatus(err)
	}
	return &storpb.CompareAndSwapReply{
		Revision: revision,
	}, nil
}

// Watch waits for a revision above the given one. When the wait time is over it answers with the present
// value. The removal of the key doesn't end the wait.
func (s *service) Watch(ctx context.Context, r *storpb.WatchRequest) (*storpb.Value, error) {
	t := time.NewTimer(time.Duration(r.GetWaitMillis()) * time.Millisecond)
	defer t.Stop()
	for {
		v, changed := s.keys.get(r.GetKey())
		if v.Revision > r.GetAfter() {
			return toWire(v), nil
		}
		select {
		case <-changed:
		case <-t.C:
			return toWire(v), nil
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// Grant adds a lease.
func (s *service) Grant(_ context.Context, r *storpb.GrantRequest) (*storpb.GrantReply, error) {
	if r.GetTtlMillis() <= 0 {
		return nil, status.Error(codes.InvalidArgument, "a lease needs a time above zero")
	}
	id := s.keys.grant(time.Now(), time.Duration(r.GetTtlMillis())*time.Millisecond)
	return &storpb.GrantReply{
		Lease: uint64(id),
	}, nil
}

// Renew extends a lease by its TTL from now.
func (s *service) Renew(_ context.Context, r *storpb.RenewRequest) (*storpb.RenewReply, error) {
	err := s.keys.renew(time.Now(), egret.LeaseID(r.GetLease()))
	if err != nil {
		return nil, toStatus(err)
	}
	return &storpb.RenewReply{}, nil
}

func toWire(v egret.Value) *storpb.Value {
	return &storpb.Value{
		Revision: v.Revision,
		Data:     v.Data,
	}
}

func toStatus(err error) error {
	switch err {
	case egret.ErrConflict:
		return status.Error(codes.Aborted, err.Error())
	case egret.ErrLeaseExpired:
		return status.Error(codes.NotFound, err.Error())
	default:
		return status.Error(codes.InvalidArgument, err.Error())
	}
}
