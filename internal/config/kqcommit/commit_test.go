package kqcommit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// hooked calls before ahead of each write, so that a test can bring a fault
// about at exactly that one.
type hooked struct {
	*kqstandin.Standin
	writes int
	before func(write int)
	after  func(write int)
}

func (h *hooked) Put(ctx context.Context, key string, value []byte, l kqstore.Lease) (kqstore.Revision, error) {
	defer h.step()()
	return h.Standin.Put(ctx, key, value, l)
}

func (h *hooked) Swap(ctx context.Context, key string, e kqstore.Revision, value []byte, l kqstore.Lease) (kqstore.Revision, error) {
	defer h.step()()
	return h.Standin.Swap(ctx, key, e, value, l)
}

func (h *hooked) step() func() {
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

func committer(s kqcommit.Store) *kqcommit.Committer { return kqcommit.New(s, kqcommit.WithPause(0)) }

func mustCommit(t *testing.T, s kqcommit.Store, q kqcommit.Request) {
	t.Helper()
	o, err := committer(s).Commit(t.Context(), q)
	if err != nil || o.Status != kqcommit.Committed || o.Version != q.Base+1 {
		t.Fatalf("commit %s: %+v, %v", q.ID, o, err)
	}
}

// The platform takes a write and its answer is lost on the way, at each write
// of a commit in turn. The operator asks again under the same id and hears that
// the change is in force; it is there once, not twice.
func TestAnswerLostAtEachWrite(t *testing.T) {
	for n := 1; ; n++ {
		platform := kqstandin.New()
		mustCommit(t, platform, request("first", 0, document("store")))
		store := &hooked{Standin: platform, before: func(write int) {
			if write == n {
				platform.SetFaults(kqstandin.Faults{LoseAnswers: 1})
			}
		}}
		q := request("second", 1, document("store", "yard"))
		o, err := committer(store).Commit(t.Context(), q)
		if err == nil && o.Status != kqcommit.Committed {
			t.Errorf("write %d lost: %+v", n, o)
		}
		again, err := committer(platform).Commit(t.Context(), q)
		if err != nil || again.Status != kqcommit.Committed || again.Version != 2 {
			t.Errorf("write %d lost, asked again: %+v, %v", n, again, err)
		}
		if history, err := committer(platform).History(t.Context(), 10); err != nil || len(history) != 2 {
			t.Errorf("write %d lost: %d versions, %v, want 2", n, len(history), err)
		}
		if store.writes < n {
			if n < 5 {
				t.Fatalf("only %d writes were tried", n)
			}
			return
		}
	}
}

// The swap's answer is lost and the platform then stays down, so that the
// operator hears unknown; before they ask again, others commit twice. The
// operator still hears that their change is in force as the version it got.
func TestUnknownIsSettledAfterLaterCommits(t *testing.T) {
	platform := kqstandin.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	dark := false
	store := &hooked{Standin: platform, before: func(int) {
		if dark {
			platform.SetFaults(kqstandin.Faults{Down: true})
		}
	}}
	store.after = func(int) {
		root, _, err := committer(platform).Root(t.Context())
		if dark = dark || err == nil && root.Version == 2; dark {
			platform.SetFaults(kqstandin.Faults{Down: true})
		}
	}
	lossy := loseSwap{store}
	q := request("mine", 1, document("store", "yard"))
	o, err := committer(lossy).Commit(t.Context(), q)
	if err != nil || o.Status != kqcommit.Unknown || o.RequestID != "mine" {
		t.Fatalf("got %+v, %v, want unknown", o, err)
	}
	platform.SetFaults(kqstandin.Faults{})
	mustCommit(t, platform, request("other-1", 2, document("store")))
	mustCommit(t, platform, request("other-2", 3, document("yard")))
	for name, ask := range map[string]func() (kqcommit.Outcome, error){
		"settle": func() (kqcommit.Outcome, error) { return committer(platform).Settle(t.Context(), "mine") },
		"commit": func() (kqcommit.Outcome, error) { return committer(platform).Commit(t.Context(), q) },
	} {
		if o, err := ask(); err != nil || o.Status != kqcommit.Committed || o.Version != 2 {
			t.Errorf("%s: %+v, %v, want committed as 2", name, o, err)
		}
	}
	if _, err := committer(platform).Settle(t.Context(), "nobody"); !errors.Is(err, kqcommit.ErrNotBegun) {
		t.Errorf("settle of an unused id: %v", err)
	}
}

// loseSwap loses the answer of each swap of the root.
type loseSwap struct{ *hooked }

func (l loseSwap) Swap(ctx context.Context, key string, e kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	r, err := l.hooked.Swap(ctx, key, e, value, lease)
	if key == kqcommit.RootKey && err == nil {
		return 0, fmt.Errorf("lost: %w", kqstore.ErrUnavailable)
	}
	return r, err
}

// A script sends one id twice with different documents. The second is refused;
// taking it for a repetition would drop an operator's change without a word.
func TestOneIDNamesOneDocument(t *testing.T) {
	platform := kqstandin.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	for _, base := range []kqname.ConfigVersion{0, 1} {
		if _, err := committer(platform).Commit(t.Context(), request("first", base, document("yard"))); !errors.Is(err, kqcommit.ErrReused) {
			t.Errorf("base %d: %v, want ErrReused", base, err)
		}
	}
}

// Two operators edit one version. The second hears conflict and what the first
// has changed, and nothing of the second's change is in force.
func TestConflictTellsTheDifference(t *testing.T) {
	platform := kqstandin.New()
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
		t.Errorf("difference %s", got)
	}
}

// The platform answers reads with what stood before the last write, after the
// swap's own answer was lost. Whatever the operator hears, it is not wrong.
func TestStaleReadsDoNotMislead(t *testing.T) {
	platform := kqstandin.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	mustCommit(t, platform, request("second", 1, document("store", "yard")))
	for n := 1; n < 12; n++ {
		id := fmt.Sprintf("stale-%d", n)
		root, _, err := committer(platform).Root(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		store := &hooked{Standin: platform, before: func(write int) {
			if write == n {
				platform.SetFaults(kqstandin.Faults{StaleReads: true, LoseAnswers: 1})
			}
		}}
		q := request(id, root.Version, document("store", id))
		o, err := committer(store).Commit(t.Context(), q)
		platform.SetFaults(kqstandin.Faults{})
		now, _, rootErr := committer(platform).Root(t.Context())
		if rootErr != nil {
			t.Fatal(rootErr)
		}
		inForce := now.RequestID == id
		if (o.Status == kqcommit.Committed) != inForce && o.Status != kqcommit.Unknown || err != nil && inForce {
			t.Errorf("stale from write %d: %+v, %v, in force %v", n, o, err, inForce)
		}
	}
}

// The platform refuses every call. The operator gets an error and nothing is
// written.
func TestPlatformDown(t *testing.T) {
	platform := kqstandin.New()
	platform.SetFaults(kqstandin.Faults{Down: true})
	if _, err := committer(platform).Commit(t.Context(), request("first", 0, document("store"))); !errors.Is(err, kqstore.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}
