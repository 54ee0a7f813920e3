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
	// panics immediately each time must not take processor time from the calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// stackInterval is the least time between two stack traces of a part: a call that
	// panics can be repeated at any rate, and a stack trace has some KB.
	stackInterval = time.Second
)

type (
	// Supervisor runs work, recovers its panics and reports them. It is safe for
	// concurrent use. A nil Keeper does not recover panics, as in tests of a single
	// part.
	Supervisor struct {
		onPanic func(Panic)

		mu        sync.Mutex
		lastStack map[string]time.Time
	}

	// Panic describes a recovered panic.
	Panic struct {
		// Part names the work that panicked. There are only a few names.
		Part string
		// Value is the value of the panic as text.
		Value string
		// Stack is the stack trace, "" if one of the same part was reported within the
		// last second.
		Stack string
	}

	contextKey struct{}
)

// New returns a keeper that calls onPanic with each panic; onPanic must not panic.
func New(onPanic func(Panic)) *Supervisor {
	return &Supervisor{onPanic: onPanic, lastStack: make(map[string]time.Time)}
}

// With returns a context that carries the keeper.
func (k *Supervisor) With(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, k)
}

// From returns the keeper that a context carries, or nil.
func From(ctx context.Context) *Supervisor {
	k, _ := ctx.Value(contextKey{}).(*Supervisor)
	return k
}

// RunRecovered runs the work once and reports whether it returned without a panic.
func (k *Supervisor) RunRecovered(part string, work func()) (completed bool) {
	if k == nil {
		work()
		return true
	}
	defer func() {
		if completed {
			return
		}
		if value := recover(); value != nil {
			k.report(part, value)
		}
	}()
	work()
	return true
}

// RunWithRestart runs the work until it returns. If it panics, Keep restarts it after a pause
// that doubles up to maxBackoff, unless ctx has ended. A run that lasted longer than
// maxBackoff resets the pause.
func (k *Supervisor) RunWithRestart(ctx context.Context, part string, work func()) {
	pause := minBackoff
	for {
		started := time.Now()
		if k.RunRecovered(part, work) || ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxBackoff {
			pause = minBackoff
		}
		kqsleep.For(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

func (k *Supervisor) report(part string, value any) {
	p := Panic{Part: part, Value: fmt.Sprint(value)}
	now := time.Now()
	k.mu.Lock()
	if now.Sub(k.lastStack[part]) >= stackInterval {
		k.lastStack[part] = now
		p.Stack = string(debug.Stack())
	}
	k.mu.Unlock()
	k.onPanic(p)
}
