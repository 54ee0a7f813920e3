package kqcommand

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// maxPooledBody is the largest size in bytes of bodies whose buffers are pooled. A
// pooled buffer survives up to two garbage collections; meanwhile the large bodies of
// further calls would take the same amount of memory again.
const maxPooledBody = 64 << 10

// heapShare is the share of the process's memory up to which the garbage collector lets
// the heap grow. The rest is for stacks of the operating system's threads, the program
// itself, and overshoot of the collector.
const heapShare = 0.75

// limitMemory limits the pooling of bodies, and makes the garbage collector keep the
// process within its memory in bytes, 0 for no limit. By default the heap grows to
// twice the live memory, and a server kills a process that exceeds its memory.
func limitMemory(bytes int) {
	fasthttp.SetBodySizePoolLimit(maxPooledBody, maxPooledBody)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}
