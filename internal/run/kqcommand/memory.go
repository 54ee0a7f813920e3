package kqcommand

import "runtime/debug"

// heapShare is the part of a process's memory up to which the collector lets the heap
// grow: stacks of the system's, the program itself and what the collector is late
// with take the rest.
const heapShare = 0.75

// limitMemory has the collector keep the process within its memory, 0 without a limit.
// By default the heap grows to twice what is in use, and a server ends a process that
// is over its memory.
func limitMemory(bytes int) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}
