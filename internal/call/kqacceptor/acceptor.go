package kqacceptor

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqexhaustion"
)

const (
	// retryInterval keeps a listener that cannot accept from spinning. It is short compared
	// with the second or more for which callers wait for a connection.
	retryInterval = 50 * time.Millisecond
	// reportInterval is the least time between two reported errors: a process that is
	// almost out of descriptors may fail and succeed in turn many times a second.
	reportInterval = time.Second
)

// Listener retries Accept while the process is out of file descriptors or the system out of
// memory, and after interrupted or aborted accepts. Only one goroutine may call Accept.
type Listener struct {
	net.Listener
	onError    func(error)
	lastReport time.Time
}

// New returns a listener over l. It calls onError while l cannot accept, at most once per
// reportInterval.
func New(l net.Listener, onError func(error)) *Listener {
	return &Listener{Listener: l, onError: onError}
}

// Accept implements net.Listener. It does not wrap the error, because servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		if time.Since(l.lastReport) >= reportInterval {
			l.lastReport = time.Now()
			l.onError(err)
		}
		time.Sleep(retryInterval)
	}
}

// isTemporary reports whether Accept may succeed later. After any other error it never
// will: Accept then returns the error, and the node leaves the fleet.
func isTemporary(err error) bool {
	return kqexhaustion.Is(err) || errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}
