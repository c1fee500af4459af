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

// maxChunkBytes is the maximum size of the part of an answer that one reply carries.
const maxChunkBytes = 32 << 10

// Server serves the lanes of this proxy to other proxies.
type Server struct {
	lanepb.UnimplementedLaneServer

	// Lanes gives access to the lanes that this proxy holds.
	Lanes egret.Lanes

	// Positions looks up the positions of groups.
	Positions egret.Positions
}

// Transact runs one transaction on a lane of this proxy. The stream's first request has the options.
func (s *Server) Transact(stream grpc.BidiStreamingServer[lanepb.TransactRequest, lanepb.TransactReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	opening := first.GetOpening()
	if opening == nil {
		return status.Error(codes.InvalidArgument, "the first request is no opening")
	}
	t, err := s.Lanes.Begin(stream.Context(), optionsFromProto(opening))
	if err != nil {
		return stream.Send(failureReply(egret.FailureOf(err)))
	}
	defer t.Close()
	batches := make(chan egret.Batch)
	go receiveRequests(stream, t, batches)
	for b := range batches {
		if err := runBatch(stream, t, b); err != nil {
			return err
		}
	}
	return nil
}

// receiveRequests sends the batches of the stream to batches, in order, and cancels the running statement as soon as
// a cancel arrives. It returns when the stream ends, and closes batches.
func receiveRequests(stream grpc.BidiStreamingServer[lanepb.TransactRequest, lanepb.TransactReply], t egret.Transaction, batches chan<- egret.Batch) {
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
			case batches <- batchFromProto(k.Batch):
			case <-stream.Context().Done():
				return
			}
		}
	}
}

// runBatch runs a batch and sends its answer or failure. It returns an error only if the stream has failed.
func runBatch(stream grpc.BidiStreamingServer[lanepb.TransactRequest, lanepb.TransactReply], t egret.Transaction, b egret.Batch) error {
	done, err := t.Exchange(stream.Context(), b, func(messages []byte) error {
		for chunk := range slices.Chunk(messages, maxChunkBytes) {
			if err := stream.Send(chunkReply(chunk)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return stream.Send(failureReply(egret.FailureOf(err)))
	}
	return stream.Send(resultReply(done))
}

// GetLoad returns the load of a member as its lane reports it.
func (s *Server) GetLoad(ctx context.Context, r *lanepb.GetLoadRequest) (*lanepb.Load, error) {
	load, err := s.Lanes.Load(ctx, r.Member)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return loadToProto(load), nil
}

// Confirm looks up the position of a group.
func (s *Server) Confirm(ctx context.Context, r *lanepb.ConfirmRequest) (*lanepb.Position, error) {
	p, err := s.Positions.ConfirmedPosition(ctx, r.Group)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return positionToProto(p), nil
}
