package kqinbound

import (
	"sync"
	"time"
)

const (
	// LargeBody is the least size in bytes of the bodies that are to be announced. Smaller
	// ones take less time on the link than the announcement on the way.
	LargeBody = 32 << 10

	// usableShare is the share of the link's bandwidth that large bodies use; the rest is
	// left to small requests, answers and the traffic between nodes.
	usableShare = 0.6
	// maxAhead is how far bodies may run ahead of the link, so that it does not fall idle
	// while the next sender is being told.
	maxAhead    = 20 * time.Millisecond
	bitsPerByte = 8
)

// Link keeps account of the large bodies that a server's link has yet to receive. It is safe for
// concurrent use.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// idleAt is when the link will have received all bodies that were allowed so far.
	idleAt time.Time
}

// New returns an idle link with the given bandwidth in Mbit/s, above 0.
func New(megabits float64) *Link {
	return &Link{bytesPerSecond: megabits * 1e6 / bitsPerByte * usableShare}
}

// Reserve reserves time of the link for a body of the given size in bytes, and returns how long
// its sender must wait before it sends the body. It reserves nothing and reports false if that
// is longer than maxWait.
func (l *Link) Reserve(bytes int, maxWait time.Duration, now time.Time) (wait time.Duration, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait = l.backlog(now)
	if wait > maxWait {
		return wait, false
	}
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return wait, true
}

// Backlog returns how long the sender of another body would have to wait.
func (l *Link) Backlog(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog(now)
}

func (l *Link) backlog(now time.Time) time.Duration {
	if !l.idleAt.After(now) {
		return 0
	}
	return max(l.idleAt.Sub(now)-maxAhead, 0)
}
