package kqkeeper

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqpause"
)

const (
	// pauseBase and pauseMost bound the pause before a part is started again: one
	// that panics at once, each time, must not take the processor from the calls.
	pauseBase = 100 * time.Millisecond
	pauseMost = 5 * time.Second
	// stackEvery is the pause between two stacks of a part: a call that panics can be
	// sent again at any rate, and a stack is some KB.
	stackEvery = time.Second
)

type (
	// Keeper runs work and notes its panics. It is safe for concurrent use. A nil
	// Keeper notes nothing and lets panics pass, as in tests of a single part.
	Keeper struct {
		noted func(Panic)

		mu   sync.Mutex
		told map[string]time.Time
	}

	// Panic is one that was caught.
	Panic struct {
		// Part names the work, of which there are few.
		Part string
		// Value is what the work panicked with.
		Value string
		// Stack is that of the panic, "" where the part had one told lately.
		Stack string
	}

	contextKey struct{}
)

// New returns a keeper; noted is told of each panic and must not panic itself.
func New(noted func(Panic)) *Keeper { return &Keeper{noted: noted, told: make(map[string]time.Time)} }

// With returns a context that carries the keeper to the parts that run under it.
func (k *Keeper) With(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, k)
}

// From returns the keeper that a context carries, or nil.
func From(ctx context.Context) *Keeper {
	k, _ := ctx.Value(contextKey{}).(*Keeper)
	return k
}

// Try runs the work once, and reports whether it came to its end.
func (k *Keeper) Try(part string, work func()) (whole bool) {
	if k == nil {
		work()
		return true
	}
	defer func() {
		if whole {
			return
		}
		if value := recover(); value != nil {
			k.note(part, value)
		}
	}()
	work()
	return true
}

// Keep runs the work until it comes to its end by itself, again after a pause where
// it panics, unless ctx has ended.
func (k *Keeper) Keep(ctx context.Context, part string, work func()) {
	pause := pauseBase
	for {
		began := time.Now()
		if k.Try(part, work) || ctx.Err() != nil {
			return
		}
		if time.Since(began) > pauseMost {
			pause = pauseBase
		}
		kqpause.For(ctx, pause)
		pause = min(2*pause, pauseMost)
	}
}

func (k *Keeper) note(part string, value any) {
	p := Panic{Part: part, Value: fmt.Sprint(value)}
	now := time.Now()
	k.mu.Lock()
	if now.Sub(k.told[part]) >= stackEvery {
		k.told[part] = now
		p.Stack = string(debug.Stack())
	}
	k.mu.Unlock()
	k.noted(p)
}
