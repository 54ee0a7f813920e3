package kqstoreclient_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
)

const longWait = 20 * time.Second

// bench is one store, the stand-in behind it and that one's clock.
type bench struct {
	kqstore.Store
	standin *kqstandin.Standin
	mu      sync.Mutex
	now     time.Time
}

func (b *bench) clock() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *bench) pass(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.now.Add(d)
}

// both runs a test against the stand-in itself and over HTTP.
func both(t *testing.T, f func(t *testing.T, b *bench)) {
	for _, name := range []string{"memory", "http"} {
		t.Run(name, func(t *testing.T) {
			b := &bench{now: time.Unix(1000, 0)}
			b.standin = kqstandin.New(kqstandin.WithNow(b.clock))
			b.Store = b.standin
			if name == "http" {
				server := httptest.NewServer(b.standin.Handler())
				t.Cleanup(server.Close)
				b.Store = kqstoreclient.New(server.URL, kqstoreclient.WithTimeout(longWait))
			}
			f(t, b)
		})
	}
}

func must[T any](t *testing.T) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func is(t *testing.T, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: %v, want %v", what, err, want)
	}
}

func TestVerbs(t *testing.T) {
	both(t, func(t *testing.T, b *bench) {
		ctx := t.Context()
		_, err := b.Get(ctx, "a")
		is(t, "get of no key", err, kqstore.ErrNotFound)
		first := must[kqstore.Revision](t)(b.Swap(ctx, "a", kqstore.Absent, []byte("1"), kqstore.NoLease))
		_, err = b.Swap(ctx, "a", kqstore.Absent, []byte("2"), kqstore.NoLease)
		is(t, "swap of a present key", err, kqstore.ErrConflict)
		second := must[kqstore.Revision](t)(b.Put(ctx, "a", []byte("2"), kqstore.NoLease))
		if e := must[kqstore.Entry](t)(b.Get(ctx, "a")); string(e.Value) != "2" || e.Revision != second || second <= first {
			t.Errorf("entry %+v after revisions %d and %d", e, first, second)
		}
		is(t, "delete at an old revision", b.Delete(ctx, "a", first), kqstore.ErrConflict)
		is(t, "delete", b.Delete(ctx, "a", second), nil)
		is(t, "delete again", b.Delete(ctx, "a", second), kqstore.ErrNotFound)
		for _, size := range []int{kqstore.MaxValueBytes + 1, 3 * kqstore.MaxValueBytes} {
			_, err = b.Put(ctx, "a", make([]byte, size), kqstore.NoLease)
			is(t, "put of too much", err, kqstore.ErrTooLarge)
		}
		must[kqstore.Revision](t)(b.Put(ctx, "a", make([]byte, kqstore.MaxValueBytes), kqstore.NoLease))
	})
}

// A holder is paused for longer than its lease, or the platform drops the
// lease. Its keys are gone, another takes them, and the holder that wakes is
// told; it would otherwise go on as if it still held them.
func TestLeaseLapsesWhileItsHolderIsPaused(t *testing.T) {
	both(t, func(t *testing.T, b *bench) {
		ctx := t.Context()
		for name, lapse := range map[string]func(){
			"paused":  func() { b.pass(11 * time.Second) },
			"dropped": func() { b.standin.SetFaults(kqstandin.Faults{LapseLeases: true}) },
		} {
			lease := must[kqstore.Lease](t)(b.Grant(ctx, 10*time.Second))
			must[kqstore.Revision](t)(b.Swap(ctx, name, kqstore.Absent, nil, lease))
			b.pass(9 * time.Second)
			is(t, "renew in time", b.Renew(ctx, lease), nil)
			b.pass(9 * time.Second)
			must[kqstore.Entry](t)(b.Get(ctx, name))
			lapse()
			is(t, name+": renew too late", b.Renew(ctx, lease), kqstore.ErrLeaseLapsed)
			_, err := b.Put(ctx, name, nil, lease)
			is(t, name+": put under it", err, kqstore.ErrLeaseLapsed)
			must[kqstore.Revision](t)(b.Swap(ctx, name, kqstore.Absent, nil, kqstore.NoLease))
		}
	})
}

