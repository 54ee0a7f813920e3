package kqdisconnect

import (
	"errors"
	"net"
	"syscall"
)

// Probe checks a connection without reading from it. It is not safe for concurrent use.
type Probe struct {
	raw     syscall.RawConn
	peek    func(fd uintptr)
	count   int
	peekErr error
	// closedBehindData is set if the peer has closed its side and there are unread bytes.
	closedBehindData bool
}

// NewProbe returns a probe of c's socket: for a TLS connection, that of the TCP connection
// beneath it. If c has no socket, Peek reports false for both.
func NewProbe(c net.Conn) *Probe {
	p := &Probe{}
	if s, ok := unwrap(c).(syscall.Conn); ok {
		// SyscallConn fails if the connection is already closed, which Peek then reports.
		p.raw, p.peekErr = s.SyscallConn()
	}
	p.peek = func(fd uintptr) {
		var one [1]byte
		p.count, _, p.peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		p.closedBehindData = p.peekErr == nil && p.count > 0 && isClosedBehindData(fd)
	}
	return p
}

// unwrap returns the innermost connection beneath a TLS connection or a test's wrapper.
func unwrap(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// Peek reports whether the peer has closed the connection and whether bytes are ready to be
// read. A close behind unread bytes is reported on Linux only. Peek does not block.
func (p *Probe) Peek() (closed, readable bool) {
	if p.raw == nil {
		return p.peekErr != nil, false
	}
	err := p.raw.Control(p.peek)
	switch {
	case err != nil:
		return true, false
	case errors.Is(p.peekErr, syscall.EAGAIN), errors.Is(p.peekErr, syscall.EINTR):
		return false, false
	case p.peekErr != nil:
		return true, false
	default:
		return p.count == 0 || p.closedBehindData, p.count > 0
	}
}
