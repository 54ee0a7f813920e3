package main_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// largeBody is half of the max_body setting, in bytes.
	largeBody = 32 << 20
	// memoryBound is the memory setting of these tests' nodes, in bytes. On a server with
	// that limit the kernel would kill a process that exceeds it.
	memoryBound = 184 << 20
)

// Guards against concurrent large bodies, each buffered whole before it is forwarded, that
// exceed a server's memory: the process is killed together with all in-flight calls.
// Calls that do not fit must be refused as not run.
func TestLargeBodiesAtOnceKeepWithinMemory(t *testing.T) {
	m := newMeshWith(t, 200*time.Millisecond, "\n[call]\nmax_body = 64MB\n[node]\nmemory = 184MB")
	for _, count := range []int{4, 8, 16} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			var group sync.WaitGroup
			answers := make([]string, count)
			for i := range count {
				group.Go(func() { answers[i] = m.upload(t, largeBody, largeBody) })
			}
			small := m.startCalls(t, 4)
			group.Wait()
			assertAnswered(t, small())
			for _, a := range answers {
				if !strings.HasPrefix(a, "200 ") && !strings.HasPrefix(a, "503 not_run") {
					t.Errorf("response %q, want the upstream's or not_run", a)
				}
			}
			t.Logf("%d bodies: peak memory: front %d MB, back %d MB", count, m.front.peakMemory(t)>>20, m.back.peakMemory(t)>>20)
			if got := max(m.front.peakMemory(t), m.back.peakMemory(t)); got > memoryBound*raceFactor {
				t.Errorf("a node used %d MB, want %d MB at most", got>>20, memoryBound*raceFactor>>20)
			}
		})
	}
}

// Checks that the memory limit also covers bodies without a content-length, whose size is
// otherwise bounded by max_body alone.
func TestBodiesOfUnstatedLengthKeepWithinMemory(t *testing.T) {
	m := newMeshWith(t, 200*time.Millisecond, "\n[call]\nmax_body = 64MB\n[node]\nmemory = 184MB")
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() { m.upload(t, largeBody, -1) })
	}
	group.Wait()
	m.front.assertRunning(t)
	if got := max(m.front.peakMemory(t), m.back.peakMemory(t)); got > memoryBound*raceFactor {
		t.Errorf("a node used %d MB, want %d MB at most", got>>20, memoryBound*raceFactor>>20)
	}
}

// Checks that a call whose body has no content-length is served while memory is
// available, and refused as not run otherwise. If its connection were just closed, the
// caller could not know whether the call ran.
func TestBodiesOfUnknownLengthAreAnswered(t *testing.T) {
	m := newMeshWith(t, 200*time.Millisecond, "\n[call]\nmax_body = 64MB\n[node]\nmemory = 184MB")
	if a := m.upload(t, largeBody, -1); !strings.HasPrefix(a, "200 ") {
		t.Errorf("alone: response %q, want the upstream's", a)
	}
	var group sync.WaitGroup
	answers := make([]string, 8)
	for i := range answers {
		group.Go(func() { answers[i] = m.upload(t, largeBody, -1) })
	}
	group.Wait()
	for _, a := range answers {
		if !strings.HasPrefix(a, "200 ") && !strings.HasPrefix(a, "503 not_run") {
			t.Errorf("concurrent: response %q, want the upstream's or not_run", a)
		}
	}
	if a := m.upload(t, largeBody, -1); !strings.HasPrefix(a, "200 ") {
		t.Errorf("afterwards: response %q, want the upstream's", a)
	}
}

// upload sends a body of size bytes, all of them zero, with length as its content-length,
// or without one if length is -1. It returns the status and body of the response, or the
// error.
func (m *mesh) upload(t *testing.T, size, length int64) string {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+m.entry+"/", io.LimitReader(zeroes{}, size))
	if err != nil {
		return err.Error()
	}
	q.Host, q.ContentLength = "store", length
	q.Header.Set("Expect", "100-continue")
	a, err := (&http.Client{Transport: &http.Transport{ExpectContinueTimeout: 10 * time.Second}}).Do(q)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	body, _ := io.ReadAll(a.Body)
	return fmt.Sprintf("%d %s", a.StatusCode, body)
}

// zeroes is an endless reader of zero bytes.
type zeroes struct{}

func (zeroes) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// peakMemory returns the process's peak resident memory in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, err := strconv.Atoi(kb)
	if err != nil {
		t.Fatalf("read peak memory: %v", err)
	}
	return n << 10
}
