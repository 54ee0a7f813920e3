package kqkeeper_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
)

// A part panics twice and would be dead in silence, while the node serves on without
// it. It is noted at once, with the stack of the fault, and started again; a part that
// comes to its end is not.
func TestPartIsStartedAgain(t *testing.T) {
	var mu sync.Mutex
	var noted []kqkeeper.Panic
	k := kqkeeper.New(func(p kqkeeper.Panic) {
		mu.Lock()
		defer mu.Unlock()
		noted = append(noted, p)
	})
	runs := 0
	kqkeeper.From(k.With(t.Context())).Keep(t.Context(), "watch", func() {
		if runs++; runs <= 2 {
			panic("fault")
		}
	})
	if runs != 3 || len(noted) != 2 {
		t.Fatalf("%d runs and %d panics noted, want 3 and 2", runs, len(noted))
	}
	if p := noted[0]; p.Part != "watch" || p.Value != "fault" || !strings.Contains(p.Stack, "keeper_test.go") {
		t.Errorf("noted %+v, want the part, the cause and the stack", p)
	}
	if noted[1].Stack != "" {
		t.Error("a second stack within a second: a call that is sent again would fill the log")
	}
}

// The process ends while a part panics each time. Its end must not wait for the part.
func TestPartEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	kqkeeper.New(func(kqkeeper.Panic) {}).Keep(ctx, "watch", func() { panic("fault") })
	if took := time.Since(began); took > time.Second {
		t.Errorf("it went on for %v after its context", took)
	}
}

// A test of a single part runs it without a keeper: a fault must not be hidden there.
func TestWithoutAKeeperPanicsPass(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("the panic was swallowed")
		}
	}()
	kqkeeper.From(t.Context()).Try("watch", func() { panic("fault") })
}