// The platform is down, refuses for its rate, is slow, or loses the answer of a
// write that took effect. Each is told apart, and the lost write stands.
func TestCallFaults(t *testing.T) {
	both(t, func(t *testing.T, b *bench) {
		ctx := t.Context()
		revision := must[kqstore.Revision](t)(b.Put(ctx, "a", []byte("1"), kqstore.NoLease))
		b.standin.SetFaults(kqstandin.Faults{Down: true})
		_, err := b.Get(ctx, "a")
		is(t, "down", err, kqstore.ErrUnavailable)
		b.standin.SetFaults(kqstandin.Faults{LoseAnswers: 1})
		_, err = b.Swap(ctx, "a", revision, []byte("2"), kqstore.NoLease)
		is(t, "answer lost", err, kqstore.ErrUnavailable)
		if e := must[kqstore.Entry](t)(b.Get(ctx, "a")); string(e.Value) != "2" {
			t.Errorf("lost write left %q", e.Value)
		}
		b.standin.SetFaults(kqstandin.Faults{StaleReads: true})
		if e := must[kqstore.Entry](t)(b.Get(ctx, "a")); string(e.Value) != "1" {
			t.Errorf("stale read gave %q", e.Value)
		}
		b.pass(time.Second)
		b.standin.SetFaults(kqstandin.Faults{MaxReads: 1})
		_, err = b.Get(ctx, "a")
		is(t, "first read", err, nil)
		_, err = b.Get(ctx, "a")
		is(t, "second read", err, kqstore.ErrRateLimited)
		b.standin.SetFaults(kqstandin.Faults{Slow: time.Minute})
		brief, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		if _, err = b.Get(brief, "a"); err == nil {
			t.Error("a slow platform answered at once")
		}
	})
}

// A watch waits, as one call however long, and is woken by a write; a silent
// one keeps waiting although its key changed.
func TestWatch(t *testing.T) {
	both(t, func(t *testing.T, b *bench) {
		ctx := t.Context()
		revision := must[kqstore.Revision](t)(b.Put(ctx, "a", []byte("1"), kqstore.NoLease))
		seen := make(chan kqstore.Entry, 1)
		go func() {
			e, err := b.Watch(ctx, "a", revision, longWait)
			if err == nil {
				seen <- e
			}
		}()
		for b.standin.Counts().Watches == 0 {
			time.Sleep(time.Millisecond)
		}
		for range 5 {
			must[kqstore.Revision](t)(b.Put(ctx, "other", nil, kqstore.NoLease))
		}
		last := must[kqstore.Revision](t)(b.Put(ctx, "a", []byte("2"), kqstore.NoLease))
		select {
		case e := <-seen:
			if string(e.Value) != "2" {
				t.Errorf("woken with %q", e.Value)
			}
		case <-time.After(longWait):
			t.Fatal("not woken")
		}
		if c := b.standin.Counts(); c.Watches != 1 || c.Reads != 1 || c.Writes != 7 {
			t.Errorf("counts %+v, want 1 watch among 1 reads, 7 writes", c)
		}
		b.standin.SetFaults(kqstandin.Faults{SilentWatch: true})
		must[kqstore.Revision](t)(b.Put(ctx, "a", []byte("3"), kqstore.NoLease))
		_, err := b.Watch(ctx, "a", last, 10*time.Millisecond)
		is(t, "silent watch", err, kqstore.ErrNotFound)
	})
}

// Somebody mistypes a fault. The request is refused and the faults stay as they
// were; taken without the unknown field it would switch all of them off.
func TestMistypedFaultChangesNothing(t *testing.T) {
	b := kqstandin.New()
	b.SetFaults(kqstandin.Faults{Down: true})
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/faults", strings.NewReader(`{"dwon":false}`))
	if err != nil {
		t.Fatal(err)
	}
	a, err := server.Client().Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusBadRequest || !b.Faults().Down {
		t.Errorf("status %d, faults %+v", a.StatusCode, b.Faults())
	}
}
