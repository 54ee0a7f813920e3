package kqorigin_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqorigin"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// swapHookStore calls functions before and after each conditional write.
	swapHookStore struct {
		originStore
		before, after func(key string)
	}

	// staleFirstStore does not list current entries until old ones were listed or two calls
	// have failed.
	staleFirstStore struct {
		originStore
		ready    atomic.Bool
		failures atomic.Int64
	}
)

func (s *swapHookStore) Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	s.before(key)
	revision, err := s.originStore.Swap(ctx, key, expected, value, lease)
	if err == nil {
		s.after(key)
	}
	return revision, err
}

func (s *staleFirstStore) List(ctx context.Context, prefix string) (kqstore.Listing, error) {
	if !s.ready.Load() && s.failures.Add(1) <= 2 {
		return kqstore.Listing{}, kqstore.ErrUnavailable
	}
	return s.originStore.List(ctx, prefix)
}

func (s *staleFirstStore) ListStale(ctx context.Context, prefix string) (kqstore.Listing, error) {
	defer s.ready.Store(true)
	return s.originStore.ListStale(ctx, prefix)
}

// recordLate writes document 4 and records it, while write runs just before its copy is written.
func recordLate(t *testing.T, store originStore, write func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var once sync.Once
	done := make(chan struct{})
	recorder := newOrigin(&swapHookStore{
		originStore: store,
		before: func(key string) {
			if key == kqorigin.ContentKey {
				once.Do(write)
			}
		},
		after: func(key string) {
			if key == kqorigin.NumberKey {
				close(done)
				<-ctx.Done()
			}
		},
	})
	recorder.write(t, "o/document", document(4, "c4"))
	if _, err := recorder.Fetch(ctx, []kqresource.Digest{{1}}); err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { recorder.Poll(ctx) })
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Error("document 4 was not recorded")
	}
	cancel()
	group.Wait()
}

// pollUntil polls the store until the newest published root satisfies a condition, or all
// attempts have passed, and returns that root.
func pollUntil(t *testing.T, o *testOrigin, published func(kqresource.Root) bool) kqresource.Root {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { o.Poll(ctx) })
	defer group.Wait()
	defer cancel()
	var newest kqresource.Root
	await(t, "version is published", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		if len(o.roots) == 0 {
			return false
		}
		newest = o.roots[len(o.roots)-1]
		return published(newest)
	})
	return newest
}

// Guards against a node that takes the copy of a recorded document for newer than what was
// written before that copy: the fleet would go back to an earlier document, or drop an order,
// until the next change.
func TestCopyOfADocumentReplacesNothingNewer(t *testing.T) {
	for name, c := range map[string]struct {
		key   string
		value any
		holds func(r kqresource.Root, d kqdocument.Document) bool
	}{
		"document": {"o/document", document(5, "c5"), func(r kqresource.Root, _ kqdocument.Document) bool {
			_, ok := r.Services["c5"]
			return ok
		}},
		"rollout": {"o/order/c4", kqdocument.Rollout{Name: "x", Team: "t", Service: "c4", To: "v2", Policy: "p", DurationMS: 5000}, func(_ kqresource.Root, d kqdocument.Document) bool {
			return len(d.Rollouts) == 1
		}},
		"evacuation": {"o/evacuate/north-a", struct{}{}, func(r kqresource.Root, _ kqdocument.Document) bool { return len(r.Evacuated) == 1 }},
	} {
		for _, hasListed := range []bool{false, true} {
			name := name
			if hasListed {
				name += ", to a node that has listed before"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				store := kqfakestore.New()
				late := newOrigin(&staleFirstStore{originStore: store}, kqorigin.WithRecorder(func() bool { return false }))
				if hasListed {
					late.write(t, "o/document", document(2, "c2"))
					for range 3 {
						_, _ = late.Fetch(t.Context(), []kqresource.Digest{{1}})
					}
				}
				late.store.(*staleFirstStore).failures.Store(0)
				late.write(t, "o/document", document(3, "c3"))
				store.SetFaults(kqfakestore.Faults{FreezeStale: true})
				recordLate(t, store, func() { late.write(t, c.key, c.value) })
				e, err := store.Get(t.Context(), c.key)
				if err != nil {
					t.Fatal(err)
				}
				root := pollUntil(t, late, func(r kqresource.Root) bool { return kqstore.Revision(r.Version) >= e.Revision })
				d, err := kqresource.Join(root, late.BuiltObjects(root.Digests()))
				if err != nil {
					t.Fatal(err)
				}
				if !c.holds(root, d) {
					t.Errorf("version %d has services %v, %d rollouts and evacuates %v; it lacks what was written at revision %d",
						root.Version, root.Services, len(d.Rollouts), root.Evacuated, e.Revision)
				}
			})
		}
	}
}

