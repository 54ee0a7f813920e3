package kqcommand

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// maxPooledBody is the largest size in bytes of bodies whose buffers are pooled. A
// pooled buffer survives up to two garbage collections; meanwhile the large bodies of
// further calls would take the same amount of memory again.
const maxPooledBody = 64 << 10

// runtimeMemoryShare is the share of the process's memory that the Go runtime is limited
// to, for the heap and the stacks of goroutines. The rest is for the stacks of the
// operating system's threads, the program itself, and overshoot of the garbage collector.
const runtimeMemoryShare = 0.75

// limitMemory limits the pooling of bodies, and makes the garbage collector keep the
// process within the given memory in bytes; 0 sets no limit. Without a limit the heap
// grows to twice the live memory, and a server kills a process that exceeds its memory.
func limitMemory(bytes int) {
	fasthttp.SetBodySizePoolLimit(maxPooledBody, maxPooledBody)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(bytes)))
	}
}
