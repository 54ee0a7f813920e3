package kqcommit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// hookedStore calls before and after around each write with its number, so that
// a test can inject a fault at exactly that write.
type hookedStore struct {
	*kqfakestore.Fake
	writes int
	before func(write int)
	after  func(write int)
	// beforeRootSwap, if set, is called once, before the first swap of the root.
	beforeRootSwap func()
}

func (h *hookedStore) Put(ctx context.Context, key string, value []byte, l kqstore.Lease) (kqstore.Revision, error) {
	defer h.runHooks()()
	return h.Fake.Put(ctx, key, value, l)
}

func (h *hookedStore) Swap(ctx context.Context, key string, e kqstore.Revision, value []byte, l kqstore.Lease) (kqstore.Revision, error) {
	defer h.runHooks()()
	if f := h.beforeRootSwap; f != nil && key == kqcommit.RootKey {
		h.beforeRootSwap = nil
		f()
	}
	return h.Fake.Swap(ctx, key, e, value, l)
}

// runHooks calls before with the number of the next write and returns a function that calls
// after with it.
func (h *hookedStore) runHooks() func() {
	h.writes++
	n := h.writes
	if h.before != nil {
		h.before(n)
	}
	return func() {
		if h.after != nil {
			h.after(n)
		}
	}
}

func document(services ...string) kqdocument.Document {
	d := kqdocument.Document{Teams: []kqdocument.Team{{Name: "shop"}}}
	for _, s := range services {
		d.Services = append(d.Services, kqdocument.Service{Name: kqname.Service(s), Team: "shop"})
		d.Routes = append(d.Routes, kqdocument.Route{Name: kqname.Route(s), Team: "shop", Host: kqname.Host(s), PathPrefix: "/", Service: kqname.Service(s)})
	}
	return d
}

func request(id string, base kqname.ConfigVersion, d kqdocument.Document) kqcommit.Request {
	return kqcommit.Request{ID: id, Base: base, Author: "ana", Reason: "because " + id, At: start.Add(time.Duration(base) * time.Hour), Document: d}
}

func committer(s kqcommit.Store) *kqcommit.Committer { return kqcommit.New(s, kqcommit.WithBackoff(0)) }

func mustCommit(t *testing.T, s kqcommit.Store, q kqcommit.Request) {
	t.Helper()
	o, err := committer(s).Commit(t.Context(), q)
	if err != nil || o.Status != kqcommit.Committed || o.Version != q.Base+1 {
		t.Fatalf("commit %s: %+v, %v", q.ID, o, err)
	}
}

// The platform applies a write but its response is lost, for each write of a
// commit in turn. A retry with the same ID must report the change as committed,
// and the history must hold it once; otherwise operators could not safely retry.
func TestAnswerLostAtEachWrite(t *testing.T) {
	for n := 1; ; n++ {
		platform := kqfakestore.New()
		mustCommit(t, platform, request("first", 0, document("store")))
		store := &hookedStore{Fake: platform, before: func(write int) {
			if write == n {
				platform.SetFaults(kqfakestore.Faults{LoseResponses: 1})
			}
		}}
		q := request("second", 1, document("store", "yard"))
		o, err := committer(store).Commit(t.Context(), q)
		if err == nil && o.Status != kqcommit.Committed {
			t.Errorf("response to write %d lost: %+v, want committed", n, o)
		}
		again, err := committer(platform).Commit(t.Context(), q)
		if err != nil || again.Status != kqcommit.Committed || again.Version != 2 {
			t.Errorf("response to write %d lost, retried: %+v, %v, want committed as 2", n, again, err)
		}
		if history, err := committer(platform).History(t.Context(), 10); err != nil || len(history) != 2 {
			t.Errorf("response to write %d lost: %d versions, %v, want 2", n, len(history), err)
		}
		if store.writes < n {
			if n < 5 {
				t.Fatalf("commit made fewer than %d writes, want at least 5", n)
			}
			return
		}
	}
}

