package kqbody

import (
	"math/bits"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// small is the size in bytes up to which bodies are not counted: a hundred calls at
// once hold 6 MB of them, and they must not wait for large ones.
const small = 64 << 10

type (
	// Bound shares out the room for bodies. It is safe for concurrent use.
	Bound struct {
		most int

		mu   sync.Mutex
		used int
		held map[*fasthttp.RequestHeader]share
		// freed is closed, and replaced, when there is more room.
		freed chan struct{}
	}

	// share is the room of one request, known by its header, whose place in memory is
	// the same from its reading to its end.
	share struct {
		size int
		// until is when the request has been read, or never will be; zero once it is
		// being served.
		until time.Time
	}
)

// New returns a bound of that many bytes.
func New(most int) *Bound {
	return &Bound{most: most, held: make(map[*fasthttp.RequestHeader]share), freed: make(chan struct{})}
}

// Take takes room for a request's body, and waits for it at most for wait. A body
// larger than the bound has room while no other is held: it would else never be
// taken. Reading is how long the request may take to be read.
func (b *Bound) Take(h *fasthttp.RequestHeader, wait, reading time.Duration) bool {
	size := counted(h.ContentLength())
	if size == 0 {
		return true
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		now := time.Now()
		taken, freed := b.try(h, share{size: size, until: now.Add(reading)}, now)
		if taken {
			return true
		}
		select {
		case <-freed:
		case <-timeout.C:
			return false
		}
	}
}

// Serve notes that a request has been read: its room is held until Give.
func (b *Bound) Serve(h *fasthttp.RequestHeader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.held[h]; ok {
		b.held[h] = share{size: s.size}
	}
}

// Give gives a request's room back, if it has any.
func (b *Bound) Give(h *fasthttp.RequestHeader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.give(h)
}

func (b *Bound) try(h *fasthttp.RequestHeader, s share, now time.Time) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, held := range b.held {
		// The library tells of most, but not of all, requests that it gives up while
		// it reads them; their room would be lost for good.
		if other == h || !held.until.IsZero() && now.After(held.until) {
			b.give(other)
		}
	}
	if b.used > 0 && b.used+s.size > b.most {
		return false, b.freed
	}
	b.used += s.size
	b.held[h] = s
	return true, nil
}

func (b *Bound) give(h *fasthttp.RequestHeader) {
	s, ok := b.held[h]
	if !ok {
		return
	}
	delete(b.held, h)
	b.used -= s.size
	close(b.freed)
	b.freed = make(chan struct{})
}

// counted is what a body takes: the library rounds its room up to a power of two.
func counted(length int) int {
	if length <= small {
		return 0
	}
	return 1 << bits.Len(uint(length-1))
}
