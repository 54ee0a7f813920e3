package kqlog_test

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
)

// stalled is an output whose reader takes nothing until it is let go.
type stalled struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(line)
}

// The reader of the program's output stalls, as a log collector does that is
// itself stuck. Calls that log must go on as if nothing were; what there was no
// room for is counted, and the rest comes once the reader is back.
func TestStalledReaderHoldsUpNobody(t *testing.T) {
	out := &stalled{free: make(chan struct{})}
	a := kqlog.NewAsync(out)
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
		t.Error("nothing was left out although nobody reads")
	}
	close(out.free)
	a.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := bytes.Count(out.got.Bytes(), []byte("\n")); uint64(got)+a.Dropped() != lines {
		t.Errorf("%d lines came and %d were left out of %d", got, a.Dropped(), lines)
	}
}

// The reader is gone, and each write fails. Nobody may be held up.
func TestReaderIsGone(t *testing.T) {
	r, w := io.Pipe()
	_ = r.Close()
	a := kqlog.NewAsync(w)
	for range 100 {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	if a.Dropped() != 100 {
		t.Errorf("%d of 100 lines are counted as left out", a.Dropped())
	}
}
