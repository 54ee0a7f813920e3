package kqpace

import (
	"sync"
	"time"
)

const (
	// PieceSize is the largest number of bytes that one Reserve should be for.
	PieceSize = 4 << 10
	// PromptSize is the number of bytes at the beginning of a response that are sent at once.
	PromptSize = 8 << 10

	// usableShare is the share of the link's bandwidth that responses use; the rest is left
	// to packet headers, requests and the traffic between nodes.
	usableShare = 0.92
	// maxBacklog is how far pieces may run ahead of the link, so that it does not fall idle
	// while a sender wakes up.
	maxBacklog  = 5 * time.Millisecond
	bitsPerByte = 8
)

// Pacer keeps account of one link. It is safe for concurrent use.
type Pacer struct {
	bytesPerSecond float64

	mu sync.Mutex
	// idleAt is when the link will have sent everything counted so far.
	idleAt time.Time
}

// New returns the pacer of an idle link with the given bandwidth in Mbit/s, above 0.
func New(megabits float64) *Pacer {
	return &Pacer{bytesPerSecond: megabits * 1e6 / bitsPerByte * usableShare}
}

// Count counts bytes that are sent at once.
func (p *Pacer) Count(bytes int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(bytes, now)
}

// Reserve counts a piece of a large response, and returns how long to wait before it is sent.
func (p *Pacer) Reserve(bytes int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.idleAt.Sub(now) - maxBacklog
	p.add(bytes, now)
	return max(wait, 0)
}

func (p *Pacer) add(bytes int, now time.Time) {
	if p.idleAt.Before(now) {
		p.idleAt = now
	}
	p.idleAt = p.idleAt.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
}
