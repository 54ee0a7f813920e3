package kqconnection_test

import (
	"net"
	"sync"
	"time"
)

// recordingRoom grants every request for room and records the largest size.
type recordingRoom struct {
	mu   sync.Mutex
	size int
}

func (r *recordingRoom) Grow(_ any, size int, _ time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = max(r.size, size)
	return true
}

func (r *recordingRoom) Release(any) {}

// readAll reads a connection to its end, always into the same buffer.
func readAll(c net.Conn, b []byte) {
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}
