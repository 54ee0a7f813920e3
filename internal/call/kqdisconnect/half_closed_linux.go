package kqdisconnect

import "golang.org/x/sys/unix"

// isClosedBehindData reports whether the peer has closed its side of a socket that has unread
// bytes.
func isClosedBehindData(fd uintptr) bool {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
