package netopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read of the connection's socket would return at once: data, the end of the input or an error has
// arrived. It reports false if the connection doesn't give access to its socket.
func Readable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLIN,
		}}, 0)
		readable = err == nil && n > 0
	})
	return err == nil && readable
}
