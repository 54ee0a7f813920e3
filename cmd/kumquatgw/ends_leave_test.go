package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A node that leaves is told again and again to stop, and of changed settings, while
// calls are under way: a nervous operator, and a platform that repeats itself. Any of
// it could end the process early, and the calls would be cut.
func TestCallsOutliveSignalsDuringTheLeave(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
	}{
		{"hangup often", []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}},
		{"terminate often", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}},
		{"interrupt, terminate", []os.Signal{os.Interrupt, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(t, 600*time.Millisecond)
			answers := m.calls(t, 6)
			time.Sleep(100 * time.Millisecond)
			for _, s := range c.signals {
				m.front.signal(t, s)
				time.Sleep(40 * time.Millisecond)
			}
			answered(t, answers())
			<-m.front.ended
			if m.front.err != nil {
				t.Errorf("the node ended with %v, want a whole leave", m.front.err)
			}
		})
	}
}

// The settings file is written anew while the node runs or leaves, and is read in the
// midst of it: torn, empty, gone, a directory, or not to be read. What the node runs
// with stays in force.
func TestCallsOutliveABrokenSettingsFile(t *testing.T) {
	for name, breakFile := range map[string]func(file string) error{
		"torn":      func(f string) error { return os.Truncate(f, 25) },
		"empty":     func(f string) error { return os.Truncate(f, 0) },
		"deleted":   os.Remove,
		"binary":    func(f string) error { return os.WriteFile(f, []byte{0, 1, 2, '[', 0xff, '\n', '='}, 0o600) },
		"directory": func(f string) error { _ = os.Remove(f); return os.Mkdir(f, 0o700) },
		"huge":      func(f string) error { return os.WriteFile(f, []byte(strings.Repeat("a=", 4<<20)), 0o600) },
	} {
		for _, leaving := range []bool{false, true} {
			state := map[bool]string{false: " while it runs", true: " while it leaves"}[leaving]
			t.Run(name+state, func(t *testing.T) {
				t.Parallel()
				m := newMesh(t, 600*time.Millisecond)
				answers := m.calls(t, 4)
				time.Sleep(100 * time.Millisecond)
				if leaving {
					m.front.signal(t, syscall.SIGTERM)
				}
				if err := breakFile(m.front.file); err != nil {
					t.Fatal(err)
				}
				m.front.signal(t, syscall.SIGHUP)
				answered(t, answers())
				if !leaving {
					m.front.after(t, "Changed settings are not taken over.")
					answered(t, m.calls(t, 1)())
					m.front.alive(t)
					return
				}
				<-m.front.ended
				if m.front.err != nil {
					t.Errorf("the node ended with %v, want a whole leave", m.front.err)
				}
			})
		}
	}
}

// Calls last longer than the node may take to leave. They are cancelled at its end, and
// told so. Its lines must say how many: whoever looks into calls that ended so trusts
// them, and the last line that none was left to be cut.
func TestLinesTellOfCallsThatOutlastTheLeave(t *testing.T) {
	m := newMeshWith(t, 4*time.Second, "\n[node]\ndrain_timeout = 1s")
	answers := m.calls(t, 3)
	time.Sleep(200 * time.Millisecond)
	m.front.signal(t, syscall.SIGTERM)
	if line := m.front.after(t, "calls that take longer are cancelled."); !strings.Contains(line, "calls=3") {
		t.Errorf("line of the step %q, want 3 calls", line)
	}
	if line := m.front.after(t, "node: Stopped."); !strings.Contains(line, "calls=0") || !strings.Contains(line, "drain") {
		t.Errorf("last line %q, want no call, and why some were cancelled", line)
	}
	for _, a := range answers() {
		if !strings.HasPrefix(a, "504") {
			t.Errorf("answer %q of a call that the node's end cancelled", a)
		}
	}
}
