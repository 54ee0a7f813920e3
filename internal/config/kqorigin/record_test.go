package kqorigin_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqorigin"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqbootstrap"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// newest returns the services and the version of the newest root.
func (s *testOrigin) newest() (services map[kqname.Service]kqresource.Digest, version kqname.ConfigVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.roots) == 0 {
		return nil, 0
	}
	root := s.roots[len(s.roots)-1]
	return root.Services, root.Version
}

// awaitRefusals waits until an origin has refused n entries.
func (s *testOrigin) awaitRefusals(t *testing.T, n int) {
	t.Helper()
	await(t, "entry is refused", func() bool { _, refused := s.count(); return refused == n })
}

// checkServes fails the test unless the newest root has just the given service.
func (s *testOrigin) checkServes(t *testing.T, who string, service kqname.Service) {
	t.Helper()
	services, version := s.newest()
	if _, ok := services[service]; !ok || len(services) != 1 {
		t.Errorf("%s published version %d with services %v, want service %s", who, version, services, service)
	}
}

// Guards against a restarted node that takes an older document which the others have
// refused: only the store can tell it, and its version would replace theirs on every proxy.
func TestRestartedNodeRefusesAnOlderDocument(t *testing.T) {
	for name, numbers := range map[string][2]kqname.ConfigVersion{"older": {5, 4}, "same number": {5, 5}} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.write(t, "o/document", document(numbers[0], "a"))
			await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
			_, before := s.newest()
			s.write(t, "o/document", document(numbers[1], "b"))
			s.awaitRefusals(t, 1)
			restarted := startOn(t, s.store)
			await(t, "restarted node publishes", func() bool { n, _ := restarted.count(); return n > 0 })
			restarted.awaitRefusals(t, 1)
			restarted.checkServes(t, "restarted node", "a")
			if _, after := restarted.newest(); after <= before {
				t.Errorf("restarted node published version %d after %d", after, before)
			}
			s.write(t, "o/document", document(6, "c"))
			for _, o := range []*testOrigin{s, restarted} {
				await(t, "newer document is published", func() bool { services, _ := o.newest(); _, ok := services["c"]; return ok })
			}
		})
	}
}

// Guards against a fleet that comes back with an older document, which was written while
// every node was down: no node has refused it, but a newer one was in force.
func TestRestartedFleetKeepsTheDocumentInForce(t *testing.T) {
	store := kqfakestore.New()
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	s := newOrigin(store)
	group.Go(func() { s.Run(ctx) })
	s.write(t, "o/document", document(5, "a"))
	await(t, "accepted document is recorded", func() bool {
		_, err := store.Get(t.Context(), kqorigin.NumberKey)
		return err == nil
	})
	cancel()
	group.Wait()
	s.write(t, "o/document", document(4, "b"))
	restarted := startOn(t, store)
	await(t, "restarted node publishes", func() bool { n, _ := restarted.count(); return n > 0 })
	restarted.checkServes(t, "restarted node", "a")
}

// Guards against a fleet that has no configuration at all once it restarts while the store
// holds a document that no node can use: all calls would be refused.
func TestRestartedFleetKeepsTheLastUsableDocument(t *testing.T) {
	unknownService := document(6, "b")
	unknownService.Document.Routes = []kqdocument.Route{{Name: "r", Team: "t", Host: "h", PathPrefix: "/", Service: "nobody"}}
	for name, unusable := range map[string]any{"cannot be decoded": "?", "names an unknown service": unknownService} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.write(t, "o/document", document(5, "a"))
			await(t, "accepted document is recorded", func() bool {
				_, err := s.store.Get(t.Context(), kqorigin.NumberKey)
				return err == nil
			})
			s.write(t, "o/document", unusable)
			s.awaitRefusals(t, 1)
			restarted := startOn(t, s.store)
			await(t, "restarted node publishes", func() bool { n, _ := restarted.count(); return n > 0 })
			restarted.awaitRefusals(t, 1)
			restarted.checkServes(t, "restarted node", "a")
			s.write(t, "o/document", document(7, "c"))
			for _, o := range []*testOrigin{s, restarted} {
				await(t, "next usable document is published", func() bool { services, _ := o.newest(); _, ok := services["c"]; return ok })
			}
		})
	}
}

