package kqbody

import (
	"math/bits"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxUncounted is the size, in bytes, up to which bodies are not counted, since the
	// connection itself takes more.
	maxUncounted = 4 << 10
	// maxSmall is the largest size, in bytes, of a small body.
	maxSmall = 64 << 10
	// connectionMemory is what an open connection takes beside its body, in bytes:
	// fasthttp's buffers, the goroutine's stack and the kernel's memory for it.
	connectionMemory = 32 << 10
	// smallDivisor and minDivisor: small bodies have 1/smallDivisor of the room for large
	// ones, in addition to it, and may always use 1/minDivisor of their own room, however
	// many connections are open.
	smallDivisor, minDivisor = 2, 8
)

const (
	smallBody class = iota
	largeBody
	classes
)

type (
	// Limiter divides memory, here called room, among request bodies. Small and large bodies
	// have separate room, so that small calls need not wait for large ones, and many small
	// bodies cannot take more than a few large ones may. It is safe for concurrent use.
	Limiter struct {
		capacity [classes]int
		// total limits bodies and connections together, 0 for no limit, and open returns
		// the number of open connections.
		total int
		open  func() int

		mu           sync.Mutex
		used         [classes]int
		reservations map[any]reservation
		// freed is closed and replaced when room is released.
		freed chan struct{}
	}

	// Option configures a Bound.
	Option func(*Limiter)

	// class is the kind of room that a body takes.
	class int

	// reservation is the room of one request. Its key is the request's header or, if that
	// states no length, the connection: the address of either stays the same from the
	// reading of the request to its end.
	reservation struct {
		size int
		// readDeadline is the latest time at which the request is read whole or abandoned;
		// zero once it is being served.
		readDeadline time.Time
	}
)

// WithConnections limits bodies and open connections together to total bytes.
func WithConnections(total int, open func() int) Option {
	return func(b *Limiter) { b.total, b.open = total, open }
}

// New returns a bound of capacity bytes for large bodies and, in addition, half as many for
// small ones.
func New(capacity int, options ...Option) *Limiter {
	b := &Limiter{
		capacity: [classes]int{smallBody: capacity / smallDivisor, largeBody: capacity}, open: func() int { return 0 },
		reservations: make(map[any]reservation), freed: make(chan struct{}),
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Reserve reserves room for a request's body and waits at most wait for it. A body larger than
// the bound is accepted while no other large one is held, since it would otherwise never
// be. reading is how long the request may take to be read.
func (b *Limiter) Reserve(h *fasthttp.RequestHeader, wait, reading time.Duration) bool {
	size := bodyMemory(h.ContentLength())
	return size == 0 || b.wait(h, size, reading, wait)
}

// Grow replaces the connection's reservation by one for the size that its request's body
// has reached, and waits at most wait for room. The length of such a body is known only as
// it arrives; without this limit, callers that state no length could fill the process's
// memory, and the kernel would kill it with all its calls.
func (b *Limiter) Grow(connection any, size int, wait time.Duration) bool {
	size = growingBodyMemory(size)
	return size == 0 || b.hasReserved(connection, size) || b.wait(connection, size, 0, wait)
}

// Release releases the room that a connection's request has reserved with Grow, if any.
func (b *Limiter) Release(connection any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(connection)
}

// wait reserves room, retrying until there is enough or the time is over. With a reading
// time of 0 the reservation does not expire.
func (b *Limiter) wait(holder any, size int, reading, wait time.Duration) bool {
	taken, freed := b.tryReserve(holder, size, reading)
	if taken || wait <= 0 {
		return taken
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !taken {
		select {
		case <-freed:
		case <-timer.C:
			return false
		}
		taken, freed = b.tryReserve(holder, size, reading)
	}
	return true
}

func (b *Limiter) hasReserved(holder any, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reservations[holder].size >= size
}

// MarkRead marks a request as read: its reservation no longer expires and is held until Give.
func (b *Limiter) MarkRead(h *fasthttp.RequestHeader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.reservations[h]; ok {
		b.reservations[h] = reservation{size: s.size}
	}
}

// ReleaseRequest releases a request's room, if it has any.
func (b *Limiter) ReleaseRequest(h *fasthttp.RequestHeader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(h)
}

func (b *Limiter) tryReserve(holder any, size int, reading time.Duration) (bool, <-chan struct{}) {
	now := time.Now()
	open := b.open()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(holder, size, open) {
		b.releaseExpired(now)
		if !b.fits(holder, size, open) {
			return false, b.freed
		}
	}
	s := reservation{size: size}
	if reading > 0 {
		s.readDeadline = now.Add(reading)
	}
	if before := b.reservations[holder]; before.size > 0 {
		b.used[before.class()] -= before.size
	}
	b.used[s.class()] += size
	b.reservations[holder] = s
	return true, nil
}

// fits reports whether there is room for a body of that size in place of the holder's
// current reservation.
func (b *Limiter) fits(holder any, size, open int) bool {
	used := b.used
	if before := b.reservations[holder]; before.size > 0 {
		used[before.class()] -= before.size
	}
	c := reservation{size: size}.class()
	alone := c == largeBody && used[largeBody] == 0
	if used[c]+size > b.capacity[c] && !alone {
		return false
	}
	if b.total == 0 {
		return true
	}
	available := b.total - open*connectionMemory - used[smallBody] - used[largeBody]
	switch {
	case size <= available:
		return true
	case c == smallBody:
		return used[c]+size <= b.capacity[c]/minDivisor
	default:
		// A body larger than the total is accepted only while connections take little of
		// it.
		return alone && size > b.total && open*connectionMemory <= b.total/minDivisor
	}
}

// releaseExpired releases the room of requests that should have been read by now. fasthttp
// reports most, but not all, requests that it abandons while reading; the room of the
// others would never be released.
func (b *Limiter) releaseExpired(now time.Time) {
	for holder, s := range b.reservations {
		if !s.readDeadline.IsZero() && now.After(s.readDeadline) {
			b.release(holder)
		}
	}
}

func (b *Limiter) release(holder any) {
	s, ok := b.reservations[holder]
	if !ok {
		return
	}
	delete(b.reservations, holder)
	b.used[s.class()] -= s.size
	close(b.freed)
	b.freed = make(chan struct{})
}

func (s reservation) class() class {
	if s.size > maxSmall {
		return largeBody
	}
	return smallBody
}

// bodyMemory returns the memory that a body takes: fasthttp rounds its buffer up to a power
// of two.
func bodyMemory(length int) int {
	if length <= maxUncounted {
		return 0
	}
	return 1 << bits.Len(uint(length-1))
}

// growingBodyMemory returns the memory that a body of unknown length takes once size bytes
// have arrived: fasthttp copies a large one to a buffer of twice the size each time it
// outgrows the old one.
func growingBodyMemory(size int) int {
	if size <= maxSmall {
		return bodyMemory(size)
	}
	return 2 * bodyMemory(size)
}
