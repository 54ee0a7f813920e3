package kqlinger

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// After Close, a connection discards incoming data until the peer closes it or one
// of these bounds is reached.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 8 << 20
)

type (
	// Listener accepts connections with lingering close and limits the open
	// connections per remote address. The HTTP library's own limit is not used:
	// it crashes the process when a connection is closed during a blocked read.
	Listener struct {
		net.Listener
		maxPerAddress int

		mu sync.Mutex
		// perAddress counts the connections of each remote address, including those
		// that linger after Close.
		perAddress map[string]int
		// open holds the connections on which Close has not been called.
		open map[*conn]struct{}
	}

	// conn is a TCP connection with lingering close.
	conn struct {
		*net.TCPConn
		once sync.Once
		// onClose is called when Close begins, release when lingering has ended or
		// the half-close has failed.
		onClose func(*conn)
		release func()
		err     error
	}
)

// New wraps l with lingering close and a limit of maxPerAddress connections per
// remote address: without it, one source's slow requests could use up all
// connections.
func New(l net.Listener, maxPerAddress int) *Listener {
	return &Listener{Listener: l, maxPerAddress: maxPerAddress, perAddress: make(map[string]int), open: make(map[*conn]struct{})}
}

// Accept implements net.Listener. It closes connections beyond the limit and
// returns connections other than TCP without a limit or lingering close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		t, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		source, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil || !l.acquire(source) {
			_ = c.Close()
			continue
		}
		return l.track(t, source), nil
	}
}

// ExpireReads sets the read deadline of all open connections to now. The server
// then still answers the connections whose request it has partly read.
func (l *Listener) ExpireReads(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		// An error means that the connection was just closed and needs no
		// response.
		_ = c.SetReadDeadline(now)
	}
}

// OpenConnections returns the number of connections on which Close has not been
// called.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *Listener) track(t *net.TCPConn, source string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{TCPConn: t, release: func() { l.releaseAddress(source) }, onClose: l.untrack}
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Close half-closes the connection and closes it in the background, after
// discarding incoming data up to lingerTimeout and maxLingerBytes. If the
// half-close fails, it closes the connection at once.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.onClose(c)
		if c.err = c.CloseWrite(); c.err != nil {
			c.release()
			c.err = c.TCPConn.Close()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		go func() {
			defer c.release()
			_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
			_ = c.TCPConn.Close()
		}()
	})
	return c.err
}

// acquire counts a connection of source, or returns false at the limit.
func (l *Listener) acquire(source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perAddress[source] >= l.maxPerAddress {
		return false
	}
	l.perAddress[source]++
	return true
}

// releaseAddress removes a connection of source from the count.
func (l *Listener) releaseAddress(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perAddress[source]--; l.perAddress[source] == 0 {
		delete(l.perAddress, source)
	}
}
