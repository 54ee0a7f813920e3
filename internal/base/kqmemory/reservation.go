package kqmemory

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqbuffer"
)

type (
	// Reservation is the memory that is reserved for one request of a client. It is safe for
	// concurrent use, but for its response buffer. A nil Reservation grants everything.
	Reservation struct {
		account *Account
		client  *Client

		mu     sync.Mutex
		held   [useCount]int
		closed bool
		// response is the buffer of the response.
		response []byte
	}

	// reservationKey is the key of a request's reservation among its user values.
	reservationKey struct{}
)

// NewReservation returns an empty reservation for the client.
func (c *Client) NewReservation() *Reservation {
	if c == nil {
		return nil
	}
	return &Reservation{account: c.group.account, client: c}
}

// Attach makes the request hold the reservation, which the HTTP library closes when it resets the
// request, after the response has been written.
func Attach(r *fasthttp.Request, m *Reservation) {
	if m != nil {
		r.SetUserValue(reservationKey{}, m)
	}
}

// Of returns the reservation of a request, nil if it has none.
func Of(r *fasthttp.Request) *Reservation {
	m, _ := r.UserValue(reservationKey{}).(*Reservation)
	return m
}

// Reserve reserves bytes more for a use. It waits at most wait for them, and reports whether it
// succeeded.
func (m *Reservation) Reserve(u Use, bytes int, wait time.Duration) bool {
	if m == nil {
		return true
	}
	if !m.account.reserve(u, bytes, m.Held(u), wait) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		m.account.release(u, bytes)
		return false
	}
	m.held[u] += bytes
	m.client.held[u].Add(int64(bytes))
	return true
}

// Held returns how many bytes are reserved for a use.
func (m *Reservation) Held(u Use) int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[u]
}

// Release releases bytes of what is reserved for a use, at most all of it.
func (m *Reservation) Release(u Use, bytes int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release(u, bytes)
}

// release is Release with the lock held.
func (m *Reservation) release(u Use, bytes int) {
	bytes = min(bytes, m.held[u])
	m.held[u] -= bytes
	m.client.held[u].Add(-int64(bytes))
	m.account.release(u, bytes)
}

// ResponseBuffer returns a buffer of the given size for the response, and reports false if there is
// no memory for it. It replaces the buffer that was returned before.
func (m *Reservation) ResponseBuffer(size int) ([]byte, bool) {
	if m == nil || size > kqbuffer.MaxSize {
		return make([]byte, size), m == nil
	}
	if size <= cap(m.response) {
		return m.response[:size], true
	}
	if !m.Reserve(Calls, kqbuffer.Size(size)-cap(m.response), 0) {
		return nil, false
	}
	if m.response != nil {
		kqbuffer.Put(m.response)
	}
	m.response = kqbuffer.Get(size)
	return m.response[:size], true
}

// Close releases all memory, and lets nothing be reserved any more. It implements io.Closer.
func (m *Reservation) Close() error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if m.response != nil {
		kqbuffer.Put(m.response)
		m.response = nil
	}
	for u, bytes := range m.held {
		m.release(Use(u), bytes)
	}
	return nil
}
