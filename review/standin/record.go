package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord returns a record in the given file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, began: time.Now()}, err
}

// Printf writes a line with the time since the beginning.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes a line and prints it too.
func (r *Record) Sayf(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
