package kqbuffer_test

import (
	"fmt"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/base/kqbuffer"
)

func ExampleGet() {
	b := kqbuffer.Get(5000)
	fmt.Println(len(b))
	kqbuffer.Put(b)
	// Output: 16384
}

// Guards against a buffer that is smaller than what is put into it.
func TestBuffersHoldWhatIsAskedFor(t *testing.T) {
	for bytes := range kqbuffer.MaxSize + 1 {
		if size := kqbuffer.Size(bytes); size < bytes || size > max(4*bytes, 4<<10) {
			t.Fatalf("the buffer for %d bytes has %d", bytes, size)
		}
	}
	for _, bytes := range []int{0, 1, 4 << 10, 4<<10 + 1, 16 << 10, 16<<10 + 1, kqbuffer.MaxSize} {
		b := kqbuffer.Get(bytes)
		if len(b) != kqbuffer.Size(bytes) {
			t.Errorf("the buffer for %d bytes has %d, want %d", bytes, len(b), kqbuffer.Size(bytes))
		}
		kqbuffer.Put(b[:bytes])
	}
}
