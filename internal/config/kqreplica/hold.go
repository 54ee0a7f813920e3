package kqreplica

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
)

// HoldAll lets the replica hold every object of the version in force, whatever
// the node's own traffic needs; readers do so for the others. Objects that are
// held only for others are not decoded.
func (r *Replica) HoldAll(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = on
}

// Fill fetches what HoldAll asks for and is not held yet.
func (r *Replica) Fill(ctx context.Context) error {
	if root := r.Current().Root(); root.Version > 0 && r.holdsAll() {
		return r.fill(ctx, root)
	}
	return nil
}

// Object returns the bytes of an object that the replica holds, for peers.
func (r *Replica) Object(d kqresource.Digest) ([]byte, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	data, ok := r.objects[d]
	return data, ok
}

// Sweep drops interests that have been idle since before, and shrinks the
// snapshot to those that are left.
func (r *Replica) Sweep(before time.Time) int {
	dropped := r.interests.Sweep(before)
	if dropped > 0 {
		// All that is left is at hand, so nothing can be missing.
		_, _ = r.swap(r.Current().Root(), interest{}, nil)
	}
	return dropped
}

func (r *Replica) holdsAll() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all
}

func (r *Replica) fill(ctx context.Context, root kqresource.Root) error {
	var missing []kqresource.Digest
	for _, d := range root.Digests() {
		if _, ok := r.Object(d); !ok {
			missing = append(missing, d)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	// What has come is kept, also when some has not.
	fetched, err := r.source.Fetch(ctx, missing)
	if err != nil {
		err = fmt.Errorf("fill version %d: %w", root.Version, err)
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
		if size += len(data); size > r.memory {
			r.bound()
			return nil
		}
		r.objects[d] = data
	}
	return err
}

// keep stores the objects that the snapshot was made from, or all that the root
// still names while all are to be held, and lets the others go.
func (r *Replica) keep(root kqresource.Root, snapshot *kqsnapshot.Snapshot, objects kqresource.Objects) {
	named := make(kqresource.Objects)
	wanted := snapshot.Digests()
	if r.holdsAll() {
		wanted = root.Digests()
	}
	for _, d := range wanted {
		if data, ok := objects[d]; ok {
			named[d] = data
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects = named
}
