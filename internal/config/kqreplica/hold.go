package kqreplica

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
)

// HoldAll sets whether the replica holds every object of the current version that
// fits into the memory budget, regardless of the node's own traffic. A node that reads
// versions from the store for other nodes turns it on, to serve them. HoldAll itself
// neither fetches nor drops objects: FetchMissing and ApplyRoot fetch them, and when it
// is off, building the next snapshot drops them. Objects that are held only for other
// nodes are not decoded.
func (r *Replica) HoldAll(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdAll = on
}

// FetchMissing fetches the objects of the current version that the replica lacks, if
// HoldAll is on. It leaves out, without an error, objects that the source does not
// return, that do not match their digests or that exceed the memory budget.
func (r *Replica) FetchMissing(ctx context.Context) error {
	if root := r.Current().Root(); root.Version > 0 && r.holdsAll() {
		return r.fetchAll(ctx, root)
	}
	return nil
}

// Object returns the encoded bytes of an object that the replica holds, to serve
// it to peers.
func (r *Replica) Object(d kqresource.Digest) ([]byte, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	data, ok := r.objects[d]
	return data, ok
}

// Sweep drops the hosts last used before the given time from the interests and
// the snapshot, and returns how many it dropped.
func (r *Replica) Sweep(before time.Time) int {
	dropped := r.interests.Sweep(before)
	if dropped > 0 {
		// The objects of the remaining hosts are all held, so none is missing.
		_, _ = r.apply(r.Current().Root(), hostInterest{}, nil)
	}
	return dropped
}

func (r *Replica) holdsAll() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.holdAll
}

func (r *Replica) fetchAll(ctx context.Context, root kqresource.Root) error {
	var missing []kqresource.Digest
	for _, d := range root.Digests() {
		if _, ok := r.Object(d); !ok {
			missing = append(missing, d)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	// On an error, the objects that were fetched are still kept. If they exceed the
	// memory budget, only onMemoryLimit reports that, and no error is returned.
	fetched, err := r.source.Fetch(ctx, missing)
	if err != nil {
		err = fmt.Errorf("fetch all objects of version %d: %w", root.Version, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	size := 0
	for _, data := range r.objects {
		size += len(data)
	}
	for d, data := range fetched {
		if kqresource.DigestOf(data) != d {
			continue
		}
		if size += len(data); size > r.memoryBudget {
			r.onMemoryLimit()
			return nil
		}
		r.objects[d] = data
	}
	return err
}

// retainObjects keeps the given objects that the snapshot was built from or, if
// all are to be held, those that the root names. It drops all others.
func (r *Replica) retainObjects(root kqresource.Root, snapshot *kqsnapshot.Snapshot, objects kqresource.Objects) {
	retained := make(kqresource.Objects)
	wanted := snapshot.Digests()
	if r.holdsAll() {
		wanted = root.Digests()
	}
	for _, d := range wanted {
		if data, ok := objects[d]; ok {
			retained[d] = data
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects = retained
}