// Guards against a recorder that loses the race for the record and takes the winner's document
// for newer than the one that was written before the winner's copy.
func TestLosingRecorderTakesTheNewestDocument(t *testing.T) {
	t.Parallel()
	store := kqfakestore.New()
	var once sync.Once
	loser := newOrigin(&swapHookStore{
		originStore: store, after: func(string) {},
		before: func(string) {
			once.Do(func() {
				recordLate(t, store, func() { newOrigin(store).write(t, "o/document", document(5, "c5")) })
			})
		},
	})
	loser.write(t, "o/document", document(3, "c3"))
	if _, err := loser.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(kqfakestore.Faults{FreezeStale: true})
	root := pollUntil(t, loser, func(r kqresource.Root) bool { return r.Version > 1 })
	e, err := store.Get(t.Context(), "o/document")
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := root.Services["c5"]; !ok || kqstore.Revision(root.Version) < e.Revision {
		t.Errorf("version %d has services %v, want those of the document of revision %d", root.Version, root.Services, e.Revision)
	}
}

// changingStore lists other current entries once old entries were listed.
type changingStore struct {
	*scriptedStore
	next kqstore.Listing
}

func (s *changingStore) ListStale(ctx context.Context, prefix string) (kqstore.Listing, error) {
	l, err := s.scriptedStore.ListStale(ctx, prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = s.next
	return l, err
}

// Guards against a version from an old read that lacks a change from before its newest entry,
// or has an order that was deleted by then: other nodes would ignore the right one.
func TestOldReadDoesNotMakeAnIncompleteVersion(t *testing.T) {
	first, second := entry(t, "o/document", 3, document(1, "a")), entry(t, "o/document", 10, document(2, "a"))
	old, late := entry(t, orderKey, 4, order("v2")), entry(t, orderKey, 12, order("v2"))
	for name, c := range map[string]struct {
		before, after []kqstore.Entry
		// version is the lowest that the result may have.
		version  kqname.ConfigVersion
		rollouts int
	}{
		"deleted order":  {before: []kqstore.Entry{first, old}, after: []kqstore.Entry{second}, version: 10},
		"late document":  {before: []kqstore.Entry{first, late}, after: []kqstore.Entry{second, late}, version: 13, rollouts: 1},
		"usual document": {before: []kqstore.Entry{first, old}, after: []kqstore.Entry{second, old}, version: 10, rollouts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &changingStore{
				scriptedStore: &scriptedStore{
					Fake: kqfakestore.New(), events: make(chan kqstore.Listing),
					current: kqstore.Listing{Revision: 5, Entries: c.before}, past: kqstore.Listing{Entries: c.after},
				},
				next: kqstore.Listing{Revision: 15, Entries: c.after},
			}
			roots := make(chan kqresource.Root, 10)
			o := kqorigin.New(s, jsonDecoder{}, func(_ context.Context, r kqresource.Root) { roots <- r },
				func(key string, err error) { t.Errorf("%s refused: %v", key, err) }, func(error) {})
			if _, err := o.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
				t.Fatal(err)
			}
			awaitRoot(t, roots)
			ctx, cancel := context.WithCancel(t.Context())
			var group conc.WaitGroup
			group.Go(func() { o.Poll(ctx) })
			defer group.Wait()
			defer cancel()
			if r := awaitRoot(t, roots); r.Version < c.version || countRollouts(t, o, r) != c.rollouts {
				t.Errorf("version %d with %d rollouts, want %d or higher with %d", r.Version, countRollouts(t, o, r), c.version, c.rollouts)
			}
		})
	}
}

