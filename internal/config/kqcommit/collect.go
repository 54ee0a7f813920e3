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
	// Deleter is the operation that garbage collection needs in addition to Store.
	Deleter interface {
		Delete(ctx context.Context, key string, expected kqstore.Revision) error
	}

	// CollectStats counts the objects that one garbage collection deleted, and the
	// history records (Roots) and intents that it trimmed.
	CollectStats struct {
		// Objects includes objects that were gone by the time of their deletion.
		Objects int `json:"objects"`
		Roots   int `json:"roots"`
		Intents int `json:"intents"`
		// Kept counts old objects that were not deleted because a commit
		// rewrote them during the collection.
		Kept int `json:"kept"`
	}

	// collection is the state of one run of CollectGarbage. Objects in live are in
	// use; candidates maps the objects to delete to their revisions.
	collection struct {
		committer           *Committer
		deleter             Deleter
		cutoff              time.Time
		root                kqresource.Root
		rootRevision        kqstore.Revision
		intentIndex         intentIndex
		intentIndexRevision kqstore.Revision
		live                map[kqresource.Digest]bool
		candidates          map[kqresource.Digest]kqstore.Revision
		expiredRoots        []HistoryRecord
		expiredIntents      []string
		stats               CollectStats
	}
)

// CollectGarbage deletes the objects of expired roots and intents, unless the current
// root or a root or intent that has not expired references them too. A root expires
// when it was replaced before cutoff, an intent when its request was made before
// cutoff. CollectGarbage then trims the history records and intents that have expired.
// It returns kqstore.ErrConflict if a commit or another collection interfered, and can
// then be called again. Nothing has been deleted in that case, unless the conflict came
// after the deletions, when the intents were trimmed.
//
// The order of steps prevents a race: a commit could write an old object again while
// it is being collected and then swap in a root whose object has been deleted,
// and no node could apply that version. The revisions of old objects are read
// first. Then the swap of the intent index proves that no commit has added an
// intent to it since the intents were read, and the rewrite of the root fails the swap of
// any commit whose intent was too old to protect its objects. Before the first commit there
// is no root; the empty one of version 0 is then written.
// Only then are the objects deleted, conditional on their revisions. A commit that adds
// its intent later writes each object that the current root lacks again: before the
// deletion, the object's new revision makes the deletion fail; after it, the object is
// recreated.
func (c *Committer) CollectGarbage(ctx context.Context, deleter Deleter, cutoff time.Time) (CollectStats, error) {
	run := &collection{
		committer: c, deleter: deleter, cutoff: cutoff,
		live: make(map[kqresource.Digest]bool), candidates: make(map[kqresource.Digest]kqstore.Revision),
	}
	for _, step := range []func(context.Context) error{run.readRoots, run.readIntents, run.readCandidates, run.fenceCommits, run.sweep} {
		if err := step(ctx); err != nil {
			return run.stats, fmt.Errorf("collect: %w", err)
		}
	}
	return run.stats, nil
}

// readRoots walks from the current root back to the newest one that an earlier
// collection has trimmed, and finds the roots that have expired. The age of a root
// counts from when its successor was committed, since it was the current root until
// then.
func (c *collection) readRoots(ctx context.Context) error {
	var err error
	c.root, c.rootRevision, err = c.committer.Root(ctx)
	if err != nil {
		return err
	}
	c.markLive(c.root.Digests())
	replaced := c.root.At
	for v := c.root.Version; v > 1; v-- {
		h, err := c.committer.historyRecord(ctx, v-1)
		if err != nil {
			return err
		}
		if h.Trimmed {
			return nil
		}
		if replaced.Before(c.cutoff) {
			c.expiredRoots = append(c.expiredRoots, h)
		} else {
			c.markLive(h.Root.Digests())
		}
		replaced = h.Root.At
	}
	return nil
}

// readIntents reads the intents in the index. The objects of intents that have not
// expired are live; those of expired intents and roots are candidates for deletion.
func (c *collection) readIntents(ctx context.Context) error {
	var err error
	c.intentIndex, c.intentIndexRevision, err = c.committer.readIntentIndex(ctx)
	if err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(c.intentIndex.Intents)) {
		i, _, err := c.committer.readIntent(ctx, id)
		if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
			return err
		}
		if !c.intentIndex.Intents[id].Before(c.cutoff) {
			c.markLive(i.Objects)
			continue
		}
		c.expiredIntents = append(c.expiredIntents, id)
		c.addCandidates(i.Objects)
	}
	for _, h := range c.expiredRoots {
		c.addCandidates(h.Root.Digests())
	}
	return nil
}

