package caller

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// connectedPair returns both ends of a TCP connection on loopback, with a deadline of 10 s on the caller's end.
func connectedPair(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	if err := dialed.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// interruptedConn is a connection on which data arrives just after a read was interrupted.
type interruptedConn struct {
	net.Conn

	// waiting has a value once a read begins without an interruption, and arrive delivers the data.
	waiting chan struct{}
	arrive  func()

	// interrupted reports whether the data has been delivered.
	interrupted bool
}

func (c *interruptedConn) SetReadDeadline(d time.Time) error {
	err := c.Conn.SetReadDeadline(d)
	switch {
	case d.IsZero():
		c.waiting <- struct{}{}
	case d.Before(time.Now()) && !c.interrupted:
		c.interrupted = true
		c.arrive()
	}
	return err
}

// TestDrainReadsWhatHasArrived guards against batches that are dropped although they have arrived: a read whose deadline is over
// fails without a look at the socket.
func TestDrainReadsWhatHasArrived(t *testing.T) {
	text, err := (&pgproto3.Query{
		String: "SELECT 1",
	}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("before the wait", func(t *testing.T) {
		server, client := connectedPair(t)
		c := newTestConn(server)
		if _, err := client.Write(text); err != nil {
			t.Fatal(err)
		}
		c.drain()
		if _, err := c.ReadBatch(false, time.Time{}); err != nil {
			t.Errorf("ReadBatch() = %v", err)
		}
	})
	for round := range 20 {
		// Whether the read sees the deadline before the data depends on the scheduler.
		t.Run("during the wait "+strconv.Itoa(round), func(t *testing.T) {
			server, client := connectedPair(t)
			n := &interruptedConn{
				Conn:    server,
				waiting: make(chan struct{}, 1),
				arrive: func() {
					if _, err := client.Write(text); err != nil {
						t.Error(err)
					}
				},
			}
			c := newTestConn(n)
			read := make(chan error, 1)
			go func() {
				_, err := c.ReadBatch(false, time.Time{})
				read <- err
			}()
			<-n.waiting
			c.drain()
			if err := <-read; err != nil {
				t.Errorf("ReadBatch() = %v", err)
			}
		})
	}
}

func newTestConn(n net.Conn) *Conn {
	c := newConn(n, 1<<16)
	c.reader.batchTimeout = time.Second
	return c
}

// TestDrainLimitsHandshakes guards against shutdowns that wait for a silent caller for the whole time of a handshake: one whose
// connection was accepted just before the listener was closed.
func TestDrainLimitsHandshakes(t *testing.T) {
	ts := startServer(t, nil)
	s := ts.server
	server, client := connectedPair(t)
	s.startDrain()
	served := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(served)
		s.serve(t.Context(), server)
	}()
	f := pgproto3.NewFrontend(client, client)
	if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != "08P01" {
		t.Errorf("SQLSTATE %s, want 08P01", e.Code)
	}
	if took := time.Since(began); took > 2*drainHandshakeTimeout {
		t.Errorf("the handshake took %v, want %v", took, drainHandshakeTimeout)
	}
	client.Close()
	<-served
}
