package kvsim

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Mode is a fault of the store.
type Mode string

// The faults.
const (
	// ModeNone is no fault.
	ModeNone Mode = "none"

	// ModeDown refuses all calls and ends the waiting watches.
	ModeDown Mode = "down"

	// ModeSlow delays all calls before they take effect. A change takes effect even if its caller
	// has stopped waiting.
	ModeSlow Mode = "slow"

	// ModeLoseAnswer lets changes take effect and then answers UNAVAILABLE. Reads are answered.
	ModeLoseAnswer Mode = "lose-answer"
)

// errDown is the answer of a store that is down, and of one that has lost the answer.
var errDown = status.Error(codes.Unavailable, "the store is down")

// faults holds the fault in force. The zero faults has none.
type faults struct {
	// mu guards the fields below.
	mu sync.Mutex

	// mode is the fault in force. It is empty for none.
	mode Mode

	// delay is how long ModeSlow holds a call back.
	delay time.Duration

	// changed is closed when the fault changes.
	changed chan struct{}
}

// Break sets the fault in force. The delay counts for ModeSlow only.
func (s *Server) Break(m Mode, delay time.Duration) error {
	switch m {
	case ModeNone, ModeDown, ModeSlow, ModeLoseAnswer:
	default:
		return errors.NotValidf("mode %q (none, down, slow, lose-answer)", m)
	}
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
	f.delay = delay
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
	return nil
}

// now returns the fault in force and a channel that is closed when it changes.
func (f *faults) now() (Mode, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.mode, f.delay, f.changed
}

// intercept counts a call and applies the fault in force to it.
func (s *Server) intercept(ctx context.Context, r any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	k := kindOf(info.FullMethod)
	done, err := s.calls.begin(k, time.Now())
	if err != nil {
		return nil, err
	}
	defer done()
	err = s.faults.delayCall(ctx, k)
	if err != nil {
		return nil, err
	}
	bound, cancel := s.faults.bind(ctx)
	defer cancel()
	reply, err := next(bound, r)
	if bound.Err() != nil {
		return nil, errDown
	}
	mode, _, _ := s.faults.now()
	if mode == ModeLoseAnswer && k.isWrite() {
		return nil, errDown
	}
	return reply, err
}

// delayCall refuses or holds back a call before it takes effect.
func (f *faults) delayCall(ctx context.Context, k kind) error {
	mode, delay, changed := f.now()
	if mode == ModeDown {
		return errDown
	}
	if mode != ModeSlow {
		return nil
	}
	gone := ctx.Done()
	if k.isWrite() {
		gone = nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-changed:
		return f.delayCall(ctx, k)
	case <-gone:
		return status.FromContextError(ctx.Err()).Err()
	}
}

// bind returns a context that also ends when the fault changes to ModeDown.
func (f *faults) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			mode, _, changed := f.now()
			if mode == ModeDown {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

// kindOf returns the kind of call of a method's full name.
func kindOf(method string) kind {
	return kind(method[strings.LastIndexByte(method, '/')+1:])
}
