package kqnode

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// acceptPause keeps a listener that cannot accept from spinning.
	acceptPause = 20 * time.Millisecond
	// shortEvery is the pause between two lines on it.
	shortEvery = time.Second
)

// patient is a listener that waits while the process has no descriptors, or the system
// no memory, for one more connection. The library that serves calls gives its listener
// up then: the node would leave, and its process end, because callers have left
// connections idle.
type patient struct {
	net.Listener
	short func(error)
	// told is when short was last told; one goroutine accepts.
	told time.Time
}

// Accept implements net.Listener.
func (p *patient) Accept() (net.Conn, error) {
	for {
		c, err := p.Listener.Accept()
		if err == nil || !passing(err) {
			return c, err
		}
		if now := time.Now(); now.Sub(p.told) >= shortEvery {
			p.told = now
			p.short(err)
		}
		time.Sleep(acceptPause)
	}
}

// passing reports whether a listener that failed so may accept later.
func passing(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// patiently has a listener wait where it cannot accept.
func (n *Node) patiently(role Role, l net.Listener) net.Listener {
	return &patient{Listener: l, short: func(err error) {
		n.note(logrus.Fields{"event": "accept", "listener": role, "error": err.Error()}, "Cannot accept now on "+string(role)+".")
	}}
}
