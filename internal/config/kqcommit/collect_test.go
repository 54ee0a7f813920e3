package kqcommit_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// A commit writes its objects and then loses the race, again and again. A day
// later its objects and those of replaced versions are gone; what is in force
// can be read, and who and why still stand.
func TestCollectTakesOrphansAndKeepsWhatIsInUse(t *testing.T) {
	platform := kqstandin.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	raced := false
	store := &hooked{Standin: platform, before: func(write int) {
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
	got, err := committer(platform).Collect(t.Context(), platform, start)
	if err != nil || got.Objects != 0 || count() != before {
		t.Errorf("young objects: %+v, %v", got, err)
	}
	got, err = committer(platform).Collect(t.Context(), platform, start.Add(90*time.Minute))
	if err != nil || got.Objects == 0 || got.Roots != 1 || count() >= before {
		t.Errorf("old objects: %+v, %v, %d left of %d", got, err, count(), before)
	}
	if d, _, err := committer(platform).Document(t.Context()); err != nil || len(d.Services) != 3 {
		t.Errorf("document in force: %d services, %v", len(d.Services), err)
	}
	if _, err := committer(platform).DocumentAt(t.Context(), 1); !errors.Is(err, kqcommit.ErrCollected) {
		t.Errorf("collected version: %v", err)
	}
	history, err := committer(platform).History(t.Context(), 10)
	if err != nil || len(history) != 3 || history[2].Root.Reason != "because first" {
		t.Errorf("history %+v, %v", history, err)
	}
	if o, err := committer(platform).Settle(t.Context(), "first"); err != nil || o.Status != kqcommit.Committed {
		t.Errorf("settle after collection: %+v, %v", o, err)
	}
}

// forgetful answers reads of intents as they were before each was written.
type forgetful struct{ *kqstandin.Standin }

func (f forgetful) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	if strings.HasPrefix(key, "kumquatgw/intent/") {
		return kqstore.Entry{}, kqstore.ErrNotFound
	}
	return f.Standin.Get(ctx, key)
}

// A commit has written its objects and is about to swap, while the collector's
// read of its intent is stale, so that it takes the objects for unused. The
// commit notices by the renewed root and writes them again; the version would
// else come into force without them.
func TestCollectWithAStaleRead(t *testing.T) {
	platform := kqstandin.New()
	old := request("old", 0, document("attic"))
	mustCommit(t, platform, old)
	mustCommit(t, platform, request("next", 1, document("store")))
	var collected kqcommit.Collected
	store := &hooked{Standin: platform, before: func(write int) {
		if write == 6 {
			collected, _ = committer(forgetful{platform}).Collect(t.Context(), platform, start.Add(90*time.Minute))
		}
	}}
	o, err := committer(store).Commit(t.Context(), request("again", 2, document("attic")))
	if err != nil || o.Status != kqcommit.Committed {
		t.Fatalf("got %+v, %v", o, err)
	}
	if _, _, err := committer(platform).Document(t.Context()); err != nil || collected.Objects == 0 {
		t.Errorf("document in force: %v; collected %+v, want some objects", err, collected)
	}
}
