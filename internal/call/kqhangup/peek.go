package kqhangup

import (
	"errors"
	"net"
	"syscall"
)

// Probe looks at a connection without reading from it. It is not safe for
// concurrent use.
type Probe struct {
	raw     syscall.RawConn
	look    func(fd uintptr)
	count   int
	failure error
}

// NewProbe returns a probe of the connection, or of the one beneath it where it
// is encrypted; one that sees nothing if there is no socket beneath.
func NewProbe(c net.Conn) *Probe {
	p := &Probe{}
	if s, ok := beneath(c).(syscall.Conn); ok {
		// A connection that is closed already has no raw one; Look then says so.
		p.raw, p.failure = s.SyscallConn()
	}
	p.look = func(fd uintptr) {
		var one [1]byte
		p.count, _, p.failure = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return p
}

// beneath returns the connection that an encrypted one, or one of a test's, goes over.
func beneath(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// Look reports whether the connection's peer has closed it, and whether bytes
// wait to be read. It does not block.
func (p *Probe) Look() (closed, readable bool) {
	if p.raw == nil {
		return p.failure != nil, false
	}
	err := p.raw.Control(p.look)
	switch {
	case err != nil:
		return true, false
	case errors.Is(p.failure, syscall.EAGAIN), errors.Is(p.failure, syscall.EINTR):
		return false, false
	case p.failure != nil:
		return true, false
	default:
		return p.count == 0, p.count > 0
	}
}
