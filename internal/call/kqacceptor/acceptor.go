package kqacceptor

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqshortage"
)

const (
	// pause keeps a listener that cannot accept from spinning: short beside what
	// callers wait for a connection, a second at least.
	pause = 50 * time.Millisecond
	// tellEvery is the least time between two errors that are told: a process at the
	// brink of its descriptors fails and accepts in turn, many times a second.
	tellEvery = time.Second
)

// Listener is a listener that waits while the process has no descriptors, or the system
// no memory, for one more connection. One goroutine accepts.
type Listener struct {
	net.Listener
	failed func(error)
	told   time.Time
}

// New returns a listener over l that calls failed with an error now and then while it
// cannot accept.
func New(l net.Listener, failed func(error)) *Listener {
	return &Listener{Listener: l, failed: failed}
}

// Accept implements net.Listener. The error is bare, as servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !passing(err) {
			return c, err
		}
		if time.Since(l.told) >= tellEvery {
			l.told = time.Now()
			l.failed(err)
		}
		time.Sleep(pause)
	}
}

// passing reports whether a listener that failed so may accept later. After any other
// failure it never will, and its node had better leave.
func passing(err error) bool {
	return kqshortage.Is(err) || errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}
