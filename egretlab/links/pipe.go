package links

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

const (
	// chunkBytes is how much is read at once.
	chunkBytes = 16 << 10

	// queueChunks bounds what is on the way in one direction.
	queueChunks = 64

	// coarseSleep is how much of a wait is left to the precise timer.
	coarseSleep = 2 * time.Millisecond
)

// chunk is data on its way.
type chunk struct {
	// data is what arrives. It is nil at the end of the stream.
	data []byte

	// err is why the stream broke, or nil.
	err error

	// due is when it arrives.
	due time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	// source and target are the ends.
	source, target *net.TCPConn

	// latency returns the time on the way.
	latency func() time.Duration

	// last is when the last chunk is due. Later ones don't overtake it.
	last time.Time

	// opened is when the connection is open for the side that sends, as the handshake takes a
	// round trip.
	opened time.Time

	// limiter is shared by all pipes between two regions in one direction. It may be nil.
	limiter *rate.Limiter

	// gate is that of the link's direction.
	gate *gate

	// count takes the bytes that have passed.
	count func(n int)

	// lost says that the sender has reset the connection, so that nobody sends again what was on the
	// way.
	lost atomic.Bool
}

// run moves the stream until its end or an error.
func (p *pipe) run(ctx context.Context) error {
	queue := make(chan chunk, queueChunks)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer close(queue)
		p.read(ctx, queue)
	}()
	return p.write(ctx, queue)
}

// read puts chunks into the queue with the times when they are due, the end of the stream too: a cut
// holds it back like all else.
func (p *pipe) read(ctx context.Context, queue chan<- chunk) {
	for {
		data := make([]byte, chunkBytes)
		n, err := p.source.Read(data)
		c := chunk{
			due: p.due(n),
		}
		switch {
		case err == nil:
			c.data = data[:n]
		case !errors.Is(err, io.EOF):
			c.err = errors.Trace(err)
			p.lost.Store(true)
		}
		select {
		case queue <- c:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// due returns when n bytes that are sent now arrive.
func (p *pipe) due(n int) time.Time {
	now := time.Now()
	if now.Before(p.opened) {
		now = p.opened
	}
	if p.limiter != nil && n > 0 {
		now = now.Add(p.limiter.ReserveN(now, n).DelayFrom(now))
	}
	due := now.Add(p.latency())
	if due.Before(p.last) {
		due = p.last
	}
	p.last = due
	return due
}

// write hands chunks on when they are due.
func (p *pipe) write(ctx context.Context, queue <-chan chunk) error {
	for c := range queue {
		sleepUntil(c.due)
		for closed := p.gate.wait(); closed != nil; closed = p.gate.wait() {
			select {
			case <-closed:
			case <-ctx.Done():
				return nil
			}
		}
		if c.err != nil {
			return c.err
		}
		if p.lost.Load() {
			continue
		}
		if c.data == nil {
			return errors.Trace(p.target.CloseWrite())
		}
		if _, err := p.target.Write(c.data); err != nil {
			return errors.Trace(err)
		}
		p.count(len(c.data))
	}
	return nil
}

// sleepUntil waits more precisely than the runtime's timers, which round to a millisecond.
func sleepUntil(t time.Time) {
	left := time.Until(t)
	if left > coarseSleep {
		time.Sleep(left - coarseSleep)
		left = time.Until(t)
	}
	// The runtime preempts with signals, each of which ends a sleep early.
	for left > 0 {
		wait := syscall.NsecToTimespec(left.Nanoseconds())
		if err := syscall.Nanosleep(&wait, nil); err != nil && !errors.Is(err, syscall.EINTR) {
			// The runtime's timer is late, never early.
			time.Sleep(left)
		}
		left = time.Until(t)
	}
}