func (c *collection) markLive(list []kqresource.Digest) {
	for _, d := range list {
		c.live[d] = true
	}
}

func (c *collection) addCandidates(list []kqresource.Digest) {
	for _, d := range list {
		c.candidates[d] = kqstore.Absent
	}
}

// readCandidates reads the revisions of the candidates and drops those that are live
// or do not exist any longer.
func (c *collection) readCandidates(ctx context.Context) error {
	for _, d := range slices.SortedFunc(maps.Keys(c.candidates), kqresource.Digest.Compare) {
		if c.live[d] {
			delete(c.candidates, d)
			continue
		}
		e, err := c.committer.store.Get(ctx, ObjectKey(d))
		if errors.Is(err, kqstore.ErrNotFound) {
			delete(c.candidates, d)
			continue
		}
		if err != nil {
			return err
		}
		c.candidates[d] = e.Revision
	}
	return nil
}

// fenceCommits makes commits in flight fail or write their objects again; see
// CollectGarbage. It does nothing if no root or intent has expired.
func (c *collection) fenceCommits(ctx context.Context) error {
	if len(c.expiredIntents) == 0 && len(c.expiredRoots) == 0 {
		return nil
	}
	if err := c.committer.writeIntentIndex(ctx, c.intentIndex, c.intentIndexRevision); err != nil {
		return err
	}
	return c.committer.rewriteRoot(ctx, c.root, c.rootRevision)
}

// sweep deletes the candidates and then trims the roots and intents that referenced
// them. If it is interrupted, the next collection finds the remaining objects through
// the roots and intents that are not trimmed yet.
func (c *collection) sweep(ctx context.Context) error {
	for _, d := range slices.SortedFunc(maps.Keys(c.candidates), kqresource.Digest.Compare) {
		err := c.deleter.Delete(ctx, ObjectKey(d), c.candidates[d])
		switch {
		case err == nil, errors.Is(err, kqstore.ErrNotFound):
			c.stats.Objects++
		case errors.Is(err, kqstore.ErrConflict):
			c.stats.Kept++
		default:
			return err
		}
	}
	if err := c.trimRoots(ctx); err != nil {
		return err
	}
	return c.trimIntents(ctx)
}

// trimRoots reduces expired roots to their metadata, such as author and reason. It
// goes from the oldest to the newest, because readRoots stops at the first
// trimmed root.
func (c *collection) trimRoots(ctx context.Context) error {
	for i := len(c.expiredRoots) - 1; i >= 0; i-- {
		h := c.expiredRoots[i]
		h.Trimmed = true
		h.Root.Hosts, h.Root.Services, h.Root.Workspaces, h.Root.Ownership = nil, nil, nil, kqresource.Digest{}
		data, err := kqresource.Encode(h)
		if err != nil {
			return err
		}
		if _, err := c.committer.store.Put(ctx, HistoryKey(h.Root.Version), data, kqstore.NoLease); err != nil {
			return fmt.Errorf("trim version %d: %w", h.Root.Version, err)
		}
		c.stats.Roots++
	}
	return nil
}

// trimIntents removes expired intents from the index. Their records stay, without
// the objects, so that a used request ID is recognized forever. An intent that a
// repeated commit has renewed meanwhile is left as it is.
func (c *collection) trimIntents(ctx context.Context) error {
	if len(c.expiredIntents) == 0 {
		return nil
	}
	for _, id := range c.expiredIntents {
		i, revision, err := c.committer.readIntent(ctx, id)
		if errors.Is(err, kqstore.ErrNotFound) || err == nil && !i.At.Before(c.cutoff) {
			continue
		}
		if err != nil {
			return err
		}
		i.Objects = nil
		if err := c.committer.writeIntent(ctx, i, revision); err != nil {
			return fmt.Errorf("trim intent %s: %w", id, err)
		}
	}
	l, revision, err := c.committer.readIntentIndex(ctx)
	if err != nil {
		return err
	}
	for _, id := range c.expiredIntents {
		if at, ok := l.Intents[id]; ok && at.Before(c.cutoff) {
			delete(l.Intents, id)
			c.stats.Intents++
		}
	}
	return c.committer.writeIntentIndex(ctx, l, revision)
}
