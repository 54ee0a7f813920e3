package kqlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxQueuedLines is how many lines wait for a slow log collector: a few
	// seconds' worth at the default rates of [log], and under 1 MB.
	maxQueuedLines = 2048
	// flushTimeout bounds how long Close waits for the log collector.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter writes log lines to an output in the background, so that an output
// whose log collector stalls or is gone does not block the calls that log. Lines that do
// not fit into the queue are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	stop    chan struct{}
	done    chan struct{}
	group   conc.WaitGroup
}

// NewAsyncWriter starts a writer to out; the caller must close it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	a.group.Go(func() {
		defer close(a.done)
		a.writeLoop(out)
	})
	return a
}

// Write implements io.Writer; it never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case a.lines <- copied:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were not written since the start, because the
// queue was full or the output failed.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops, but returns after flushTimeout if the
// output blocks.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}

// writeLoop writes queued lines to out until Close, then the rest of the queue.
func (a *AsyncWriter) writeLoop(out io.Writer) {
	for {
		select {
		case line := <-a.lines:
			a.writeLine(out, line)
		case <-a.stop:
			for len(a.lines) > 0 {
				a.writeLine(out, <-a.lines)
			}
			return
		}
	}
}

// writeLine writes one line. A failure is only counted: it cannot be logged, as
// the log itself failed.
func (a *AsyncWriter) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
