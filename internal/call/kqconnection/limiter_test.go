package kqconnection_test

import (
	"net"
	"sync"
	"time"
)

// recordingLimiter grants all memory that is requested and records the largest size.
type recordingLimiter struct {
	mu   sync.Mutex
	size int
}

func (r *recordingLimiter) Grow(_ any, size int, _ time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = max(r.size, size)
	return true
}

func (r *recordingLimiter) Release(any) {}

// readAll reads a connection to its end, always into the same buffer.
func readAll(c net.Conn, b []byte) {
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}
