package kqcommit

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

type (
	// Deleter is the verb that collection needs over a commit's.
	Deleter interface {
		Delete(ctx context.Context, key string, expected kqstore.Revision) error
	}

	// Collected counts what one collection took away.
	Collected struct {
		Objects int `json:"objects"`
		Roots   int `json:"roots"`
		Intents int `json:"intents"`
		// Kept counts old objects that were written anew meanwhile.
		Kept int `json:"kept"`
	}

	collection struct {
		committer *Committer
		deleter   Deleter
		before    time.Time
		root      kqresource.Root
		revision  kqstore.Revision
		ledger    ledger
		entered   kqstore.Revision
		live      map[kqresource.Digest]bool
		old       map[kqresource.Digest]kqstore.Revision
		roots     []Past
		intents   []string
		done      Collected
	}
)

// Collect deletes objects that no root names which is in force or was replaced
// after before, and that no intent names which was left after before. It
// returns kqstore.ErrConflict, with nothing deleted, when a commit came
// between; then it can be called again.
//
// A commit that writes an old object again while it is being collected would
// otherwise swap in a root whose object is gone, and no node could apply that
// version. So the revisions of old objects are read first; then the swap of the
// ledger proves that no commit has entered since the intents were read, and the
// renewal of the root makes the swap of any commit fail whose own intent was
// too old to count; only then are the objects deleted, by their revisions. A
// commit that enters later finds each object either gone, and writes it, or
// still there, and its write makes the deletion fail.
func (c *Committer) Collect(ctx context.Context, deleter Deleter, before time.Time) (Collected, error) {
	n := &collection{
		committer: c, deleter: deleter, before: before,
		live: make(map[kqresource.Digest]bool), old: make(map[kqresource.Digest]kqstore.Revision),
	}
	for _, step := range []func(context.Context) error{n.readRoots, n.readIntents, n.readOld, n.fence, n.sweep} {
		if err := step(ctx); err != nil {
			return n.done, fmt.Errorf("collect: %w", err)
		}
	}
	return n.done, nil
}

// readRoots walks from the root in force back to the last one that an earlier
// collection has trimmed. A root counts from when it was replaced: a node that
// lags may still apply it until then.
func (n *collection) readRoots(ctx context.Context) error {
	var err error
	n.root, n.revision, err = n.committer.Root(ctx)
	if err != nil {
		return err
	}
	n.mark(n.root.Digests())
	replaced := n.root.At
	for v := n.root.Version; v > 1; v-- {
		p, err := n.committer.past(ctx, v-1)
		if err != nil {
			return err
		}
		if p.Trimmed {
			return nil
		}
		if replaced.Before(n.before) {
			n.roots = append(n.roots, p)
		} else {
			n.mark(p.Root.Digests())
		}
		replaced = p.Root.At
	}
	return nil
}

func (n *collection) readIntents(ctx context.Context) error {
	var err error
	n.ledger, n.entered, err = n.committer.readLedger(ctx)
	if err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(n.ledger.Intents)) {
		i, _, err := n.committer.readIntent(ctx, id)
		if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
			return err
		}
		if !n.ledger.Intents[id].Before(n.before) {
			n.mark(i.Objects)
			continue
		}
		n.intents = append(n.intents, id)
		n.add(i.Objects)
	}
	for _, p := range n.roots {
		n.add(p.Root.Digests())
	}
	return nil
}

func (n *collection) mark(list []kqresource.Digest) {
	for _, d := range list {
		n.live[d] = true
	}
}

func (n *collection) add(list []kqresource.Digest) {
	for _, d := range list {
		n.old[d] = kqstore.Absent
	}
}

func (n *collection) readOld(ctx context.Context) error {
	for _, d := range slices.SortedFunc(maps.Keys(n.old), kqresource.Digest.Compare) {
		if n.live[d] {
			delete(n.old, d)
			continue
		}
		e, err := n.committer.store.Get(ctx, ObjectKey(d))
		if errors.Is(err, kqstore.ErrNotFound) {
			delete(n.old, d)
			continue
		}
		if err != nil {
			return err
		}
		n.old[d] = e.Revision
	}
	return nil
}

func (n *collection) fence(ctx context.Context) error {
	if len(n.intents) == 0 && len(n.roots) == 0 {
		return nil
	}
	if err := n.committer.writeLedger(ctx, n.ledger, n.entered); err != nil {
		return err
	}
	if n.root.Version == 0 {
		return nil
	}
	data, err := kqresource.Encode(n.root)
	if err != nil {
		return err
	}
	if _, err := n.committer.store.Swap(ctx, RootKey, n.revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("renew root: %w", err)
	}
	return nil
}

// sweep deletes the old objects, then forgets what named them: whatever is cut
// short is found again by the next collection.
func (n *collection) sweep(ctx context.Context) error {
	for _, d := range slices.SortedFunc(maps.Keys(n.old), kqresource.Digest.Compare) {
		err := n.deleter.Delete(ctx, ObjectKey(d), n.old[d])
		switch {
		case err == nil, errors.Is(err, kqstore.ErrNotFound):
			n.done.Objects++
		case errors.Is(err, kqstore.ErrConflict):
			n.done.Kept++
		default:
			return err
		}
	}
	if err := n.trim(ctx); err != nil {
		return err
	}
	return n.forget(ctx)
}

// trim keeps who and why of old roots. The oldest is trimmed first, since the
// walk back ends at the first trimmed one.
func (n *collection) trim(ctx context.Context) error {
	for i := len(n.roots) - 1; i >= 0; i-- {
		p := n.roots[i]
		p.Trimmed = true
		p.Root.Hosts, p.Root.Services, p.Root.Ownership = nil, nil, kqresource.Digest{}
		data, err := kqresource.Encode(p)
		if err != nil {
			return err
		}
		if _, err := n.committer.store.Put(ctx, HistoryKey(p.Root.Version), data, kqstore.NoLease); err != nil {
			return fmt.Errorf("trim version %d: %w", p.Root.Version, err)
		}
		n.done.Roots++
	}
	return nil
}

// forget takes old intents out of the ledger. Their records stay, without the
// objects, so that a used request id is known for good.
func (n *collection) forget(ctx context.Context) error {
	if len(n.intents) == 0 {
		return nil
	}
	for _, id := range n.intents {
		i, revision, err := n.committer.readIntent(ctx, id)
		if errors.Is(err, kqstore.ErrNotFound) || err == nil && !i.At.Before(n.before) {
			continue
		}
		if err != nil {
			return err
		}
		i.Objects = nil
		data, err := kqresource.Encode(i)
		if err != nil {
			return err
		}
		if _, err := n.committer.store.Swap(ctx, intentPrefix+id, revision, data, kqstore.NoLease); err != nil {
			return fmt.Errorf("trim intent %s: %w", id, err)
		}
	}
	l, revision, err := n.committer.readLedger(ctx)
	if err != nil {
		return err
	}
	for _, id := range n.intents {
		if at, ok := l.Intents[id]; ok && at.Before(n.before) {
			delete(l.Intents, id)
			n.done.Intents++
		}
	}
	return n.committer.writeLedger(ctx, l, revision)
}
