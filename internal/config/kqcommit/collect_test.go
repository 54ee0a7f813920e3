package kqcommit_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// A commit writes its objects, but another one replaces the root first. Collection
// must delete its objects and those of replaced versions once they are old enough;
// otherwise they would stay in the platform forever. The current document must stay
// readable, and the history must keep its authors and reasons.
func TestCollectDeletesOrphansAndKeepsLiveObjects(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	raced := false
	store := &hookedStore{Fake: platform, before: func(write int) {
		// Write 3 is the first object, after the intent and its index.
		if write == 3 && !raced {
			raced = true
			mustCommit(t, platform, request("second", 1, document("store", "yard")))
		}
	}}
	o, err := committer(store).Commit(t.Context(), request("orphan", 1, document("store", "attic")))
	if err != nil || o.Status != kqcommit.Conflict {
		t.Fatalf("got %+v, %v, want a conflict", o, err)
	}
	mustCommit(t, platform, request("third", 2, document("store", "yard", "office")))
	_, attic, err := kqresource.Split(document("store", "attic"))
	if err != nil {
		t.Fatal(err)
	}
	count := func() (n int) {
		for d := range attic {
			if _, err := platform.Get(t.Context(), kqcommit.ObjectKey(d)); err == nil {
				n++
			}
		}
		return n
	}
	before := count()
	got, err := committer(platform).CollectGarbage(t.Context(), platform, start)
	if err != nil || got.Objects != 0 || count() != before {
		t.Errorf("collected recent objects: %+v, %v", got, err)
	}
	got, err = committer(platform).CollectGarbage(t.Context(), platform, start.Add(90*time.Minute))
	if err != nil || got.Objects == 0 || got.Roots != 1 || count() >= before {
		t.Errorf("collection of old objects: %+v, %v, %d left of %d", got, err, count(), before)
	}
	if d, _, err := committer(platform).Document(t.Context()); err != nil || len(d.Services) != 3 {
		t.Errorf("current document: %d services, %v, want 3", len(d.Services), err)
	}
	if _, err := committer(platform).DocumentAt(t.Context(), 1); !errors.Is(err, kqcommit.ErrCollected) {
		t.Errorf("read of a collected version: %v, want ErrCollected", err)
	}
	history, err := committer(platform).History(t.Context(), 10)
	if err != nil || len(history) != 3 || history[2].Root.Reason != "because first" {
		t.Errorf("history %+v, %v", history, err)
	}
	if o, err := committer(platform).ResolveOutcome(t.Context(), "first"); err != nil || o.Status != kqcommit.Committed {
		t.Errorf("outcome after collection: %+v, %v", o, err)
	}
}

// staleIntentStore answers reads of intents as if none had been written yet.
type staleIntentStore struct{ *kqfakestore.Fake }

func (f staleIntentStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	if strings.HasPrefix(key, "kumquatgw/intent/") {
		return kqstore.Entry{}, kqstore.ErrNotFound
	}
	return f.Fake.Get(ctx, key)
}

// A commit has written its objects and is about to swap the root when a
// collector, whose read of the intent is stale, deletes them as unused. The
// commit must detect the rewritten root and write them again; otherwise the new
// version would take effect without its objects.
func TestCommitRewritesObjectsAfterStaleCollection(t *testing.T) {
	platform := kqfakestore.New()
	old := request("old", 0, document("attic"))
	mustCommit(t, platform, old)
	mustCommit(t, platform, request("next", 1, document("store")))
	var collected kqcommit.CollectStats
	store := &hookedStore{Fake: platform, before: func(write int) {
		// Write 6 is the swap of the root.
		if write == 6 {
			collected, _ = committer(staleIntentStore{platform}).CollectGarbage(t.Context(), platform, start.Add(90*time.Minute))
		}
	}}
	o, err := committer(store).Commit(t.Context(), request("again", 2, document("attic")))
	if err != nil || o.Status != kqcommit.Committed {
		t.Fatalf("got %+v, %v", o, err)
	}
	if _, _, err := committer(platform).Document(t.Context()); err != nil || collected.Objects == 0 {
		t.Errorf("current document: %v; collected %+v, want some objects", err, collected)
	}
}

// Guards against a first version without its objects: its swap is in flight while its
// objects are collected as abandoned, and there is no root yet whose rewrite would make
// the swap fail.
func TestFirstCommitIsReadableAfterACollection(t *testing.T) {
	t.Run("commit has ended", func(t *testing.T) {
		platform := kqfakestore.New()
		delayed := &delayedSwapStore{Fake: platform}
		first := request("first", 0, document("store"))
		if o, err := committer(delayed).Commit(t.Context(), first); err != nil || o.Status != kqcommit.Unknown {
			t.Fatalf("got %+v, %v, want unknown", o, err)
		}
		collected, err := committer(platform).CollectGarbage(t.Context(), platform, start.Add(time.Hour))
		if err != nil || collected.Objects == 0 {
			t.Fatalf("collected %+v, %v, want some objects", collected, err)
		}
		delayed.deliver()
		if d, root, err := committer(platform).Document(t.Context()); err != nil || int(root.Version) != len(d.Services) {
			t.Errorf("version %d with %d services cannot be read: %v", root.Version, len(d.Services), err)
		}
		mustCommit(t, platform, first)
		if _, _, err := committer(platform).Document(t.Context()); err != nil {
			t.Errorf("read version 1: %v", err)
		}
	})
	t.Run("commit is running", func(t *testing.T) {
		platform := kqfakestore.New()
		var collected kqcommit.CollectStats
		store := &hookedStore{Fake: platform, beforeRootSwap: func() {
			var err error
			if collected, err = committer(platform).CollectGarbage(t.Context(), platform, start.Add(time.Hour)); err != nil {
				t.Error(err)
			}
		}}
		mustCommit(t, store, request("first", 0, document("store")))
		if _, _, err := committer(platform).Document(t.Context()); err != nil || collected.Objects == 0 {
			t.Errorf("read version 1: %v; collected %+v, want some objects", err, collected)
		}
	})
}
