package kqcommit_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// delayedSwapStore reports the store as unavailable for each swap of the root. The swaps
// stay in flight until deliver.
type delayedSwapStore struct {
	*kqfakestore.Fake
	inFlight []func() error
}

func (d *delayedSwapStore) Swap(ctx context.Context, key string, e kqstore.Revision, value []byte, l kqstore.Lease) (kqstore.Revision, error) {
	if key != kqcommit.RootKey {
		return d.Fake.Swap(ctx, key, e, value, l)
	}
	d.inFlight = append(d.inFlight, func() error {
		_, err := d.Fake.Swap(context.WithoutCancel(ctx), key, e, value, l)
		return err
	})
	return 0, fmt.Errorf("no response: %w", kqstore.ErrUnavailable)
}

// deliver makes the store process the swaps in flight. Their errors have no receiver.
func (d *delayedSwapStore) deliver() {
	for _, swap := range d.inFlight {
		_ = swap()
	}
}

// countCommits returns how many versions a request ID was committed as.
func countCommits(t *testing.T, platform *kqfakestore.Fake, id string) (n int) {
	t.Helper()
	history, err := committer(platform).History(t.Context(), 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range history {
		if h.Root.RequestID == id {
			n++
		}
	}
	return n
}

// Guards against a conflict that is reported while the swap of an earlier commit with the
// same request ID is in flight: an operator told that the change will never take effect
// would make it again, and both would be in force.
func TestConflictIsFinalWhileAnEarlierSwapIsInFlight(t *testing.T) {
	for _, base := range []kqname.ConfigVersion{0, 2} {
		platform := kqfakestore.New()
		mustCommit(t, platform, request("first", 0, document("store")))
		delayed := &delayedSwapStore{Fake: platform}
		q := request("mine", 1, document("store", "yard"))
		if o, err := committer(delayed).Commit(t.Context(), q); err != nil || o.Status != kqcommit.Unknown {
			t.Fatalf("first commit: %+v, %v, want unknown", o, err)
		}
		again := q
		again.Base = base
		o, err := committer(platform).Commit(t.Context(), again)
		if err != nil || o.Status != kqcommit.Conflict {
			t.Errorf("commit on base %d: %+v, %v, want a final conflict", base, o, err)
		}
		delayed.deliver()
		if n := countCommits(t, platform, "mine"); n != 0 {
			t.Errorf("commit on base %d: reported as %s, but committed %d times", base, o.Status, n)
		}
		if o, err := committer(platform).ResolveOutcome(t.Context(), "mine"); err != nil || o.Status != kqcommit.Conflict {
			t.Errorf("resolved after base %d: %+v, %v, want a conflict", base, o, err)
		}
		mustCommit(t, platform, q)
	}
}

// Guards against a commit that continues after another one with the same request ID was
// told that it never takes effect: here its swap is about to be sent at that moment.
func TestConflictWithdrawsARunningCommit(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	q := request("mine", 1, document("store", "yard"))
	again := q
	again.Base = 0
	var second kqcommit.Outcome
	store := &hookedStore{Fake: platform}
	store.beforeRootSwap = func() {
		var err error
		if second, err = committer(platform).Commit(t.Context(), again); err != nil {
			t.Error(err)
		}
	}
	o, err := committer(store).Commit(t.Context(), q)
	if err != nil || o.Status != kqcommit.Conflict || second.Status != kqcommit.Conflict {
		t.Errorf("running commit: %+v, %v; second: %+v, want two conflicts", o, err, second)
	}
	if n := countCommits(t, platform, "mine"); n != 0 {
		t.Errorf("reported as conflict, but committed %d times", n)
	}
}
