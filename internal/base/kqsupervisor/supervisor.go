package kqsupervisor

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
)

const (
	// minBackoff and maxBackoff bound the pause before work is restarted: work that
	// panics immediately each time must not take CPU time from proxied calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// stackInterval is the least time between two stack traces of a part, which is the
	// work run under one name: callers can trigger the same panic at any rate, and a
	// stack trace has some KB.
	stackInterval = time.Second
)

type (
	// Supervisor runs work, recovers its panics and reports them. It is safe for
	// concurrent use. A nil Supervisor does not recover panics, so that they fail
	// the tests of packages that run without one.
	Supervisor struct {
		onPanic func(Panic)

		mu        sync.Mutex
		lastStack map[string]time.Time
	}

	// Panic describes a recovered panic.
	Panic struct {
		// Part names the work that panicked. The set of names must be small, since the
		// supervisor keeps a map entry for each.
		Part string
		// Value is the value of the panic as text.
		Value string
		// Stack is the stack trace, "" if one of the same part was reported within
		// stackInterval.
		Stack string
	}

	contextKey struct{}
)

// New returns a supervisor that calls onPanic with each panic; onPanic must not panic.
func New(onPanic func(Panic)) *Supervisor {
	return &Supervisor{onPanic: onPanic, lastStack: make(map[string]time.Time)}
}

// With returns a context that carries the supervisor.
func (s *Supervisor) With(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, s)
}

// From returns the supervisor that a context carries, or nil.
func From(ctx context.Context) *Supervisor {
	s, _ := ctx.Value(contextKey{}).(*Supervisor)
	return s
}

// RunRecovered runs the work once and reports whether it returned without a panic.
func (s *Supervisor) RunRecovered(part string, work func()) (completed bool) {
	if s == nil {
		work()
		return true
	}
	defer func() {
		if completed {
			return
		}
		if value := recover(); value != nil {
			s.report(part, value)
		}
	}()
	work()
	return true
}

// RunWithRestart runs the work until it returns. If it panics, RunWithRestart restarts
// it after a pause that doubles up to maxBackoff, unless ctx has ended when it panics. If
// ctx ends during the pause, the work is started once more, at once. A run that lasted
// longer than maxBackoff resets the pause.
func (s *Supervisor) RunWithRestart(ctx context.Context, part string, work func()) {
	pause := minBackoff
	for {
		started := time.Now()
		if s.RunRecovered(part, work) || ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxBackoff {
			pause = minBackoff
		}
		kqsleep.For(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

func (s *Supervisor) report(part string, value any) {
	p := Panic{Part: part, Value: fmt.Sprint(value)}
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.lastStack[part]) >= stackInterval {
		s.lastStack[part] = now
		p.Stack = string(debug.Stack())
	}
	s.mu.Unlock()
	s.onPanic(p)
}
