package main_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a panic in one call that ends the process and cuts all other in-flight
// calls, which the HTTP library does by default. Only the one call may fail, and it may
// be reported as not run only if that is certain.
func TestCallsOutliveAPanicInOneOfThem(t *testing.T) {
	m := newMeshWith(t, 500*time.Millisecond, "\nadapter = "+callPanicAdapter)
	for _, c := range []struct{ step, result string }{
		{"accept", "unknown"}, {"write_headers", "unknown"}, {"is_answer", "unknown"}, {"read_verdict", "unknown"},
	} {
		t.Run(c.step, func(t *testing.T) {
			answers := m.startCalls(t, 4)
			time.Sleep(100 * time.Millisecond)
			status, result := m.callPanicking(t, c.step)
			if status != http.StatusGatewayTimeout || result != c.result {
				t.Errorf("panicking call: status %d, result %q, want 504 and %s", status, result, c.result)
			}
			assertAnswered(t, answers())
			m.front.assertRunning(t)
			m.back.assertRunning(t)
		})
	}
	if line := m.back.readAfter(t, "event=panic"); !strings.Contains(line, "injected panic in write_headers") || !strings.Contains(line, "panic_adapters_test.go") {
		t.Errorf("panic line is %q, want its cause and stack", line)
	}
}

// Guards against panicking calls that keep their slot and connection of the upstream:
// after a number of them the upstream would accept no more calls.
func TestPanicsReleaseSlotsAndConnections(t *testing.T) {
	m := newMeshWith(t, 10*time.Millisecond, "\nadapter = "+callPanicAdapter)
	for _, step := range []string{"write_headers", "is_answer", "read_verdict"} {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 20 {
					m.callPanicking(t, step)
				}
			})
		}
		group.Wait()
	}
	m.front.assertRunning(t)
	m.back.assertRunning(t)
	assertAnswered(t, m.startCalls(t, 8)())
}

// Guards against a background task that a panic ends without notice while the node keeps
// serving: the node would get no new versions or changes of the fleet. Here the first get
// of each key and the first watch, grant and renewal at the store panic.
func TestBackgroundTasksRecoverFromAPanic(t *testing.T) {
	m := newMeshWith(t, 10*time.Millisecond, "\nadapter = "+storePanicAdapter)
	assertAnswered(t, m.startCalls(t, 4)())
	m.front.assertRunning(t)
	if line := m.front.readAfter(t, "event=panic"); !strings.Contains(line, "panicked=") {
		t.Errorf("panic line is %q, want the name of the task", line)
	}
}

// callPanicking sends a call that panics in a step, and returns the status and the value of
// the Kq-Result header, or 0 and the error.
func (m *mesh) callPanicking(t *testing.T, step string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+m.entry+"/", strings.NewReader("order"))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	q.Host = "store"
	q.Header.Set(panicHeader, step)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, a.Header.Get("Kq-Result")
}
