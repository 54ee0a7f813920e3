package kqcommand

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// pooledBody is the size in bytes up to which the memory of bodies is kept for others.
// Large ones are kept through two collections, by which time several callers' large
// bodies have taken their room twice.
const pooledBody = 64 << 10

// heapShare is the part of a process's memory up to which the collector lets the heap
// grow: stacks of the system's, the program itself and what the collector is late
// with take the rest.
const heapShare = 0.75

// limitMemory has the collector keep the process within its memory, 0 without a limit.
// By default the heap grows to twice what is in use, and a server ends a process that
// is over its memory.
func limitMemory(bytes int) {
	fasthttp.SetBodySizePoolLimit(pooledBody, pooledBody)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}
