package kqconnection_test

import (
	"net"
	"sync"
	"time"
)

// recorder has room for all, and notes the largest size that it was asked for.
type recorder struct {
	mu   sync.Mutex
	size int
}

func (r *recorder) Grow(_ any, size int, _ time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = max(r.size, size)
	return true
}

func (r *recorder) Release(any) {}

// readAll reads a connection to its end into one buffer.
func readAll(c net.Conn, b []byte) {
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}
