package kqorigin_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqorigin"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// heldRoots keeps the root with the highest version, encoded as peers exchange it.
type heldRoots struct {
	mu      sync.Mutex
	newest  kqname.ConfigVersion
	encoded []byte
}

func (h *heldRoots) add(t *testing.T, r kqresource.Root) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Version <= h.newest {
		return
	}
	data, err := kqresource.Encode(r)
	if err != nil {
		t.Error(err)
	}
	h.newest, h.encoded = r.Version, data
}

func (h *heldRoots) get() kqresource.Root {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r kqresource.Root
	_ = kqresource.Decode(h.encoded, &r)
	return r
}

// startFirst runs the origin of a first watcher. It corrects what held has, and adds to it.
func startFirst(t *testing.T, store originStore, held *heldRoots) *testOrigin {
	t.Helper()
	always := func() bool { return true }
	s := &testOrigin{store: store}
	s.Origin = kqorigin.New(store, jsonDecoder{}, func(_ context.Context, r kqresource.Root) {
		held.add(t, r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.roots = append(s.roots, r)
	}, func(key string, _ error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = append(s.refused, key)
	}, func(error) {}, kqorigin.WithCurrentPolls(always), kqorigin.WithHeld(held.get, func(kqname.ConfigVersion, kqname.ConfigVersion) {}))
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return s
}

// wrongRoot returns a root of other content than any document of the tests.
func wrongRoot(t *testing.T, v kqname.ConfigVersion) kqresource.Root {
	t.Helper()
	root, _, err := kqresource.Split(document(1, "wrong").Document)
	if err != nil {
		t.Fatal(err)
	}
	root.Version = v
	return root
}

// Guards against a fleet that keeps what a node of an earlier release published under a
// version that is too high, until the operators' next change.
func TestWrongRootIsCorrected(t *testing.T) {
	for name, ahead := range map[string]int{"same version": 0, "newest revision of the store": 2, "older than the store": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := &heldRoots{}
			s := startFirst(t, kqfakestore.New(), held)
			s.write(t, "o/document", document(5, "a"))
			await(t, "document is recorded", func() bool { _, err := s.store.Get(t.Context(), kqorigin.NumberKey); return err == nil })
			_, version := s.newest()
			held.mu.Lock()
			held.newest = 0
			held.mu.Unlock()
			held.add(t, wrongRoot(t, version+kqname.ConfigVersion(ahead)))
			began := time.Now()
			await(t, "held root has the document's service", func() bool { _, ok := held.get().Services["a"]; return ok })
			// ConfigApply is 4 s.
			if took := time.Since(began); took > 4*time.Second {
				t.Errorf("corrected after %s, want 4 s at most", took)
			}
			if v := held.get().Version; v <= version+kqname.ConfigVersion(ahead) {
				t.Errorf("corrected by version %d, want one above %d", v, version+kqname.ConfigVersion(ahead))
			}
		})
	}
}

// Guards against a node that takes back what a peer has published: it has read an older state
// of the store, cannot use an entry that a later release can, or finds no difference.
func TestRootIsNotCorrected(t *testing.T) {
	unknownService := document(6, "b")
	unknownService.Document.Routes = []kqdocument.Route{{Name: "r", Team: "t", Host: "h", PathPrefix: "/", Service: "nobody"}}
	for name, c := range map[string]struct {
		second any
		held   func(t *testing.T, newest kqresource.Root) kqresource.Root
	}{
		"newer than the listing": {nil, func(t *testing.T, r kqresource.Root) kqresource.Root { return wrongRoot(t, r.Version+100) }},
		"unusable entry":         {unknownService, func(t *testing.T, r kqresource.Root) kqresource.Root { return wrongRoot(t, r.Version+1) }},
		"same content":           {nil, func(_ *testing.T, r kqresource.Root) kqresource.Root { return r }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := &heldRoots{}
			s := startFirst(t, kqfakestore.New(), held)
			s.write(t, "o/document", document(5, "a"))
			await(t, "document is recorded", func() bool { _, err := s.store.Get(t.Context(), kqorigin.NumberKey); return err == nil })
			if c.second != nil {
				s.write(t, "o/document", c.second)
				s.awaitRefusals(t, 1)
			}
			want := c.held(t, held.get())
			held.add(t, want)
			before := s.store.Counts()
			time.Sleep(6 * time.Second)
			if r := held.get(); r.Version != want.Version {
				t.Errorf("version %d was published, want %d kept", r.Version, want.Version)
			}
			after := s.store.Counts()
			// A poll each 1.25 s is one read.
			if reads, writes := after.Reads-before.Reads, after.Writes-before.Writes; reads > 6 || writes > 0 {
				t.Errorf("%d reads and %d writes in 6 s, want at most 6 and none", reads, writes)
			}
		})
	}
}

// Guards against two nodes that correct each other for ever: one has accepted a document that
// the other, which started later, does not find in the store.
func TestNodesThatDifferAgree(t *testing.T) {
	t.Parallel()
	store, held := kqfakestore.New(), &heldRoots{}
	first := startFirst(t, store, held)
	first.write(t, "o/document", document(5, "a"))
	await(t, "document is published", func() bool { n, _ := first.count(); return n > 0 })
	// The older document is written before the first node has recorded its own.
	first.write(t, "o/document", document(4, "b"))
	startFirst(t, store, held)
	await(t, "document 5 is held", func() bool { _, ok := held.get().Services["a"]; return ok && held.get().Version > 1 })
	time.Sleep(4 * time.Second)
	before := held.get().Version
	time.Sleep(4 * time.Second)
	if r := held.get(); r.Version != before {
		t.Errorf("version %d follows %d without a change", r.Version, before)
	}
	if _, ok := held.get().Services["a"]; !ok {
		t.Errorf("version %d has services %v, want a", before, held.get().Services)
	}
}
