package kqorigin_test

import (
	"context"
	"encoding/json"
	"sync"
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

const orderKey = "o/order/a"

// scriptedStore returns listings and watch events that the test sets.
type scriptedStore struct {
	*kqfakestore.Fake
	events chan kqstore.Listing

	mu            sync.Mutex
	current, past kqstore.Listing
}

func (s *scriptedStore) List(context.Context, string) (kqstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, nil
}

func (s *scriptedStore) ListStale(context.Context, string) (kqstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.past, nil
}

func (s *scriptedStore) Follow(ctx context.Context, _ string, _ kqstore.Revision, _ time.Duration) (kqstore.Listing, error) {
	select {
	case l := <-s.events:
		return l, nil
	case <-ctx.Done():
		return kqstore.Listing{}, ctx.Err()
	}
}

func entry(t *testing.T, key string, r kqstore.Revision, value any) kqstore.Entry {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return kqstore.Entry{Key: key, Revision: r, Value: data}
}

func order(to string) kqdocument.Rollout {
	return kqdocument.Rollout{Name: "x", Team: "t", Service: "a", To: kqname.UpstreamVersion(to), Policy: "p", DurationMS: 5000}
}

// startScripted returns an Origin that watches a scripted store. The store lists a document
// of revision 3 and the given order. Roots are sent to the channel.
func startScripted(t *testing.T, s *scriptedStore, orders ...kqstore.Entry) (*kqorigin.Origin, chan kqresource.Root) {
	t.Helper()
	s.Fake, s.events = kqfakestore.New(), make(chan kqstore.Listing)
	s.current = kqstore.Listing{Revision: 5, Entries: append([]kqstore.Entry{entry(t, "o/document", 3, document(1, "a"))}, orders...)}
	roots := make(chan kqresource.Root, 10)
	o := kqorigin.New(s, jsonDecoder{}, func(_ context.Context, r kqresource.Root) { roots <- r },
		func(key string, err error) { t.Errorf("%s refused: %v", key, err) }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { o.Watch(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	awaitRoot(t, roots)
	return o, roots
}

func awaitRoot(t *testing.T, roots <-chan kqresource.Root) kqresource.Root {
	t.Helper()
	select {
	case r := <-roots:
		return r
	case <-time.After(waitTimeout):
		t.Fatal("no version was published")
		return kqresource.Root{}
	}
}

// countRollouts returns the number of rollouts in the document of a root.
func countRollouts(t *testing.T, o *kqorigin.Origin, root kqresource.Root) int {
	t.Helper()
	d, err := kqresource.Join(root, o.BuiltObjects(root.Digests()))
	if err != nil {
		t.Fatal(err)
	}
	return len(d.Rollouts)
}

// Guards against a deletion that arrives late: a poll has shown the order written again at a
// higher revision. The rollout would stop until the next complete listing.
func TestLateDeletionKeepsTheNewerOrder(t *testing.T) {
	s := &scriptedStore{}
	o, roots := startScripted(t, s, entry(t, orderKey, 4, order("v2")))
	s.mu.Lock()
	s.current = kqstore.Listing{Revision: 10, Entries: []kqstore.Entry{entry(t, "o/document", 3, document(1, "a")), entry(t, orderKey, 10, order("v3"))}}
	s.mu.Unlock()
	// An unknown object makes the origin list all entries.
	if _, err := o.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
		t.Fatal(err)
	}
	if r := awaitRoot(t, roots); r.Version != 10 {
		t.Fatalf("version %d was published, want 10", r.Version)
	}
	s.events <- kqstore.Listing{Revision: 10, Deleted: []kqstore.Deletion{{Key: orderKey, Revision: 8}}}
	// A second event shows that the first one was applied.
	s.events <- kqstore.Listing{Revision: 12, Entries: []kqstore.Entry{entry(t, "o/document", 12, document(2, "a"))}}
	if r := awaitRoot(t, roots); r.Version != 12 || countRollouts(t, o, r) != 1 {
		t.Errorf("version %d with %d rollouts, want 12 with the newer order", r.Version, countRollouts(t, o, r))
	}
}

// Guards against one batch of events that deletes an order and writes it again: the
// deletions in it must not be applied after the entries.
func TestOrderRewrittenInOneBatchIsKept(t *testing.T) {
	s := &scriptedStore{}
	o, roots := startScripted(t, s, entry(t, orderKey, 4, order("v2")))
	s.events <- kqstore.Listing{
		Revision: 9, Entries: []kqstore.Entry{entry(t, orderKey, 9, order("v3"))},
		Deleted: []kqstore.Deletion{{Key: orderKey, Revision: 8}},
	}
	if r := awaitRoot(t, roots); r.Version != 9 || countRollouts(t, o, r) != 1 {
		t.Errorf("version %d with %d rollouts, want 9 with the order", r.Version, countRollouts(t, o, r))
	}
}

// Guards against a cheap, old read that shows an order as it was before its deletion: the
// rollout would start again.
func TestOldReadDoesNotRestoreADeletedOrder(t *testing.T) {
	for name, deleted := range map[string]func(s *scriptedStore, o *kqorigin.Origin){
		"by the watch": func(s *scriptedStore, _ *kqorigin.Origin) {
			s.events <- kqstore.Listing{Revision: 9, Deleted: []kqstore.Deletion{{Key: orderKey, Revision: 9}}}
		},
		"by a complete listing": func(s *scriptedStore, o *kqorigin.Origin) {
			s.mu.Lock()
			s.current = kqstore.Listing{Revision: 9, Entries: s.current.Entries[:1]}
			s.mu.Unlock()
			if _, err := o.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedStore{}
			o, roots := startScripted(t, s, entry(t, orderKey, 4, order("v2")))
			deleted(s, o)
			if r := awaitRoot(t, roots); countRollouts(t, o, r) != 0 {
				t.Fatalf("version %d still has the order", r.Version)
			}
			// The order was written again at revision 8, before its deletion at revision 9.
			s.mu.Lock()
			s.past = kqstore.Listing{Entries: []kqstore.Entry{entry(t, "o/document", 10, document(2, "a")), entry(t, orderKey, 8, order("v3"))}}
			s.mu.Unlock()
			ctx, cancel := context.WithCancel(t.Context())
			var group conc.WaitGroup
			group.Go(func() { o.Poll(ctx) })
			r := awaitRoot(t, roots)
			cancel()
			group.Wait()
			if r.Version != 10 || countRollouts(t, o, r) != 0 {
				t.Errorf("version %d with %d rollouts, want 10 without the deleted order", r.Version, countRollouts(t, o, r))
			}
		})
	}
}

// Guards against evacuations that are dropped, and against a late deletion or an old read
// that undoes the latest order.
func TestEvacuationOrders(t *testing.T) {
	const key = "o/evacuate/north-a"
	s := &scriptedStore{}
	o, roots := startScripted(t, s, entry(t, key, 4, struct{}{}))
	evacuated := func(r kqresource.Root) int {
		t.Helper()
		d, err := kqresource.Join(r, o.BuiltObjects(r.Digests()))
		if err != nil {
			t.Fatal(err)
		}
		return len(d.Evacuations)
	}
	s.events <- kqstore.Listing{Revision: 5, Entries: []kqstore.Entry{entry(t, "o/document", 5, document(2, "a"))}}
	if r := awaitRoot(t, roots); evacuated(r) != 1 || len(r.Evacuated) != 1 || r.Evacuated[0] != "north-a" {
		t.Fatalf("version %d evacuates %v, want north-a", r.Version, r.Evacuated)
	}
	s.events <- kqstore.Listing{Revision: 6, Deleted: []kqstore.Deletion{{Key: key, Revision: 6}}}
	if r := awaitRoot(t, roots); evacuated(r) != 0 {
		t.Fatalf("version %d evacuates %v, want none", r.Version, r.Evacuated)
	}
	s.events <- kqstore.Listing{Revision: 7, Entries: []kqstore.Entry{entry(t, key, 7, struct{}{})}}
	if r := awaitRoot(t, roots); evacuated(r) != 1 {
		t.Fatalf("version %d evacuates %v, want the order given again", r.Version, r.Evacuated)
	}
	s.events <- kqstore.Listing{Revision: 7, Deleted: []kqstore.Deletion{{Key: key, Revision: 6}}}
	s.events <- kqstore.Listing{Revision: 8, Entries: []kqstore.Entry{entry(t, "o/document", 8, document(3, "a"))}}
	if r := awaitRoot(t, roots); r.Version != 8 || evacuated(r) != 1 {
		t.Errorf("version %d evacuates %v, want 8 with the newer order", r.Version, r.Evacuated)
	}
}
