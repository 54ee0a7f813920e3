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
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const patience = 20 * time.Second

type (
	// own reads this program's own document, with its number, under "o/document",
	// and rollouts under "o/order/".
	own struct{}

	numbered struct {
		Number   kqname.ConfigVersion
		Document kqdocument.Document
	}

	// seat is an origin over a stand-in, and what it gave out and refused.
	seat struct {
		*kqorigin.Origin
		store   *kqstandin.Standin
		mu      sync.Mutex
		roots   []kqresource.Root
		refused []string
	}
)

func (own) Prefix() string { return "o/" }

func (own) Document(e kqstore.Entry) (kqdocument.Document, kqname.ConfigVersion, bool, error) {
	var n numbered
	if e.Key != "o/document" {
		return n.Document, 0, false, nil
	}
	err := json.Unmarshal(e.Value, &n)
	return n.Document, n.Number, true, err
}

func (own) Order(e kqstore.Entry) (kqdocument.Rollout, bool, error) {
	var r kqdocument.Rollout
	if !strings.HasPrefix(e.Key, "o/order/") {
		return r, false, nil
	}
	err := json.Unmarshal(e.Value, &r)
	return r, true, err
}

func start(t *testing.T) *seat {
	t.Helper()
	s := &seat{store: kqstandin.New()}
	s.Origin = kqorigin.New(s.store, own{}, func(_ context.Context, r kqresource.Root) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.roots = append(s.roots, r)
	}, func(key string, _ error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = append(s.refused, key)
	}, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return s
}

func (s *seat) write(t *testing.T, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.store.Put(t.Context(), key, data, kqstore.NoLease); err != nil {
		t.Fatal(err)
	}
}

func (s *seat) count() (roots, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.roots), len(s.refused)
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited %s until %s", patience, what)
}

func document(number kqname.ConfigVersion, service kqname.Service) numbered {
	return numbered{number, kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "t"}}, Policies: []kqdocument.Policy{{Name: "p", Prefer: kqdocument.PreferFinishing}},
		Services: []kqdocument.Service{{Name: service, Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "h", PathPrefix: "/", Service: service}},
	}}
}

// Operators write a document, then an older one, one that is not valid, and a
// newer one. The bad ones must be refused whole and once each, and versions must
// only grow, or proxies would go back to what they have left.
func TestVersionsOnlyGrow(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(5, "a"))
	await(t, "the first is out", func() bool { n, _ := s.count(); return n == 1 })
	s.write(t, "o/document", document(4, "b"))
	broken := document(6, "b")
	broken.Document.Routes[0].Service = "nobody"
	await(t, "the older is refused", func() bool { _, n := s.count(); return n == 1 })
	s.write(t, "o/document", broken)
	await(t, "the broken is refused", func() bool { _, n := s.count(); return n == 2 })
	s.write(t, "o/document", document(7, "b"))
	await(t, "the newer is out", func() bool { n, _ := s.count(); return n == 2 })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roots[1].Version <= s.roots[0].Version {
		t.Errorf("version %d after %d", s.roots[1].Version, s.roots[0].Version)
	}
	if _, ok := s.roots[1].Services["b"]; !ok || len(s.refused) != 2 {
		t.Errorf("services %v, refused %v", s.roots[1].Services, s.refused)
	}
}

// The store drops its history while a watch is cut, and a document was written in
// between. The follower must find it by listing anew, or the fleet would keep an
// old version until the next change.
func TestHistoryIsGone(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(1, "a"))
	await(t, "the first is out", func() bool { n, _ := s.count(); return n == 1 })
	s.store.SetFaults(kqstandin.Faults{Down: true})
	s.store.SetFaults(kqstandin.Faults{SilentWatch: true})
	s.write(t, "o/document", document(2, "b"))
	s.store.Compact()
	s.store.SetFaults(kqstandin.Faults{})
	await(t, "the second is out", func() bool { n, _ := s.count(); return n == 2 })
}

// An order comes before the document names its service, and is taken back later.
// It must wait for its service, and be gone once operators have deleted it.
func TestOrderBesideTheDocument(t *testing.T) {
	s := start(t)
	s.write(t, "o/order/b", kqdocument.Rollout{Name: "x", Team: "t", Service: "b", To: "v2", Policy: "p", DurationMS: 5000})
	s.write(t, "o/document", document(1, "a"))
	await(t, "the first is out", func() bool { n, _ := s.count(); return n >= 1 })
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
	await(t, "the order is in the version", func() bool { return rollouts() == 1 })
	e, err := s.store.Get(t.Context(), "o/order/b")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.store.Delete(t.Context(), e.Key, e.Revision); err != nil {
		t.Fatal(err)
	}
	await(t, "the order is gone", func() bool { return rollouts() == 0 })
}

// The store's watches fall silent: they wait on, and tell of nothing, while it
// answers all other calls. A document that was written meanwhile must be found by
// polling within a few seconds, or proxies would serve an old one until the watch
// ends.
func TestWatchFallsSilent(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(1, "a"))
	await(t, "the first is out", func() bool { n, _ := s.count(); return n == 1 })
	s.store.SetFaults(kqstandin.Faults{SilentWatch: true})
	s.write(t, "o/document", document(2, "b"))
	await(t, "the second is out", func() bool { n, _ := s.count(); return n == 2 })
}
