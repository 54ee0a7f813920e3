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
		held map[any]share
		// freed is closed, and replaced, when there is more room.
		freed chan struct{}
	}

	// share is the room of one request, known by its header or, where that states no
	// length, by its connection: the place of either in memory is the same from the
	// request's reading to its end.
	share struct {
		size int
		// until is when the request has been read, or never will be; zero once it is
		// being served.
		until time.Time
	}
)

// New returns a bound of that many bytes.
func New(most int) *Bound {
	return &Bound{most: most, held: make(map[any]share), freed: make(chan struct{})}
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
	return b.wait(h, size, reading, timeout.C)
}

// Grow takes room for the body that a connection's request has brought so far, in
// place of what it had, and waits for it at most for wait. A body of unstated length
// is known only by what has come of it; without this, callers that state no length
// could fill the process's memory, which would be ended with all its calls.
func (b *Bound) Grow(connection any, size int, wait time.Duration) bool {
	size = grown(size)
	if size == 0 || b.has(connection, size) {
		return true
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	return b.wait(connection, size, 0, timeout.C)
}

// Release gives the room back that a connection's request has grown to, if any.
func (b *Bound) Release(connection any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.give(connection)
}

// wait tries to take room until it is there or the time is over. A reading time of 0
// holds the room until it is given back.
func (b *Bound) wait(holder any, size int, reading time.Duration, over <-chan time.Time) bool {
	for {
		now := time.Now()
		s := share{size: size}
		if reading > 0 {
			s.until = now.Add(reading)
		}
		taken, freed := b.try(holder, s, now)
		if taken {
			return true
		}
		select {
		case <-freed:
		case <-over:
			return false
		}
	}
}

func (b *Bound) has(holder any, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[holder].size >= size
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

func (b *Bound) try(holder any, s share, now time.Time) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, held := range b.held {
		// The library tells of most, but not of all, requests that it gives up while
		// it reads them; their room would be lost for good.
		if !held.until.IsZero() && now.After(held.until) {
			b.give(other)
		}
	}
	others := b.used - b.held[holder].size
	if others > 0 && others+s.size > b.most {
		return false, b.freed
	}
	b.used = others + s.size
	b.held[holder] = s
	return true, nil
}

func (b *Bound) give(holder any) {
	s, ok := b.held[holder]
	if !ok {
		return
	}
	delete(b.held, holder)
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

// grown is what a body of unstated length takes once that much of it has come: the
// library copies it into twice the room each time that it has outgrown its own.
func grown(size int) int { return 2 * counted(size) }
