package kqreload

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"time"
)

const defaultEvery = 2 * time.Second

type (
	// Reloader polls some files by content, not by time of change: mounted
	// secrets are swapped by links, whose times say nothing.
	Reloader struct {
		files  []string
		load   func() error
		failed func(error)
		every  time.Duration
		last   [sha256.Size]byte
	}

	// Option sets up a Reloader.
	Option func(*Reloader)
)

// WithEvery sets the time between two looks.
func WithEvery(d time.Duration) Option { return func(r *Reloader) { r.every = d } }

// WithFailed is told of each load that failed; what was loaded before stays.
func WithFailed(f func(error)) Option { return func(r *Reloader) { r.failed = f } }

// New loads once and returns a reloader, or the error of that first load.
func New(files []string, load func() error, options ...Option) (*Reloader, error) {
	r := &Reloader{files: files, load: load, failed: func(error) {}, every: defaultEvery}
	for _, o := range options {
		o(r)
	}
	return r, r.once()
}

// Run looks at the files until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	ticker := time.NewTicker(r.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.once(); err != nil {
				r.failed(err)
			}
		}
	}
}

// once loads when the files are not those of the last load that succeeded. A
// certificate and its key are written one after the other: a look between the
// two fails to load, and the next look tries again.
func (r *Reloader) once() error {
	sum, err := r.sum()
	if err != nil {
		return err
	}
	if sum == r.last {
		return nil
	}
	if err := r.load(); err != nil {
		return fmt.Errorf("reload: %w", err)
	}
	r.last = sum
	return nil
}

func (r *Reloader) sum() (sum [sha256.Size]byte, err error) {
	hash := sha256.New()
	for _, name := range r.files {
		f, err := os.Open(name)
		if err != nil {
			return sum, fmt.Errorf("look at file: %w", err)
		}
		n, err := io.Copy(hash, f)
		_ = f.Close()
		if err != nil {
			return sum, fmt.Errorf("look at %s: %w", name, err)
		}
		fmt.Fprintf(hash, "|%d|", n)
	}
	hash.Sum(sum[:0])
	return sum, nil
}
