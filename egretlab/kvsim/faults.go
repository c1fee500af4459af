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

// Mode is an injected fault of the store.
type Mode string

// The faults.
const (
	// ModeNone is no fault.
	ModeNone Mode = "none"

	// ModeDown fails all calls, those in progress included.
	ModeDown Mode = "down"

	// ModeSlow delays all calls before they take effect. A write takes effect even if its caller has
	// given up meanwhile.
	ModeSlow Mode = "slow"

	// ModeLoseAnswer lets writes take effect and then answers UNAVAILABLE. Reads are answered.
	ModeLoseAnswer Mode = "lose-answer"
)

// errDown is the answer of a store that is down, and the one in place of a lost answer.
var errDown = status.Error(codes.Unavailable, "the store is down")

// faults holds the fault in force. The zero value has none.
type faults struct {
	// mu guards the fields below.
	mu sync.Mutex

	// mode is the fault in force. It is empty for none.
	mode Mode

	// delay is how long ModeSlow delays a call.
	delay time.Duration

	// changed is closed when the fault changes.
	changed chan struct{}
}

// SetFault sets the fault in force. The delay applies to ModeSlow only.
func (s *Server) SetFault(m Mode, delay time.Duration) error {
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

// current returns the fault in force, its delay and a channel that is closed when the fault changes.
func (f *faults) current() (Mode, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.mode, f.delay, f.changed
}

// intercept counts a call, limits its rate and applies the fault in force to it.
func (s *Server) intercept(ctx context.Context, r any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	method := rpcOf(info.FullMethod)
	end, err := s.calls.begin(method, time.Now())
	if err != nil {
		return nil, err
	}
	defer end()
	err = s.faults.admit(ctx, method)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := s.faults.cancelWhenDown(ctx)
	defer cancel()
	reply, err := handler(callCtx, r)
	if callCtx.Err() != nil {
		return nil, errDown
	}
	mode, _, _ := s.faults.current()
	if mode == ModeLoseAnswer && method.isWrite() {
		return nil, errDown
	}
	return reply, err
}

// admit returns an error or delays a call before it takes effect, as the fault in force says. If the fault
// changes during the delay, the new one applies. A write is delayed even after its caller has given up.
func (f *faults) admit(ctx context.Context, method rpc) error {
	mode, delay, changed := f.current()
	if mode == ModeDown {
		return errDown
	}
	if mode != ModeSlow {
		return nil
	}
	canceled := ctx.Done()
	if method.isWrite() {
		canceled = nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-changed:
		return f.admit(ctx, method)
	case <-canceled:
		return status.FromContextError(ctx.Err()).Err()
	}
}

// cancelWhenDown returns a copy of the context that is also canceled when the fault is ModeDown.
func (f *faults) cancelWhenDown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			mode, _, changed := f.current()
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

// rpcOf returns the method that a full method name, such as "/package.Service/Method", ends with.
func rpcOf(fullMethod string) rpc {
	return rpc(fullMethod[strings.LastIndexByte(fullMethod, '/')+1:])
}
