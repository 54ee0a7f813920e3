package kqgate

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	// maxBufferedResponse is the largest streamed response that is read into memory, and
	// bufferMemory the memory for all of them, in bytes.
	maxBufferedResponse = 1 << 20
	bufferMemory        = 8 << 20
)

type (
	// responseBuffer reads streamed responses into memory. A caller takes longer to receive
	// a large response than the upstream to produce it, and the slot would stay in use
	// meanwhile. It is safe for concurrent use.
	responseBuffer struct {
		used atomic.Int64
	}

	// bufferedBody is a response body in memory.
	bufferedBody struct {
		bytes.Reader
		buffer *responseBuffer
		memory *kqmemory.Reservation
		size   int64
	}
)

// absorb reads the call's streamed response into memory, if its length is known and there is
// room. It returns an error if the upstream did not send all of it.
func (b *responseBuffer) absorb(c *kqcall.Call) error {
	size := c.Response.Header.ContentLength()
	if !c.Response.IsBodyStream() || size <= 0 || size > maxBufferedResponse || !b.reserve(int64(size)) {
		return nil
	}
	body := &bufferedBody{buffer: b, memory: kqmemory.Of(c.Request), size: int64(size)}
	if !body.memory.Reserve(kqmemory.Calls, size, 0) {
		b.used.Add(-int64(size))
		return nil
	}
	data := make([]byte, size)
	_, err := io.ReadFull(c.Response.BodyStream(), data)
	_ = c.Response.CloseBodyStream()
	if err != nil {
		return errors.Join(err, body.Close())
	}
	body.Reset(data)
	c.Response.SetBodyStream(body, size)
	return nil
}

// reserve reports whether there is room for the bytes, and takes it.
func (b *responseBuffer) reserve(size int64) bool {
	if b.used.Add(size) > bufferMemory {
		b.used.Add(-size)
		return false
	}
	return true
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.buffer.used.Add(-b.size)
	b.memory.Release(kqmemory.Calls, int(b.size))
	b.size = 0
	return nil
}

// isBuffered reports whether the call's response body is in memory.
func isBuffered(c *kqcall.Call) bool {
	if !c.Response.IsBodyStream() {
		return true
	}
	_, ok := c.Response.BodyStream().(*bufferedBody)
	return ok
}
