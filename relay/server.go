package relay

import (
	"context"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

// chunkSize is how many bytes of an answer one reply carries at most.
const chunkSize = 32 << 10

// Server serves the lanes of this proxy to other proxies.
type Server struct {
	lanepb.UnimplementedLaneServer

	// Lanes are the lanes that this proxy holds.
	Lanes egret.Lanes

	// Positions looks up groups' positions.
	Positions egret.Positions
}

// Transact carries one transaction.
func (s *Server) Transact(stream grpc.BidiStreamingServer[lanepb.TransactRequest, lanepb.TransactReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	opening := first.GetOpening()
	if opening == nil {
		return status.Error(codes.InvalidArgument, "the first request is no opening")
	}
	t, err := s.Lanes.Begin(stream.Context(), openingFrom(opening))
	if err != nil {
		return stream.Send(failureTo(egret.FailureOf(err)))
	}
	defer t.Close()
	batches := make(chan egret.Batch)
	go receive(stream, t, batches)
	for b := range batches {
		if err := answer(stream, t, b); err != nil {
			return err
		}
	}
	return nil
}

// receive hands on batches in order, and cancels as they come. It ends with the stream.
func receive(stream grpc.BidiStreamingServer[lanepb.TransactRequest, lanepb.TransactReply], t egret.Transaction, batches chan<- egret.Batch) {
	defer close(batches)
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		switch k := r.Kind.(type) {
		case *lanepb.TransactRequest_Cancel:
			t.Cancel()
		case *lanepb.TransactRequest_Batch:
			select {
			case batches <- batchFrom(k.Batch):
			case <-stream.Context().Done():
				return
			}
		}
	}
}

// answer runs a batch and sends its answer. An error says that the stream has failed.
func answer(stream grpc.BidiStreamingServer[lanepb.TransactRequest, lanepb.TransactReply], t egret.Transaction, b egret.Batch) error {
	done, err := t.Exchange(stream.Context(), b, func(messages []byte) error {
		for chunk := range slices.Chunk(messages, chunkSize) {
			if err := stream.Send(chunkTo(chunk)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return stream.Send(failureTo(egret.FailureOf(err)))
	}
	return stream.Send(completionTo(done))
}

// GetLoad returns the lane's view of a member.
func (s *Server) GetLoad(ctx context.Context, r *lanepb.GetLoadRequest) (*lanepb.Load, error) {
	load, err := s.Lanes.Load(ctx, r.Member)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return loadTo(load), nil
}

// Confirm looks up the position of a group.
func (s *Server) Confirm(ctx context.Context, r *lanepb.ConfirmRequest) (*lanepb.Position, error) {
	p, err := s.Positions.Confirm(ctx, r.Group)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return positionTo(p), nil
}
