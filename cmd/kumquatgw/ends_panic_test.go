package main_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// A fault in the code that handles one call panics: it read a header that nobody
// thought of. The library that serves calls ends the whole process then, and callers
// of all other calls that are under way are cut off. Only the one call may fail, and
// its caller is not told that it did not run, unless that is certain.
func TestCallsOutliveAPanicInOneOfThem(t *testing.T) {
	m := newMeshWith(t, 500*time.Millisecond, "\nadapter = "+fragileCalls)
	for _, c := range []struct{ step, result string }{
		{"accept", "unknown"}, {"tell", "unknown"}, {"belongs", "unknown"}, {"judge", "unknown"},
	} {
		t.Run(c.step, func(t *testing.T) {
			answers := m.calls(t, 4)
			time.Sleep(100 * time.Millisecond)
			status, result := m.broken(t, c.step)
			if status != http.StatusGatewayTimeout || result != c.result {
				t.Errorf("the call that panicked: status %d, result %q, want 504 and %s", status, result, c.result)
			}
			answered(t, answers())
			m.front.alive(t)
			m.back.alive(t)
		})
	}
	if line := m.back.after(t, "event=panic"); !strings.Contains(line, "fragile in tell") || !strings.Contains(line, "fragile_test.go") {
		t.Errorf("line of the panic %q, want its cause and its stack", line)
	}
}

// Many calls panic one after the other, each of which held a slot and a connection of
// the upstream. Were these not given back, the upstream would soon take no calls.
func TestPanicsGiveBackWhatTheirCallsHeld(t *testing.T) {
	m := newMeshWith(t, 10*time.Millisecond, "\nadapter = "+fragileCalls)
	for _, step := range []string{"tell", "belongs", "judge"} {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 20 {
					m.broken(t, step)
				}
			})
		}
		group.Wait()
	}
	m.front.alive(t)
	m.back.alive(t)
	answered(t, m.calls(t, 8)())
}

// The first call of each kind to the store panics in the part that makes it. Such a
// part would be dead while the node serves on: new versions and changes of the fleet
// would never reach it, and nothing would tell.
func TestPartsOutliveAPanic(t *testing.T) {
	m := newMeshWith(t, 10*time.Millisecond, "\nadapter = "+fragileParts)
	answered(t, m.calls(t, 4)())
	m.front.alive(t)
	if line := m.front.after(t, "event=panic"); !strings.Contains(line, "panicked=") {
		t.Errorf("line of the panic %q, want its part", line)
	}
}

// broken calls with a step that panics and returns the status and the result.
func (m *mesh) broken(t *testing.T, step string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+m.entry+"/", strings.NewReader("order"))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	q.Host = "store"
	q.Header.Set(fragileHeader, step)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, a.Header.Get("Kq-Result")
}