// Guards against a node whose first listing is an old read, with an order that was deleted:
// the rollout would start again, and other nodes' versions without it would be ignored.
func TestFirstPollReadsCurrentEntries(t *testing.T) {
	t.Parallel()
	s := &scriptedStore{
		Fake: kqfakestore.New(), events: make(chan kqstore.Listing),
		current: kqstore.Listing{Revision: 12, Entries: []kqstore.Entry{entry(t, "o/document", 10, document(1, "a"))}},
		past:    kqstore.Listing{Entries: []kqstore.Entry{entry(t, "o/document", 10, document(1, "a")), entry(t, orderKey, 9, order("v2"))}},
	}
	var nodes conc.WaitGroup
	defer nodes.Wait()
	for range 8 {
		nodes.Go(func() {
			roots := make(chan kqresource.Root, 10)
			o := kqorigin.New(s, jsonDecoder{}, func(_ context.Context, r kqresource.Root) { roots <- r },
				func(key string, err error) { t.Errorf("%s refused: %v", key, err) }, func(error) {})
			ctx, cancel := context.WithCancel(t.Context())
			var group conc.WaitGroup
			group.Go(func() { o.Poll(ctx) })
			r := <-roots
			cancel()
			group.Wait()
			if d, err := kqresource.Join(r, o.BuiltObjects(r.Digests())); err != nil || len(d.Rollouts) != 0 {
				t.Errorf("version %d has the deleted order", r.Version)
			}
		})
	}
}

// Guards against a change that is ignored by all nodes: it was reported after an entry that is
// newer, as the later page of a listing shows it, and did not raise the version.
func TestLateChangeRaisesTheVersion(t *testing.T) {
	s := &scriptedStore{}
	o, roots := startScripted(t, s, entry(t, orderKey, 12, order("v2")))
	s.events <- kqstore.Listing{Revision: 15, Entries: []kqstore.Entry{entry(t, "o/document", 11, document(2, "a"))}}
	if r := awaitRoot(t, roots); r.Version <= 12 || countRollouts(t, o, r) != 1 {
		t.Errorf("version %d with %d rollouts after version 12, want a higher one with the order", r.Version, countRollouts(t, o, r))
	}
}

// Guards against two nodes that keep different documents of one number, which both have
// accepted as the first: the one that is recorded first must win on both.
func TestRecordedDocumentWinsOverOneOfItsNumber(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]kqname.Service{"written first": {"a", "b"}, "written last": {"b", "a"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := kqfakestore.New()
			// The document of service "a" is recorded.
			nodes := map[kqname.Service]*testOrigin{"a": newOrigin(store), "b": newOrigin(store)}
			for _, name := range order {
				nodes[name].write(t, "o/document", document(5, name))
				if _, err := nodes[name].Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
					t.Fatal(err)
				}
			}
			pollUntil(t, nodes["a"], func(kqresource.Root) bool { _, err := store.Get(t.Context(), kqorigin.NumberKey); return err == nil })
			nodes["a"].checkServes(t, "winner", "a")
			_, before := nodes["b"].newest()
			root := pollUntil(t, nodes["b"], func(r kqresource.Root) bool { _, ok := r.Services["a"]; return ok })
			if root.Version <= before {
				t.Errorf("the winner's document is published as version %d after %d", root.Version, before)
			}
		})
	}
}
