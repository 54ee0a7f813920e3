package kqsupervisor_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
)

// Guards against background work that stops silently after a panic. Each panic must be
// reported, the first with its stack trace, and the work restarted until it returns.
func TestPanickedWorkIsRestarted(t *testing.T) {
	var mu sync.Mutex
	var reported []kqsupervisor.Panic
	s := kqsupervisor.New(func(p kqsupervisor.Panic) {
		mu.Lock()
		defer mu.Unlock()
		reported = append(reported, p)
	})
	runs := 0
	kqsupervisor.From(s.With(t.Context())).RunWithRestart(t.Context(), "watch", func() {
		if runs++; runs <= 2 {
			panic("fault")
		}
	})
	if runs != 3 || len(reported) != 2 {
		t.Fatalf("%d runs and %d reported panics, want 3 and 2", runs, len(reported))
	}
	if p := reported[0]; p.Part != "watch" || p.Value != "fault" || !strings.Contains(p.Stack, "supervisor_test.go") {
		t.Errorf("reported %+v, want the part, the value and the stack trace", p)
	}
	if reported[1].Stack != "" {
		t.Error("a second stack trace within a second: a repeated call that panics would fill the log")
	}
}

// Guards against a shutdown that is delayed by work which panics at every restart.
func TestRestartsEndWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	kqsupervisor.New(func(kqsupervisor.Panic) {}).RunWithRestart(ctx, "watch", func() { panic("fault") })
	if took := time.Since(started); took > time.Second {
		t.Errorf("RunWithRestart returned after %v, want soon after the end of its context at 50 ms", took)
	}
}

// Guards against hidden panics in tests of one package, which run without a supervisor.
func TestNilSupervisorDoesNotRecoverPanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a nil supervisor recovered the panic")
		}
	}()
	kqsupervisor.From(t.Context()).RunRecovered("watch", func() { panic("fault") })
}
