package kqacceptor

import (
	"errors"
	"net"
	"time"
)

const (
	// pause keeps a listener that cannot accept from spinning: short beside what
	// callers wait for a connection, a second at least.
	pause = 50 * time.Millisecond
	// tellEvery is the least time between two errors that are told: a process at the
	// brink of its descriptors fails and accepts in turn, many times a second.
	tellEvery = time.Second
)

// Listener is a listener that fails only once it is closed. One goroutine accepts.
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
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if time.Since(l.told) >= tellEvery {
			l.told = time.Now()
			l.failed(err)
		}
		time.Sleep(pause)
	}
}
