package kqlog_test

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
)

// stalledWriter blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalledWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(line)
}

// A log collector that hangs stops reading the program's output. Calls that log
// must not block; lines that exceed the queue are counted, and the others are
// written once the log collector resumes.
func TestStalledOutputBlocksNoLogger(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	a := kqlog.NewAsyncWriter(out)
	logger, err := kqlog.New(a, "info", "json")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 10000
	log := logger.Part("test")
	for range lines {
		log.Info("A line.")
	}
	if a.Dropped() == 0 {
		t.Error("no line was counted as dropped although the output is stalled")
	}
	close(out.release)
	a.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := bytes.Count(out.got.Bytes(), []byte("\n")); uint64(got)+a.Dropped() != lines {
		t.Errorf("%d lines were written and %d dropped of %d", got, a.Dropped(), lines)
	}
}

// The log collector has closed the output, so each write to it fails. Loggers must
// not block or see an error, and each line is counted as dropped.
func TestClosedOutputIsNoError(t *testing.T) {
	r, w := io.Pipe()
	_ = r.Close()
	a := kqlog.NewAsyncWriter(w)
	for range 100 {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	if a.Dropped() != 100 {
		t.Errorf("%d of 100 lines were counted as dropped", a.Dropped())
	}
}
