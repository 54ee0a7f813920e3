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

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
)

const longWait = 20 * time.Second

// fixture is a store under test with the fake store behind it and the fake's
// clock.
type fixture struct {
	kqstore.Store
	fake *kqfakestore.Fake
	mu   sync.Mutex
	now  time.Time
}

func (fx *fixture) clock() time.Time {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.now
}

// advance moves the fake store's clock forward.
func (fx *fixture) advance(d time.Duration) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.now = fx.now.Add(d)
}

// forBoth runs a test against the fake store directly and over HTTP.
func forBoth(t *testing.T, f func(t *testing.T, fx *fixture)) {
	for _, name := range []string{"memory", "http"} {
		t.Run(name, func(t *testing.T) {
			fx := &fixture{now: time.Unix(1000, 0)}
			fx.fake = kqfakestore.New(kqfakestore.WithNow(fx.clock))
			fx.Store = fx.fake
			if name == "http" {
				server := httptest.NewServer(fx.fake.Handler())
				t.Cleanup(server.Close)
				fx.Store = kqstoreclient.New(server.URL, kqstoreclient.WithTimeout(longWait))
			}
			f(t, fx)
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

func checkError(t *testing.T, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: error %v, want %v", what, err, want)
	}
}

// Guards against a swap or delete that ignores the expected revision, with which one of
// two writers would silently undo the other's change. Also checks that values are refused
// only above the size limit.
func TestOperations(t *testing.T) {
	forBoth(t, func(t *testing.T, fx *fixture) {
		ctx := t.Context()
		_, err := fx.Get(ctx, "a")
		checkError(t, "get of a missing key", err, kqstore.ErrNotFound)
		first := must[kqstore.Revision](t)(fx.Swap(ctx, "a", kqstore.Absent, []byte("1"), kqstore.NoLease))
		_, err = fx.Swap(ctx, "a", kqstore.Absent, []byte("2"), kqstore.NoLease)
		checkError(t, "swap of an existing key that should be absent", err, kqstore.ErrConflict)
		second := must[kqstore.Revision](t)(fx.Put(ctx, "a", []byte("2"), kqstore.NoLease))
		if e := must[kqstore.Entry](t)(fx.Get(ctx, "a")); string(e.Value) != "2" || e.Revision != second || second <= first {
			t.Errorf("entry %+v after writes at revisions %d and %d, want value 2 at the second", e, first, second)
		}
		checkError(t, "delete at an old revision", fx.Delete(ctx, "a", first), kqstore.ErrConflict)
		checkError(t, "delete", fx.Delete(ctx, "a", second), nil)
		checkError(t, "delete again", fx.Delete(ctx, "a", second), kqstore.ErrNotFound)
		for _, size := range []int{kqstore.MaxValueBytes + 1, 3 * kqstore.MaxValueBytes} {
			_, err = fx.Put(ctx, "a", make([]byte, size), kqstore.NoLease)
			checkError(t, "put of a value over the limit", err, kqstore.ErrTooLarge)
		}
		must[kqstore.Revision](t)(fx.Put(ctx, "a", make([]byte, kqstore.MaxValueBytes), kqstore.NoLease))
	})
}

// Guards against a holder that continues as if it still held a lease which lapsed during
// a pause or was dropped by the platform. Its keys must be deleted and free for others,
// and its next renewal or write must fail with ErrLeaseLapsed.
func TestHolderLearnsThatItsLeaseLapsed(t *testing.T) {
	forBoth(t, func(t *testing.T, fx *fixture) {
		ctx := t.Context()
		for name, lapse := range map[string]func(){
			"paused":  func() { fx.advance(11 * time.Second) },
			"dropped": func() { fx.fake.SetFaults(kqfakestore.Faults{LapseLeases: true}) },
		} {
			lease := must[kqstore.Lease](t)(fx.Grant(ctx, 10*time.Second))
			must[kqstore.Revision](t)(fx.Swap(ctx, name, kqstore.Absent, nil, lease))
			fx.advance(9 * time.Second)
			checkError(t, "renewal in time", fx.Renew(ctx, lease), nil)
			fx.advance(9 * time.Second)
			must[kqstore.Entry](t)(fx.Get(ctx, name))
			lapse()
			checkError(t, name+": late renewal", fx.Renew(ctx, lease), kqstore.ErrLeaseLapsed)
			_, err := fx.Put(ctx, name, nil, lease)
			checkError(t, name+": put under the lapsed lease", err, kqstore.ErrLeaseLapsed)
			must[kqstore.Revision](t)(fx.Swap(ctx, name, kqstore.Absent, nil, kqstore.NoLease))
		}
	})
}

// Guards against injected faults that have no effect: tests that inject them would then
// pass without checking anything. The faults are an outage, a rate limit, a slow service,
// a stale read, and the lost answer of a write, which must still have taken effect.
func TestCallFaults(t *testing.T) {
	forBoth(t, func(t *testing.T, fx *fixture) {
		ctx := t.Context()
		revision := must[kqstore.Revision](t)(fx.Put(ctx, "a", []byte("1"), kqstore.NoLease))
		fx.fake.SetFaults(kqfakestore.Faults{Down: true})
		_, err := fx.Get(ctx, "a")
		checkError(t, "down", err, kqstore.ErrUnavailable)
		fx.fake.SetFaults(kqfakestore.Faults{LoseResponses: 1})
		_, err = fx.Swap(ctx, "a", revision, []byte("2"), kqstore.NoLease)
		checkError(t, "lost answer", err, kqstore.ErrUnavailable)
		if e := must[kqstore.Entry](t)(fx.Get(ctx, "a")); string(e.Value) != "2" {
			t.Errorf("after a write whose answer was lost the value is %q, want 2", e.Value)
		}
		fx.fake.SetFaults(kqfakestore.Faults{StaleReads: true})
		if e := must[kqstore.Entry](t)(fx.Get(ctx, "a")); string(e.Value) != "1" {
			t.Errorf("a stale read returned %q, want the previous value 1", e.Value)
		}
		// The reads so far do not count against MaxReads in a new second.
		fx.advance(time.Second)
		fx.fake.SetFaults(kqfakestore.Faults{MaxReads: 1})
		_, err = fx.Get(ctx, "a")
		checkError(t, "first read", err, nil)
		_, err = fx.Get(ctx, "a")
		checkError(t, "second read", err, kqstore.ErrRateLimited)
		fx.fake.SetFaults(kqfakestore.Faults{Slow: time.Minute})
		brief, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		if _, err = fx.Get(brief, "a"); err == nil {
			t.Error("a call to a slow service succeeded before its delay")
		}
	})
}

// Checks that a watch returns after a write to its key, counts as one call however long
// it waits, and does not return under the fault SilentWatch.
func TestWatch(t *testing.T) {
	forBoth(t, func(t *testing.T, fx *fixture) {
		ctx := t.Context()
		revision := must[kqstore.Revision](t)(fx.Put(ctx, "a", []byte("1"), kqstore.NoLease))
		seen := make(chan kqstore.Entry, 1)
		go func() {
			e, err := fx.Watch(ctx, "a", revision, longWait)
			if err == nil {
				seen <- e
			}
		}()
		for fx.fake.Counts().Watches == 0 {
			time.Sleep(time.Millisecond)
		}
		for range 5 {
			must[kqstore.Revision](t)(fx.Put(ctx, "other", nil, kqstore.NoLease))
		}
		last := must[kqstore.Revision](t)(fx.Put(ctx, "a", []byte("2"), kqstore.NoLease))
		select {
		case e := <-seen:
			if string(e.Value) != "2" {
				t.Errorf("the watch returned value %q, want 2", e.Value)
			}
		case <-time.After(longWait):
			t.Fatal("the watch did not return after the write")
		}
		if c := fx.fake.Counts(); c.Watches != 1 || c.Reads != 1 || c.Writes != 7 {
			t.Errorf("counts %+v, want 1 watch, which is the only read, and 7 writes", c)
		}
		fx.fake.SetFaults(kqfakestore.Faults{SilentWatch: true})
		must[kqstore.Revision](t)(fx.Put(ctx, "a", []byte("3"), kqstore.NoLease))
		_, err := fx.Watch(ctx, "a", last, 10*time.Millisecond)
		checkError(t, "silent watch", err, kqstore.ErrNotFound)
	})
}

// Guards against a misspelled fault in a request: if unknown fields were ignored, the
// request would switch all faults off. It must be refused and change nothing.
func TestMistypedFaultChangesNothing(t *testing.T) {
	fake := kqfakestore.New()
	fake.SetFaults(kqfakestore.Faults{Down: true})
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/faults", strings.NewReader(`{"dwon":false}`))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusBadRequest || !fake.Faults().Down {
		t.Errorf("status %d, faults %+v, want 400 and only Down", resp.StatusCode, fake.Faults())
	}
}
