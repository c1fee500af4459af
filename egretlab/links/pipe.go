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
	// chunkBytes is the most that is read at once.
	chunkBytes = 16 << 10

	// queueCapacity is the number of chunks that can be in flight in one direction of a connection.
	queueCapacity = 64

	// preciseSleepLimit is the part at the end of a wait for which sleepUntil uses the system's precise timer.
	preciseSleepLimit = 2 * time.Millisecond
)

// chunk is data in flight.
type chunk struct {
	// data is the payload. It is nil at the end of the stream.
	data []byte

	// err is the error that ended the stream, or nil.
	err error

	// due is the time of arrival.
	due time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	// source and target are the ends.
	source, target *net.TCPConn

	// latency returns the current one-way latency.
	latency func() time.Duration

	// lastDue is the due time of the last chunk. Later chunks aren't due before it, so that they don't overtake it.
	lastDue time.Time

	// openAt is when the connection is open for the sender, as the handshake takes a round trip. The zero value
	// sets no bound.
	openAt time.Time

	// limiter is shared by all pipes between two regions in one direction. It may be nil.
	limiter *rate.Limiter

	// gate is the gate of the link's direction.
	gate *gate

	// countBytes is called with the number of bytes of each relayed chunk.
	countBytes func(n int)

	// reset says that the sender has reset the connection. Data in flight is then dropped, as nothing would
	// retransmit it.
	reset atomic.Bool
}

// run relays the stream until its end or an error.
func (p *pipe) run(ctx context.Context) error {
	queue := make(chan chunk, queueCapacity)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer close(queue)
		p.read(ctx, queue)
	}()
	return p.write(ctx, queue)
}

// read queues the chunks of the stream with their due times. The end of the stream is queued too, as a cut holds it
// back like data.
func (p *pipe) read(ctx context.Context, queue chan<- chunk) {
	for {
		data := make([]byte, chunkBytes)
		n, err := p.source.Read(data)
		c := chunk{
			due: p.dueTime(n),
		}
		switch {
		case err == nil:
			c.data = data[:n]
		case !errors.Is(err, io.EOF):
			c.err = errors.Trace(err)
			p.reset.Store(true)
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

// dueTime returns when n bytes that are sent now arrive.
func (p *pipe) dueTime(n int) time.Time {
	now := time.Now()
	if now.Before(p.openAt) {
		now = p.openAt
	}
	if p.limiter != nil && n > 0 {
		now = now.Add(p.limiter.ReserveN(now, n).DelayFrom(now))
	}
	due := now.Add(p.latency())
	if due.Before(p.lastDue) {
		due = p.lastDue
	}
	p.lastDue = due
	return due
}

// write writes the chunks to the target when they are due and the gate is open.
func (p *pipe) write(ctx context.Context, queue <-chan chunk) error {
	for c := range queue {
		sleepUntil(c.due)
		for reopened := p.gate.untilOpen(); reopened != nil; reopened = p.gate.untilOpen() {
			select {
			case <-reopened:
			case <-ctx.Done():
				return nil
			}
		}
		if c.err != nil {
			return c.err
		}
		if p.reset.Load() {
			continue
		}
		if c.data == nil {
			return errors.Trace(p.target.CloseWrite())
		}
		if _, err := p.target.Write(c.data); err != nil {
			return errors.Trace(err)
		}
		p.countBytes(len(c.data))
	}
	return nil
}

// sleepUntil sleeps until a time, more precisely than with the Go runtime's timers, which round to a millisecond.
func sleepUntil(t time.Time) {
	left := time.Until(t)
	if left > preciseSleepLimit {
		time.Sleep(left - preciseSleepLimit)
		left = time.Until(t)
	}
	// The Go runtime preempts goroutines with signals, which interrupt the sleep.
	for left > 0 {
		wait := syscall.NsecToTimespec(left.Nanoseconds())
		if err := syscall.Nanosleep(&wait, nil); err != nil && !errors.Is(err, syscall.EINTR) {
			// The Go runtime's timer can be late, but not early.
			time.Sleep(left)
		}
		left = time.Until(t)
	}
}
