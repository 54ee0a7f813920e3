package kqfetch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqfetch"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
)

// reading is a platform that brings all objects in one call, and what was made of them.
type reading struct {
	objects kqresource.Objects
	calls   atomic.Int64

	mu   sync.Mutex
	made kqresource.Objects
}

func (r *reading) Fetch(_ context.Context, _ []kqresource.Digest) (kqresource.Objects, error) {
	r.calls.Add(1)
	time.Sleep(20 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made = r.objects
	return r.objects, nil
}

func (r *reading) Made(wanted []kqresource.Digest) kqresource.Objects {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(kqresource.Objects)
	for _, d := range wanted {
		if data, ok := r.made[d]; ok {
			found[d] = data
		}
	}
	return found
}

// Operators write a version, and all nodes of a failure domain ask the node that reads
// for them at once, just before it has read it. One call to the store is enough for
// all; one for each would use up the store's rate as the fleet grows.
func TestOneReadingServesAllWhoWait(t *testing.T) {
	objects := make(kqresource.Objects)
	digest, err := objects.Add(kqresource.Host{Name: "h"})
	if err != nil {
		t.Fatal(err)
	}
	platform := &reading{objects: objects}
	client := kqpeer.NewClient("self", nil)
	defer client.Close()
	table := kqmember.NewTable(kqmember.Member{Node: "self", Domain: "d", Reader: true})
	f := kqfetch.New(kqpeer.NewServer(nil), client, table, platform, away{}, 1000, 1)
	f.TakeWhole(platform)
	var group conc.WaitGroup
	for range 20 {
		group.Go(func() {
			if found, err := f.Fetch(t.Context(), []kqresource.Digest{digest}); err != nil || len(found) != 1 {
				t.Errorf("got %d objects, %v", len(found), err)
			}
		})
	}
	group.Wait()
	if n := platform.calls.Load(); n != 1 {
		t.Errorf("%d calls to the platform, want 1", n)
	}
}
