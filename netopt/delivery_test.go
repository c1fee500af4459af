package netopt

import (
	"net"
	"testing"
	"time"
)

// TestDeliveryEndsWithReset guards against closes, and shutdowns that count them, which wait for the delivery of output to a caller
// that has reset its connection.
func TestDeliveryEndsWithReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	// The caller reads nothing, so that most of this is not delivered.
	if err := accepted.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := accepted.Write(make([]byte, 64<<20)); err == nil {
		t.Fatal("64 MiB were written to a caller that reads nothing")
	}
	if err := caller.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	caller.Close()
	const timeout = 5 * time.Second
	began := time.Now()
	AwaitDelivery(accepted, timeout)
	if waited := time.Since(began); waited > timeout/2 {
		t.Errorf("waited %v for the delivery to a caller that is gone", waited)
	}
}