// Guards against a node that was cut off from the store while a document was accepted, and
// then finds the older one that was written after it.
func TestNodeThatMissedADocumentRefusesTheOlderOne(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(3, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	late := newOrigin(s.store)
	if _, err := late.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
		t.Fatal(err)
	}
	s.write(t, "o/document", document(5, "b"))
	await(t, "second document is published", func() bool { n, _ := s.count(); return n == 2 })
	s.write(t, "o/document", document(4, "c"))
	s.awaitRefusals(t, 1)
	if _, err := late.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
		t.Fatal(err)
	}
	late.checkServes(t, "node that was cut off", "b")
}

// failingGetStore counts reads of single keys and can make them fail.
type failingGetStore struct {
	originStore
	failing       atomic.Bool
	gets, refused atomic.Int64
}

func (f *failingGetStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	f.gets.Add(1)
	if f.failing.Load() {
		f.refused.Add(1)
		return kqstore.Entry{}, kqstore.ErrUnavailable
	}
	return f.originStore.Get(ctx, key)
}

// Guards against a node that applies a document although the store does not tell whether a
// newer one was in force. It must try again when the store answers.
func TestDocumentWaitsForTheRecord(t *testing.T) {
	s := start(t)
	s.write(t, "o/document", document(5, "a"))
	await(t, "first document is published", func() bool { n, _ := s.count(); return n == 1 })
	s.write(t, "o/document", document(4, "b"))
	s.awaitRefusals(t, 1)
	broken := &failingGetStore{originStore: s.store}
	broken.failing.Store(true)
	restarted := startOn(t, broken)
	await(t, "record is asked for", func() bool { return broken.refused.Load() > 1 })
	if n, _ := restarted.count(); n != 0 {
		t.Errorf("%d versions were published without the record, want none", n)
	}
	broken.failing.Store(false)
	await(t, "restarted node publishes", func() bool { n, _ := restarted.count(); return n > 0 })
	restarted.checkServes(t, "restarted node", "a")
}

// Guards against a call to the store by each starting node: what the node read at its start
// tells that no newer document was in force.
func TestStartNeedsNoCallForTheRecord(t *testing.T) {
	store := kqfakestore.New()
	writer := newOrigin(store)
	writer.write(t, "o/document", document(5, "a"))
	counting := &failingGetStore{originStore: store}
	o := newOrigin(counting, kqorigin.WithInitial(kqbootstrap.New(store, "kumquatgw/")))
	if _, err := o.Fetch(t.Context(), []kqresource.Digest{{1}}); err != nil {
		t.Fatal(err)
	}
	o.checkServes(t, "starting node", "a")
	if n := counting.gets.Load(); n != 0 {
		t.Errorf("%d reads of single keys, want none", n)
	}
}

// Guards against one record a node: only the node that is chosen as the recorder writes it,
// and it writes each document once.
func TestOnlyTheRecorderWritesTheRecord(t *testing.T) {
	store := kqfakestore.New()
	recorder, other := newOrigin(store), newOrigin(store, kqorigin.WithRecorder(func() bool { return false }))
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { other.Run(ctx) })
	recorder.write(t, "o/document", document(5, "a"))
	await(t, "document is published", func() bool { n, _ := other.count(); return n == 1 })
	time.Sleep(6 * time.Second)
	if n := store.Counts().Writes; n != 1 {
		t.Errorf("%d writes by a node that is not the recorder, want none", n-1)
	}
	group.Go(func() { recorder.Run(ctx) })
	await(t, "record is written", func() bool { return store.Counts().Writes == 3 })
	time.Sleep(6 * time.Second)
	if n := store.Counts().Writes; n != 3 {
		t.Errorf("%d writes, want 3: the document, its copy and its number", n)
	}
}

// Guards against a record of an older document over a newer one: a node failed after it had
// written the content of its document and before it wrote the number.
func TestContentOfAFailedRecorderIsKept(t *testing.T) {
	store := kqfakestore.New()
	writer := newOrigin(store)
	writer.write(t, kqorigin.ContentKey, document(7, "b"))
	writer.write(t, "o/document", document(5, "a"))
	s := startOn(t, store)
	await(t, "newer document is published", func() bool { services, _ := s.newest(); _, ok := services["b"]; return ok })
	await(t, "its number is recorded", func() bool { _, err := store.Get(t.Context(), kqorigin.NumberKey); return err == nil })
	content, err := store.Get(t.Context(), kqorigin.ContentKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, number, _, err := (jsonDecoder{}).Document(kqstore.Entry{Key: "o/document", Value: content.Value}); err != nil || number != 7 {
		t.Errorf("content of document %d is recorded, %v, want 7", number, err)
	}
}
