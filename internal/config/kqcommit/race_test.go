package kqcommit_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260102", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// turnStore lets one participant make a single store call per turn, so that the
// test controls how the calls interleave.
type turnStore struct {
	*kqfakestore.Fake
	turn, done chan struct{}
	// lose makes the store lose the response to a write in this turn.
	lose *bool
}

// awaitTurn waits for the participant's turn and returns a function that ends it.
func (p *turnStore) awaitTurn() func() {
	<-p.turn
	if *p.lose {
		p.SetFaults(kqfakestore.Faults{LoseResponses: 1})
	}
	return func() {
		p.SetFaults(kqfakestore.Faults{})
		p.done <- struct{}{}
	}
}

func (p *turnStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	defer p.awaitTurn()()
	return p.Fake.Get(ctx, key)
}

func (p *turnStore) Put(ctx context.Context, key string, v []byte, l kqstore.Lease) (kqstore.Revision, error) {
	defer p.awaitTurn()()
	return p.Fake.Put(ctx, key, v, l)
}

func (p *turnStore) Swap(ctx context.Context, key string, e kqstore.Revision, v []byte, l kqstore.Lease) (kqstore.Revision, error) {
	defer p.awaitTurn()()
	return p.Fake.Swap(ctx, key, e, v, l)
}

func (p *turnStore) Delete(ctx context.Context, key string, e kqstore.Revision) error {
	defer p.awaitTurn()()
	return p.Fake.Delete(ctx, key, e)
}

// Two operators commit on top of one version, with their store calls
// interleaved at random and some responses lost, while a collector runs whose
// cutoff treats even the commits in flight as abandoned. Each outcome must be
// correct, each change committed at most once, and the current document and the
// history readable.
func TestRacingOperatorsAndCollector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := kqfakestore.New()
		ctx := context.Background()
		seed := committer(platform)
		for v, d := range [][]string{{"store", "attic"}, {"store"}} {
			if _, err := seed.Commit(ctx, request(fmt.Sprintf("seed-%d", v), kqname.ConfigVersion(v), document(d...))); err != nil {
				t.Fatal(err)
			}
		}
		lose := false
		outcomes := make([]kqcommit.Outcome, 2)
		errs := make([]error, 2)
		store := func() *turnStore {
			return &turnStore{Fake: platform, turn: make(chan struct{}), done: make(chan struct{}), lose: &lose}
		}
		stores := []*turnStore{store(), store(), store()}
		ended := []chan struct{}{make(chan struct{}), make(chan struct{}), make(chan struct{})}
		for i, d := range [][]string{{"store", "attic"}, {"store", "attic", "yard"}} {
			go func() {
				defer close(ended[i])
				outcomes[i], errs[i] = committer(stores[i]).Commit(ctx, request(fmt.Sprintf("op-%d", i), 2, document(d...)))
			}()
		}
		go func() {
			defer close(ended[2])
			// Errors are expected: a commit may interfere, or a response be lost.
			for range 2 {
				_, _ = committer(stores[2]).CollectGarbage(ctx, stores[2], start.Add(time.Hour*24))
			}
		}()
		takeTurns(t, stores, ended, &lose, 1)
		check(t, platform, outcomes, errs)
	})
}

// takeTurns lets the participants make store calls in random order and with some responses
// lost, until all have ended. Each turn is up to maxCalls calls of one participant.
func takeTurns(t *rapid.T, stores []*turnStore, ended []chan struct{}, lose *bool, maxCalls int) {
	running := make([]int, len(stores))
	for i := range running {
		running[i] = i
	}
	for len(running) > 0 {
		at := rapid.IntRange(0, len(running)-1).Draw(t, "turn")
		*lose = rapid.IntRange(0, 9).Draw(t, "lose") == 0
		calls := 1
		if maxCalls > 1 {
			calls = rapid.IntRange(1, maxCalls).Draw(t, "calls")
		}
		for range calls {
			if takeTurn(stores[running[at]], ended[running[at]]) {
				running = append(running[:at:at], running[at+1:]...)
				break
			}
		}
	}
}

// takeTurn lets a participant make one store call and reports whether it has ended instead.
func takeTurn(s *turnStore, ended chan struct{}) bool {
	select {
	case s.turn <- struct{}{}:
		<-s.done
		return false
	case <-ended:
		return true
	}
}

// check verifies that the current document and the history are readable, and compares
// each outcome with the history.
func check(t *rapid.T, platform *kqfakestore.Fake, outcomes []kqcommit.Outcome, errs []error) {
	ctx := context.Background()
	if _, root, err := committer(platform).Document(ctx); err != nil {
		t.Fatalf("current version %d cannot be read: %v", root.Version, err)
	}
	history, err := committer(platform).History(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	times := make(map[string]int)
	for _, h := range history {
		times[h.Root.RequestID]++
	}
	for i, o := range outcomes {
		n := times[fmt.Sprintf("op-%d", i)]
		wrong := n > 1 || errs[i] != nil && n != 0
		wrong = wrong || errs[i] == nil && o.Status == kqcommit.Committed && n != 1
		wrong = wrong || errs[i] == nil && o.Status == kqcommit.Conflict && n != 0
		if wrong {
			t.Fatalf("operator %d got %+v, %v; committed %d times", i, o, errs[i], n)
		}
		if errs[i] != nil && !errors.Is(errs[i], kqstore.ErrUnavailable) && !errors.Is(errs[i], kqstore.ErrConflict) {
			t.Fatalf("operator %d: unexpected error %v", i, errs[i])
		}
	}
}
