package kqcommit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// lookupHookStore calls afterLookup once, after the first read of an intent.
type lookupHookStore struct {
	*kqfakestore.Fake
	afterLookup func()
}

func (s *lookupHookStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	e, err := s.Fake.Get(ctx, key)
	if f := s.afterLookup; f != nil && strings.HasPrefix(key, "kumquatgw/intent/") {
		s.afterLookup = nil
		f()
	}
	return e, err
}

// Guards against a request that is committed twice: one request ID is sent with two bases
// at once, and the second call has looked the ID up before the first one registers it.
func TestRequestIDOnTwoBasesIsCommittedOnce(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	q := request("mine", 1, document("store", "yard"))
	store := &lookupHookStore{Fake: platform, afterLookup: func() { mustCommit(t, platform, q) }}
	again := q
	again.Base = 2
	o, err := committer(store).Commit(t.Context(), again)
	if err != nil || o.Status != kqcommit.Committed || o.Version != 2 {
		t.Errorf("second call: %+v, %v, want committed as 2", o, err)
	}
	if n := countCommits(t, platform, "mine"); n != 1 {
		t.Errorf("committed %d times, want once", n)
	}
}

// Guards against an outcome that is reported as a conflict although the request was
// committed: its intent is read before another call registers a further base, and the root
// after that call has committed.
func TestOutcomeIncludesABaseRegisteredDuringTheLookup(t *testing.T) {
	platform := kqfakestore.New()
	mustCommit(t, platform, request("first", 0, document("store")))
	q := request("mine", 1, document("store", "yard"))
	if o, err := committer(&delayedSwapStore{Fake: platform}).Commit(t.Context(), q); err != nil || o.Status != kqcommit.Unknown {
		t.Fatalf("first commit: %+v, %v, want unknown", o, err)
	}
	store := &lookupHookStore{Fake: platform, afterLookup: func() {
		mustCommit(t, platform, request("other", 1, document("yard")))
		again := q
		again.Base = 2
		mustCommit(t, platform, again)
	}}
	if o, err := committer(store).ResolveOutcome(t.Context(), "mine"); err != nil || o.Status == kqcommit.Conflict {
		t.Errorf("got %+v, %v, want committed as 3 or unknown", o, err)
	}
}

// One request ID is sent with several bases at once, with the store calls interleaved at
// random, some responses lost, and another operator and a collector at work. The request
// must be committed at most once, and as the version that each outcome names.
func TestRequestIDIsCommittedOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := kqfakestore.New()
		ctx := context.Background()
		for v, d := range [][]string{{"store", "attic"}, {"store"}} {
			if _, err := committer(platform).Commit(ctx, request(fmt.Sprintf("seed-%d", v), kqname.ConfigVersion(v), document(d...))); err != nil {
				t.Fatal(err)
			}
		}
		lose := false
		store := func() *turnStore {
			return &turnStore{Fake: platform, turn: make(chan struct{}), done: make(chan struct{}), lose: &lose}
		}
		const calls = 2
		outcomes, errs := make([]kqcommit.Outcome, calls), make([]error, calls)
		var stores []*turnStore
		var ended []chan struct{}
		run := func(f func(s *turnStore)) {
			s, done := store(), make(chan struct{})
			stores, ended = append(stores, s), append(ended, done)
			go func() {
				defer close(done)
				f(s)
			}()
		}
		for i := range calls {
			base := kqname.ConfigVersion(rapid.IntRange(2, 2+2*i).Draw(t, "base"))
			run(func(s *turnStore) {
				outcomes[i], errs[i] = committer(s).Commit(ctx, request("mine", base, document("store", "yard")))
			})
		}
		run(func(s *turnStore) {
			for base := kqname.ConfigVersion(2); base < 4; base++ {
				_, _ = committer(s).Commit(ctx, request(fmt.Sprintf("other-%d", base), base, document("store", fmt.Sprintf("room-%d", base))))
			}
		})
		// Errors are expected: a commit may interfere, or a response be lost.
		run(func(s *turnStore) { _, _ = committer(s).CollectGarbage(ctx, s, start.Add(time.Hour*24)) })
		takeTurns(t, stores, ended, &lose, 15)
		if _, root, err := committer(platform).Document(ctx); err != nil {
			t.Fatalf("current version %d cannot be read: %v", root.Version, err)
		}
		history, err := committer(platform).History(ctx, 100)
		if err != nil {
			t.Fatal(err)
		}
		var committed []kqname.ConfigVersion
		for _, h := range history {
			if h.Root.RequestID == "mine" {
				committed = append(committed, h.Root.Version)
			}
		}
		if len(committed) > 1 {
			t.Fatalf("committed as versions %v, want at most one", committed)
		}
		for i, o := range outcomes {
			if errs[i] == nil && o.Status == kqcommit.Committed && (len(committed) == 0 || o.Version != committed[0]) {
				t.Fatalf("call %d: %+v, but committed as %v", i, o, committed)
			}
		}
		// No call runs any longer, so the next outcome cannot be contradicted later.
		o, err := committer(platform).ResolveOutcome(ctx, "mine")
		if len(committed) > 0 && (err != nil || o.Status != kqcommit.Committed || o.Version != committed[0]) {
			t.Fatalf("resolved as %+v, %v, but committed as %v", o, err, committed)
		}
	})
}
