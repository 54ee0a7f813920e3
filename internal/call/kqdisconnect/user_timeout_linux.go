package kqdisconnect

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT, which closes a connection whose peer leaves data
// unacknowledged for that long. Otherwise each exchange would wait until its deadline for a
// peer that has lost power or is unreachable. The option also overrides the keep-alive
// timeout. If the kernel does not support it, keep-alive and deadlines still bound the
// wait.
func SetUserTimeout(c net.Conn, silence time.Duration) {
	socket, ok := unwrap(c).(syscall.Conn)
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
