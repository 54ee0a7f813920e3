package kqorigin_test

import (
	"context"
	"encoding/json"
	"strings"
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

const waitTimeout = 20 * time.Second

type (
	// jsonDecoder decodes a versionedDocument under "o/document" and rollouts under
	// "o/order/".
	jsonDecoder struct{}

	// originStore is a fake store or one that wraps it.
	originStore interface {
		kqorigin.Store
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Delete(ctx context.Context, key string, expected kqstore.Revision) error
		SetFaults(f kqfakestore.Faults)
		Counts() kqfakestore.Counts
		Compact()
	}

	versionedDocument struct {
		Number   kqname.ConfigVersion
		Document kqdocument.Document
	}

	// testOrigin is an Origin on a fake store, with the roots that it published and
	// the keys that it refused.
	testOrigin struct {
		*kqorigin.Origin
		store   originStore
		mu      sync.Mutex
		roots   []kqresource.Root
		refused []string
	}
)

func (jsonDecoder) Prefix() string { return "o/" }

func (jsonDecoder) Document(e kqstore.Entry) (kqdocument.Document, kqname.ConfigVersion, bool, error) {
	var n versionedDocument
	if e.Key != "o/document" {
		return n.Document, 0, false, nil
	}
	err := json.Unmarshal(e.Value, &n)
	return n.Document, n.Number, true, err
}

func (jsonDecoder) Order(e kqstore.Entry) (kqdocument.Rollout, bool, error) {
	var r kqdocument.Rollout
	if !strings.HasPrefix(e.Key, "o/order/") {
		return r, false, nil
	}
	err := json.Unmarshal(e.Value, &r)
	return r, true, err
}

func (jsonDecoder) Evacuation(e kqstore.Entry) (kqdocument.Evacuation, bool, error) {
	domain, ok := strings.CutPrefix(e.Key, "o/evacuate/")
	return kqdocument.Evacuation{Name: kqname.Domain(domain)}, ok, nil
}

func start(t *testing.T) *testOrigin {
	t.Helper()
	return startOn(t, kqfakestore.New())
}

// newOrigin returns an Origin on a store, which does not run yet.
func newOrigin(store originStore, options ...kqorigin.Option) *testOrigin {
	s := &testOrigin{store: store}
	s.Origin = kqorigin.New(store, jsonDecoder{}, func(_ context.Context, r kqresource.Root) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.roots = append(s.roots, r)
	}, func(key string, _ error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = append(s.refused, key)
	}, func(error) {}, options...)
	return s
}

// startOn runs an Origin on a store until the test ends.
func startOn(t *testing.T, store originStore, options ...kqorigin.Option) *testOrigin {
	t.Helper()
	s := newOrigin(store, options...)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return s
}

func (s *testOrigin) write(t *testing.T, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.store.Put(t.Context(), key, data, kqstore.NoLease); err != nil {
		t.Fatal(err)
	}
}

func (s *testOrigin) count() (roots, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.roots), len(s.refused)
}

// await waits until done returns true; what describes the condition.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("after %s, condition does not hold: %s", waitTimeout, what)
}

func document(number kqname.ConfigVersion, service kqname.Service) versionedDocument {
	return versionedDocument{number, kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "t"}}, Policies: []kqdocument.Policy{{Name: "p", Prefer: kqdocument.PreferFinishing}},
		Services: []kqdocument.Service{{Name: service, Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "h", PathPrefix: "/", Service: service}},
	}}
}

