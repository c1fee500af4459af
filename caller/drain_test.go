package caller

import (
	"context"
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

// lastListener is a listener that accepts one connection while it is being closed.
type lastListener struct {
	net.Listener
	conn net.Conn

	// close ends the accepting.
	close func()
}

func (l *lastListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return l.Listener.Accept()
	}
	c := l.conn
	l.conn = nil
	l.close()
	return c, nil
}

// TestLastConnectionIsServed guards against callers that wait for the end of the process, as their connection was accepted just as
// the listener was closed and is neither served nor closed.
func TestLastConnectionIsServed(t *testing.T) {
	ts := startServer(t, nil)
	server, client := connectedPair(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ts.server.accept(ctx, &lastListener{
		Listener: l,
		conn:     server,
		close:    stop,
	})
	f := pgproto3.NewFrontend(client, client)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": user,
		},
	})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	expect[*pgproto3.ReadyForQuery](t, f)
	client.Close()
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

// TestDrainEndsAccepting guards against connections that are accepted after Drain has returned, so that the process ends while they
// are served.
func TestDrainEndsAccepting(t *testing.T) {
	ts := startServer(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := ts.server.Drain(ctx); err != nil {
		t.Errorf("Drain() = %v", err)
	}
	if n, err := net.Dial("tcp", ts.server.ListenAddress.String()); err == nil {
		n.Close()
		t.Error("a connection was accepted after the shutdown")
	}
}
