package kqbody

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqbuffer"
	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
)

const (
	// blockSize is the size of a block in bytes, and of the largest body that is one buffer.
	blockSize = kqbuffer.MaxSize
	// maxUncounted is the size, in bytes, up to which a body is not reserved, since the connection
	// itself takes more.
	maxUncounted = 4 << 10
	// minWaitDivisor divides the longest wait for more memory to get the shortest one.
	minWaitDivisor = 4
	// firstBuffer is the size, in bytes, of the first buffer for a body of unknown length.
	firstBuffer = 4 << 10
)

var (
	// ErrTooLarge is returned for a body that is larger than the limit.
	ErrTooLarge = errors.New("body is larger than the limit")
	// ErrNoMemory is returned for a body that there is no memory for.
	ErrNoMemory = errors.New("no memory left for the request body")
)

// Body is a request body in memory. It must not be used after Release.
type Body struct {
	memory *kqmemory.Reservation
	// blocks are full but for the last one.
	blocks [][]byte
	length int
	// reserved is the memory reserved for use.
	use      kqmemory.Use
	reserved int
	// read is how many bytes Read has returned.
	read int
}

// Receive reads the body of a request, of the stated length or, if that is negative, to the end of r.
// It reserves memory as it needs it, for the whole body first if its length is stated, and waits at
// most wait for it each time. After an error nothing stays reserved.
func Receive(r io.Reader, length, limit int, m *kqmemory.Reservation, wait time.Duration) (*Body, error) {
	if length > limit {
		return nil, fmt.Errorf("receive %d bytes: %w", length, ErrTooLarge)
	}
	b := &Body{memory: m, use: kqmemory.SmallBodies}
	err := b.receive(r, length, limit, wait)
	if err != nil {
		b.Release()
		return nil, fmt.Errorf("receive body: %w", err)
	}
	return b, nil
}

func (b *Body) receive(r io.Reader, length, limit int, wait time.Duration) error {
	if !b.reserve(max(length, 0), wait) {
		return ErrNoMemory
	}
	for length < 0 || b.length < length {
		space, err := b.space(length, wait)
		if err != nil {
			return err
		}
		n, err := r.Read(space)
		b.append(n)
		switch {
		case b.length > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF) && b.length < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// space returns the free part of the last block, after adding one or exchanging the first one for a
// larger one if it is full. At most length bytes of the body follow unless that is negative.
func (b *Body) space(length int, wait time.Duration) ([]byte, error) {
	count := len(b.blocks)
	if count > 0 {
		if last := b.blocks[count-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	if count == 1 && b.length < blockSize {
		if !b.reserve(b.length+1, wait) {
			return nil, ErrNoMemory
		}
		larger := kqbuffer.Get(b.length + 1)
		larger = larger[:copy(larger, b.blocks[0])]
		kqbuffer.Put(b.blocks[0])
		b.blocks[0] = larger
		return larger[len(larger):cap(larger)], nil
	}
	size := min(length-b.length, blockSize)
	switch {
	case length < 0 && count == 0:
		size = firstBuffer
	case length < 0:
		size = blockSize
	}
	if !b.reserve(b.length+size, wait) {
		return nil, ErrNoMemory
	}
	block := kqbuffer.Get(size)
	b.blocks = append(b.blocks, block[:0])
	return block, nil
}

// append adds the bytes that have been read into the free part of the last block.
func (b *Body) append(n int) {
	last := &b.blocks[len(b.blocks)-1]
	*last = (*last)[:len(*last)+n]
	b.length += n
}

// reserve reserves the memory of a body of the given length, in addition to what is reserved.
func (b *Body) reserve(length int, wait time.Duration) bool {
	use, size := memoryOf(length)
	if size <= b.reserved {
		return true
	}
	if length > 0 && b.length > 0 {
		// Bodies that grow together would otherwise fill the memory, wait and be refused together,
		// in place of leaving what there is to some of them.
		wait = wait/minWaitDivisor + rand.N(max(wait-wait/minWaitDivisor, 1))
	}
	if use == b.use {
		if !b.memory.Reserve(use, size-b.reserved, wait) {
			return false
		}
		b.reserved = size
		return true
	}
	if !b.memory.Reserve(use, size, wait) {
		return false
	}
	b.memory.Release(b.use, b.reserved)
	b.use, b.reserved = use, size
	return true
}

// memoryOf returns the memory that a body of the given length takes, and its use.
func memoryOf(length int) (kqmemory.Use, int) {
	switch {
	case length <= maxUncounted:
		return kqmemory.SmallBodies, 0
	case length <= blockSize:
		return kqmemory.SmallBodies, kqbuffer.Size(length)
	default:
		blocks := (length-1)/blockSize + 1
		return kqmemory.LargeBodies, blocks * blockSize
	}
}

// Release releases the body's memory.
func (b *Body) Release() {
	for _, block := range b.blocks {
		kqbuffer.Put(block)
	}
	b.memory.Release(b.use, b.reserved)
	b.blocks, b.length, b.reserved = nil, 0, 0
}

// Attach makes the body that of the request.
func (b *Body) Attach(r *fasthttp.Request) {
	length := b.length
	if len(b.blocks) <= 1 {
		var whole []byte
		if length > 0 {
			whole = b.blocks[0]
		}
		r.SetBodyRaw(whole)
		r.Header.SetContentLength(length)
		return
	}
	r.SetBodyStream(b, length)
}

// Read implements io.Reader. After the end it begins anew, since a call may be sent more than once.
func (b *Body) Read(p []byte) (int, error) {
	if b.read == b.length {
		b.read = 0
		return 0, io.EOF
	}
	n := copy(p, b.blocks[b.read/blockSize][b.read%blockSize:])
	b.read += n
	return n, nil
}

// Length returns the length of a request's body, which has been received whole.
func Length(r *fasthttp.Request) int {
	if b, ok := r.BodyStream().(*Body); ok {
		return b.length
	}
	return len(r.Body())
}

// Write writes a request's body, which has been received whole.
func Write(r *fasthttp.Request, w io.Writer) error {
	b, ok := r.BodyStream().(*Body)
	if !ok {
		_, err := w.Write(r.Body())
		return err
	}
	for _, block := range b.blocks {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}