// A document is followed by an older, an invalid and a newer one. The older and the
// invalid one must each be refused once, as a whole, and versions must only increase;
// otherwise proxies would revert to an earlier configuration.
func TestVersionsOnlyIncrease(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(5, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	s.write(t, "o/document", document(4, "b"))
	invalid := document(6, "b")
	invalid.Document.Routes[0].Service = "nobody"
	await(t, "older document is refused", func() bool { _, n := s.count(); return n == 1 })
	s.write(t, "o/document", invalid)
	await(t, "invalid document is refused", func() bool { _, n := s.count(); return n == 2 })
	s.write(t, "o/document", document(7, "b"))
	await(t, "newer document is published", func() bool { n, _ := s.count(); return n == 2 })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roots[1].Version <= s.roots[0].Version {
		t.Errorf("version %d published after %d", s.roots[1].Version, s.roots[0].Version)
	}
	if _, ok := s.roots[1].Services["b"]; !ok || len(s.refused) != 2 {
		t.Errorf("services %v, refused keys %v, want service b and 2 refused", s.roots[1].Services, s.refused)
	}
}

// The store compacts its history while a watch is interrupted, after a document was
// written. The origin must find the document by listing again, in the watch loop or at
// the next poll; otherwise the fleet would keep an old version until the next change.
func TestDocumentIsFoundAfterCompaction(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(1, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	s.store.SetFaults(kqfakestore.Faults{Down: true})
	s.store.SetFaults(kqfakestore.Faults{SilentWatch: true})
	s.write(t, "o/document", document(2, "b"))
	s.store.Compact()
	s.store.SetFaults(kqfakestore.Faults{})
	await(t, "second document is published", func() bool { n, _ := s.count(); return n == 2 })
}

// A rollout order is written before the document has its service, and deleted later.
// It must take effect once the document has the service, and disappear after its
// deletion; otherwise a rollout would never start, or never stop.
func TestOrderWaitsForItsService(t *testing.T) {
	s := start(t)
	s.write(t, "o/order/b", kqdocument.Rollout{Name: "x", Team: "t", Service: "b", To: "v2", Policy: "p", DurationMS: 5000})
	s.write(t, "o/document", document(1, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n >= 1 })
	s.write(t, "o/document", document(2, "b"))
	rollouts := func() int {
		s.mu.Lock()
		root := s.roots[len(s.roots)-1]
		s.mu.Unlock()
		objects, err := s.Fetch(t.Context(), root.Digests())
		if err != nil {
			t.Fatal(err)
		}
		d, err := kqresource.Join(root, objects)
		if err != nil {
			t.Fatal(err)
		}
		return len(d.Rollouts)
	}
	await(t, "version contains the order", func() bool { return rollouts() == 1 })
	e, err := s.store.Get(t.Context(), "o/order/b")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.store.Delete(t.Context(), e.Key, e.Revision); err != nil {
		t.Fatal(err)
	}
	await(t, "version no longer contains the order", func() bool { return rollouts() == 0 })
}

// The store's watches stay open but report nothing, while it answers all other calls.
// Polling must find a document written meanwhile within a few seconds; otherwise
// proxies would use an old one until the watch ends.
func TestPollFindsDocumentWhenWatchIsSilent(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(1, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	s.store.SetFaults(kqfakestore.Faults{SilentWatch: true})
	s.write(t, "o/document", document(2, "b"))
	await(t, "second document is published", func() bool { n, _ := s.count(); return n == 2 })
}

// Guards against a store whose watches are silent while its cheap reads are seconds old: a
// document must still be found within two seconds by the node that polls current entries.
func TestPollFindsDocumentWhenWatchIsSilentAndReadsAreOld(t *testing.T) {
	s := startOn(t, kqfakestore.New(), kqorigin.WithCurrentPolls(func() bool { return true }))
	s.write(t, "o/document", document(1, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	s.store.SetFaults(kqfakestore.Faults{SilentWatch: true, FreezeStale: true})
	for number := kqname.ConfigVersion(2); number < 5; number++ {
		written := time.Now()
		s.write(t, "o/document", document(number, "b"))
		await(t, "next document is published", func() bool { n, _ := s.count(); return n == int(number) })
		if took := time.Since(written); took > 2*time.Second {
			t.Errorf("document %d was found after %s, want 2 s at most", number, took)
		}
	}
}

// Guards against a cheap, old read that takes an order back which was written since, or the
// document before: rollouts would stop for seconds and start again.
func TestStaleReadTakesNothingBack(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(1, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	s.store.SetFaults(kqfakestore.Faults{FreezeStale: true})
	s.write(t, "o/document", document(2, "b"))
	await(t, "second document is published", func() bool { n, _ := s.count(); return n == 2 })
	s.write(t, "o/order/b", kqdocument.Rollout{Name: "x", Team: "t", Service: "b", To: "v2", Policy: "p", DurationMS: 5000})
	await(t, "order is published", func() bool { n, _ := s.count(); return n == 3 })
	before := s.store.Counts().StaleReads
	await(t, "stale read", func() bool { return s.store.Counts().StaleReads > before+1 })
	if n, refused := s.count(); n != 3 || refused != 0 {
		t.Errorf("%d versions and %d refused entries after old reads, want 3 and 0", n, refused)
	}
}
