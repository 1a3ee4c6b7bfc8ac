package listen

import (
	"net"

	"golang.org/x/sys/unix"
)

// hasHungUp reports whether the peer has closed or reset a connection. Unlike a read, it also finds an end that
// follows bytes that were not read.
func hasHungUp(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		hungUp = pollErr == nil && n > 0
	})
	return err != nil || hungUp
}
