package kqlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// queued is how many lines wait for a slow reader of the output: a few
	// seconds' worth at the rates of the settings, and under 1 MB.
	queued = 2048
	// flushFor bounds how long the end of the process waits for the reader.
	flushFor = 200 * time.Millisecond
)

// Async writes lines to an output beside whoever logs. A reader of the output
// that stalls, or is gone, would otherwise hold up the calls that log; lines that
// there is no room for are counted and left out. It is safe for concurrent use.
type Async struct {
	lines   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	end     chan struct{}
	done    chan struct{}
	group   conc.WaitGroup
}

// NewAsync returns a writer to out, to be closed with Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queued), end: make(chan struct{}), done: make(chan struct{})}
	a.group.Go(func() {
		defer close(a.done)
		a.run(out)
	})
	return a
}

// Write implements io.Writer; it never blocks and never fails.
func (a *Async) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case a.lines <- kept:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines there was no room for, since the start.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes what waits, unless the reader takes too long.
func (a *Async) Close() {
	a.once.Do(func() { close(a.end) })
	select {
	case <-a.done:
	case <-time.After(flushFor):
	}
}

func (a *Async) run(out io.Writer) {
	for {
		select {
		case line := <-a.lines:
			a.write(out, line)
		case <-a.end:
			for len(a.lines) > 0 {
				a.write(out, <-a.lines)
			}
			return
		}
	}
}

// write counts a line that the output refuses: there is nowhere else to tell it.
func (a *Async) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
