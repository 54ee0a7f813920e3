package kqhangup

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bound ends a connection whose peer leaves bytes unacknowledged for that long. A
// peer that lost its power, or is cut off, would otherwise be waited for until the
// deadline of each exchange. Where the kernel does not know the option, keep-alive
// and deadlines still bound the wait. Where it does, it bounds keep-alive's as well.
func Bound(c net.Conn, silence time.Duration) {
	socket, ok := beneath(c).(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
}
