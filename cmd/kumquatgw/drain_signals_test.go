package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against repeated stop and reload signals that end a draining node before its
// in-flight calls are answered.
func TestCallsOutliveSignalsDuringTheLeave(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
	}{
		{"repeated SIGHUP", []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}},
		{"repeated SIGTERM", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}},
		{"mixed signals", []os.Signal{os.Interrupt, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(t, 600*time.Millisecond)
			answers := m.startCalls(t, 6)
			time.Sleep(100 * time.Millisecond)
			for _, s := range c.signals {
				m.front.signal(t, s)
				time.Sleep(40 * time.Millisecond)
			}
			assertAnswered(t, answers())
			<-m.front.ended
			if m.front.err != nil {
				t.Errorf("the node exited with %v, want a complete drain", m.front.err)
			}
		})
	}
}

// Checks that a reload of an invalid settings file changes nothing, while a node runs or
// drains: a file that is truncated, empty, deleted, binary, huge or a directory.
func TestCallsOutliveABrokenSettingsFile(t *testing.T) {
	for name, breakFile := range map[string]func(file string) error{
		"truncated": func(f string) error { return os.Truncate(f, 25) },
		"empty":     func(f string) error { return os.Truncate(f, 0) },
		"deleted":   os.Remove,
		"binary":    func(f string) error { return os.WriteFile(f, []byte{0, 1, 2, '[', 0xff, '\n', '='}, 0o600) },
		"directory": func(f string) error { _ = os.Remove(f); return os.Mkdir(f, 0o700) },
		"huge":      func(f string) error { return os.WriteFile(f, []byte(strings.Repeat("a=", 4<<20)), 0o600) },
	} {
		for _, leaving := range []bool{false, true} {
			state := map[bool]string{false: " while it runs", true: " while it drains"}[leaving]
			t.Run(name+state, func(t *testing.T) {
				t.Parallel()
				m := newMesh(t, 600*time.Millisecond)
				answers := m.startCalls(t, 4)
				time.Sleep(100 * time.Millisecond)
				if leaving {
					m.front.signal(t, syscall.SIGTERM)
				}
				if err := breakFile(m.front.file); err != nil {
					t.Fatal(err)
				}
				m.front.signal(t, syscall.SIGHUP)
				assertAnswered(t, answers())
				if !leaving {
					m.front.readAfter(t, "Changed settings are not taken over.")
					assertAnswered(t, m.startCalls(t, 1)())
					m.front.assertRunning(t)
					return
				}
				<-m.front.ended
				if m.front.err != nil {
					t.Errorf("the node exited with %v, want a complete drain", m.front.err)
				}
			})
		}
	}
}

// Checks that the log states how many calls the drain timeout cancels, and that none is
// in flight when the node stops. Their callers get a 504.
func TestLogCountsCallsThatTheDrainCancels(t *testing.T) {
	m := newMeshWith(t, 4*time.Second, "\n[node]\ndrain_timeout = 1s")
	answers := m.startCalls(t, 3)
	time.Sleep(200 * time.Millisecond)
	m.front.signal(t, syscall.SIGTERM)
	if line := m.front.readAfter(t, "calls that take longer are cancelled."); !strings.Contains(line, "calls=3") {
		t.Errorf("drain line is %q, want calls=3", line)
	}
	if line := m.front.readAfter(t, "node: Stopped."); !strings.Contains(line, "calls=0") || !strings.Contains(line, "drain") {
		t.Errorf("last line is %q, want calls=0 and the drain as the cause", line)
	}
	for _, a := range answers() {
		if !strings.HasPrefix(a, "504") {
			t.Errorf("response to a cancelled call is %q, want 504", a)
		}
	}
}