// The response to the root swap is lost and the platform stays down, so the
// outcome is unknown. After two later commits by others, ResolveOutcome and a repeated
// commit must still report the change as committed, with its own version.
func TestUnknownOutcomeIsResolvedAfterLaterCommits(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	down := false
	store := &hookedStore{Fake: platform, before: func(int) {
		if down {
			platform.SetFaults(kqfakestore.Faults{Down: true})
		}
	}}
	store.after = func(int) {
		root, _, err := committer(platform).Root(t.Context())
		if down = down || err == nil && root.Version == 2; down {
			platform.SetFaults(kqfakestore.Faults{Down: true})
		}
	}
	lostResponses := lostResponseStore{store}
	q := request("mine", 1, document("store", "yard"))
	o, err := committer(lostResponses).Commit(t.Context(), q)
	if err != nil || o.Status != kqcommit.Unknown || o.RequestID != "mine" {
		t.Fatalf("got %+v, %v, want unknown", o, err)
	}
	platform.SetFaults(kqfakestore.Faults{})
	mustCommit(t, platform, request("other-1", 2, document("store")))
	mustCommit(t, platform, request("other-2", 3, document("yard")))
	for name, ask := range map[string]func() (kqcommit.Outcome, error){
		"resolve": func() (kqcommit.Outcome, error) { return committer(platform).ResolveOutcome(t.Context(), "mine") },
		"commit":  func() (kqcommit.Outcome, error) { return committer(platform).Commit(t.Context(), q) },
	} {
		if o, err := ask(); err != nil || o.Status != kqcommit.Committed || o.Version != 2 {
			t.Errorf("%s: %+v, %v, want committed as 2", name, o, err)
		}
	}
	if _, err := committer(platform).ResolveOutcome(t.Context(), "nobody"); !errors.Is(err, kqcommit.ErrUnknownRequest) {
		t.Errorf("outcome of an unused ID: %v, want ErrUnknownRequest", err)
	}
}

// lostResponseStore loses the response to each successful swap of the root.
type lostResponseStore struct{ *hookedStore }

func (l lostResponseStore) Swap(ctx context.Context, key string, e kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	r, err := l.hookedStore.Swap(ctx, key, e, value, lease)
	if key == kqcommit.RootKey && err == nil {
		return 0, fmt.Errorf("lost: %w", kqstore.ErrUnavailable)
	}
	return r, err
}

// A script uses one ID for two different documents. The second must be refused;
// treating it as a retry would silently drop an operator's change.
func TestRequestIDReusedWithAnotherDocumentIsRefused(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	for _, base := range []kqname.ConfigVersion{0, 1} {
		if _, err := committer(platform).Commit(t.Context(), request("first", base, document("yard"))); !errors.Is(err, kqcommit.ErrRequestIDReused) {
			t.Errorf("base %d: %v, want ErrRequestIDReused", base, err)
		}
	}
}

// Two operators edit the same version. The second must get a conflict with the
// changes that the first has committed.
func TestConflictReturnsTheDifference(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	mustCommit(t, platform, request("second", 1, document("store", "yard")))
	o, err := committer(platform).Commit(t.Context(), request("late", 1, document("office")))
	if err != nil || o.Status != kqcommit.Conflict || o.Version != 2 {
		t.Fatalf("got %+v, %v, want a conflict with version 2", o, err)
	}
	var items []string
	for _, c := range o.Difference {
		items = append(items, string(c.Kind)+" "+c.Item)
	}
	if got := fmt.Sprint(items); got != "[added services.yard added routes.yard]" {
		t.Errorf("difference %s, want service and route yard added", got)
	}
}

// The response to a write is lost, and all later reads return the values from before
// the last write of each key. The outcome may be unknown but must never be wrong.
func TestOutcomeIsCorrectDespiteStaleReads(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	mustCommit(t, platform, request("second", 1, document("store", "yard")))
	for n := 1; n < 12; n++ {
		id := fmt.Sprintf("stale-%d", n)
		root, _, err := committer(platform).Root(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		store := &hookedStore{Fake: platform, before: func(write int) {
			if write == n {
				platform.SetFaults(kqfakestore.Faults{StaleReads: true, LoseResponses: 1})
			}
		}}
		q := request(id, root.Version, document("store", id))
		o, err := committer(store).Commit(t.Context(), q)
		platform.SetFaults(kqfakestore.Faults{})
		now, _, rootErr := committer(platform).Root(t.Context())
		if rootErr != nil {
			t.Fatal(rootErr)
		}
		isCommitted := now.RequestID == id
		if (o.Status == kqcommit.Committed) != isCommitted && o.Status != kqcommit.Unknown || err != nil && isCommitted {
			t.Errorf("stale reads from write %d: %+v, %v, committed is %v", n, o, err, isCommitted)
		}
	}
}

// The platform is down and refuses every call. Commit must return
// ErrUnavailable.
func TestPlatformDown(t *testing.T) {
	platform := kqfakestore.New()
	platform.SetFaults(kqfakestore.Faults{Down: true})
	if _, err := committer(platform).Commit(t.Context(), request("first", 0, document("store"))); !errors.Is(err, kqstore.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}
