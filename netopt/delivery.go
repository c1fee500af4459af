package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryPollInterval is the interval at which AwaitDelivery looks at the socket.
const deliveryPollInterval = 2 * time.Millisecond

// AwaitDelivery waits until the other side has received all that was written to the connection, the connection has failed, or the
// timeout has passed. It returns at once if the connection doesn't give access to its socket.
//
// It is called before a connection is closed on which the other side may still send: a connection that is closed with unread
// bytes, or gets some later, is reset, which discards what the other side has not received.
func AwaitDelivery(c net.Conn, timeout time.Duration) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	for deadline := time.Now().Add(timeout); unacknowledged(raw) > 0 && time.Now().Before(deadline); {
		time.Sleep(deliveryPollInterval)
	}
}

// unacknowledged returns how many written bytes the other side has not acknowledged and may still receive, or zero if the socket
// doesn't tell.
func unacknowledged(raw syscall.RawConn) int {
	n := 0
	err := raw.Control(func(fd uintptr) {
		if hungUp(fd) {
			return
		}
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// hungUp reports whether nothing can be sent or received any more. The kernel goes on counting the bytes of such a connection.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{
		Fd: int32(fd),
	}}
	_, err := unix.Poll(fds, 0)
	return err == nil && fds[0].Revents&unix.POLLHUP != 0
}
