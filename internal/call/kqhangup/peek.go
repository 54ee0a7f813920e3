package kqhangup

import (
	"crypto/tls"
	"net"
	"syscall"
)

// Closed reports whether the connection's peer has closed it, and whether bytes
// wait to be read. It reads nothing and does not block.
func Closed(c net.Conn) (closed, readable bool) {
	if s, ok := c.(*tls.Conn); ok {
		c = s.NetConn()
	}
	t, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true, false
	}
	var one [1]byte
	var n int
	var failure error
	err = raw.Control(func(fd uintptr) {
		n, _, failure = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return true, false
	case failure == syscall.EAGAIN || failure == syscall.EINTR:
		return false, false
	case failure != nil:
		return true, false
	default:
		return n == 0, n > 0
	}
}
