package kqreload

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"time"
)

const defaultInterval = 2 * time.Second

type (
	// Reloader polls files and calls load when their content changes. It compares
	// content and not modification times, since mounted secrets are replaced by
	// switching symbolic links, whose times are unreliable.
	Reloader struct {
		files     []string
		load      func() error
		onFailure func(error)
		interval  time.Duration
		// loadedSum is the checksum of the files at the last successful load.
		loadedSum [sha256.Size]byte
	}

	// Option configures a Reloader.
	Option func(*Reloader)
)

// WithInterval sets the polling interval.
func WithInterval(d time.Duration) Option { return func(r *Reloader) { r.interval = d } }

// WithFailureHandler sets a function that is called with the error of each failed poll
// of Run. The content loaded before stays in use.
func WithFailureHandler(f func(error)) Option { return func(r *Reloader) { r.onFailure = f } }

// New reads the files, calls load for the first time and returns the reloader. If
// reading or loading fails, the reloader is returned with the error and can be run.
func New(files []string, load func() error, options ...Option) (*Reloader, error) {
	r := &Reloader{files: files, load: load, onFailure: func(error) {}, interval: defaultInterval}
	for _, o := range options {
		o(r)
	}
	return r, r.poll()
}

// Run polls the files until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.poll(); err != nil {
				r.onFailure(err)
			}
		}
	}
}

// poll calls load if the files differ from those of the last successful load. A
// poll can see only some of the files replaced, such as a certificate without its
// new key; load then fails, and the next poll retries.
func (r *Reloader) poll() error {
	sum, err := r.sum()
	if err != nil {
		return err
	}
	if sum == r.loadedSum {
		return nil
	}
	if err := r.load(); err != nil {
		return fmt.Errorf("load files: %w", err)
	}
	r.loadedSum = sum
	return nil
}

// sum returns a checksum of the contents and lengths of all files.
func (r *Reloader) sum() (sum [sha256.Size]byte, err error) {
	hash := sha256.New()
	for _, name := range r.files {
		f, err := os.Open(name)
		if err != nil {
			return sum, fmt.Errorf("poll file: %w", err)
		}
		n, err := io.Copy(hash, f)
		_ = f.Close()
		if err != nil {
			return sum, fmt.Errorf("read %s: %w", name, err)
		}
		fmt.Fprintf(hash, "|%d|", n)
	}
	hash.Sum(sum[:0])
	return sum, nil
}
