package kqlinger

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

type (
	// Listener accepts connections that linger when they are closed, and so
	// many at a time from one address. The library's own bound was tried: it
	// crashed the process when a connection was closed under a waiting read.
	Listener struct {
		net.Listener
		most int

		mu   sync.Mutex
		held map[string]int
		// open are the connections that are read.
		open map[*conn]struct{}
	}

	conn struct {
		*net.TCPConn
		once sync.Once
		// closed is told of the end of what is read, and done of the connection's.
		closed func(*conn)
		done   func()
		err    error
	}
)

// New returns a listener over l that holds up to most connections of one
// address: with slow requests one source would otherwise shut all others out.
func New(l net.Listener, most int) *Listener {
	return &Listener{Listener: l, most: most, held: make(map[string]int), open: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
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
		if err != nil || !l.take(source) {
			_ = c.Close()
			continue
		}
		return l.hold(t, source), nil
	}
}

// EndReading has the connections stop waiting for what their clients still send: a server
// answers those whose request it has begun to read.
func (l *Listener) EndReading(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		// A connection that is closed meanwhile has nobody to answer.
		_ = c.SetReadDeadline(now)
	}
}

// Open returns how many connections are read.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *Listener) hold(t *net.TCPConn, source string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{TCPConn: t, done: func() { l.give(source) }, closed: l.forget}
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Close ends what is sent, and takes in what still comes, for a bounded time
// and size, before it closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.closed(c)
		if c.err = c.CloseWrite(); c.err != nil {
			c.done()
			c.err = c.TCPConn.Close()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		go func() {
			defer c.done()
			_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
			_ = c.TCPConn.Close()
		}()
	})
	return c.err
}

func (l *Listener) take(source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[source] >= l.most {
		return false
	}
	l.held[source]++
	return true
}

func (l *Listener) give(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[source]--; l.held[source] == 0 {
		delete(l.held, source)
	}
}
