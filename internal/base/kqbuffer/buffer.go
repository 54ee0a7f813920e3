package kqbuffer

import (
	"math/bits"
	"sync"
)

const (
	// MaxSize is the size of the largest buffer in bytes.
	MaxSize = 64 << 10

	// minSize is the size of the smallest buffer in bytes. Sizes are a minSize times a power of
	// 1<<growthBits.
	minSize    = 4 << 10
	growthBits = 2
	// classes is the number of sizes.
	classes = 3
)

// pools holds released buffers by their size.
var pools [classes]sync.Pool

// Size returns the size of the buffer that Get returns for a number of bytes, at most MaxSize.
func Size(bytes int) int { return minSize << (growthBits * class(bytes)) }

// Get returns a buffer for at least the given number of bytes, at most MaxSize. Its contents are
// arbitrary.
func Get(bytes int) []byte {
	if b, ok := pools[class(bytes)].Get().(*[]byte); ok {
		return *b
	}
	return make([]byte, Size(bytes))
}

// Put takes back a buffer of Get, which must not be used any more.
func Put(b []byte) {
	b = b[:cap(b)]
	pools[class(len(b))].Put(&b)
}

// class returns the index of the smallest size of at least the given number of bytes.
func class(bytes int) int {
	if bytes <= minSize {
		return 0
	}
	return (bits.Len(uint(bytes-1)) - bits.Len(uint(minSize-1)) + growthBits - 1) / growthBits
}
