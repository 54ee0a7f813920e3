// Package kqlinger closes connections so that the last answer arrives. A server
// that refuses a request early, for its size, closes while the client still
// sends; the kernel then answers with a reset, and the client loses the refusal
// that lay in its buffer and sees only a broken connection.
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
	// Listener accepts connections that linger when they are closed.
	Listener struct {
		net.Listener
	}

	conn struct {
		*net.TCPConn
		once sync.Once
		err  error
	}
)

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: t}, nil
	}
	return c, nil
}

// Close ends what is sent, and takes in what still comes, for a bounded time
// and size, before it closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		if c.err = c.CloseWrite(); c.err != nil {
			c.err = c.TCPConn.Close()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		go func() {
			_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
			_ = c.TCPConn.Close()
		}()
	})
	return c.err
}
