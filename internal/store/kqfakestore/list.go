package kqfakestore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// Compact drops the history of deletions: Follow from an older revision returns
// ErrCompacted.
func (s *Fake) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleted, s.compactedAt = nil, s.revision
}

// List implements kqstore.Lister.
func (s *Fake) List(ctx context.Context, prefix string) (kqstore.Listing, error) {
	if err := s.admit(ctx, (*Fake).countRead); err != nil {
		return kqstore.Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	defer s.mu.Unlock()
	return s.changesSince(prefix, 0), nil
}

// ListStale implements kqstore.Lister.
func (s *Fake) ListStale(ctx context.Context, prefix string) (kqstore.Listing, error) {
	if err := s.admit(ctx, (*Fake).countStaleRead); err != nil {
		return kqstore.Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	defer s.mu.Unlock()
	var l kqstore.Listing
	for key, r := range s.staleEntries() {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, r.entry)
		}
	}
	slices.SortFunc(l.Entries, func(a, b kqstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return l, nil
}

// Follow implements kqstore.Lister.
func (s *Fake) Follow(ctx context.Context, prefix string, after kqstore.Revision, wait time.Duration) (kqstore.Listing, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	count := (*Fake).countWatch
	for {
		if err := s.admit(ctx, count); err != nil {
			return kqstore.Listing{}, fmt.Errorf("follow %s: %w", prefix, err)
		}
		// The call is counted once, not each time that it is woken.
		count = func(*Fake) bool { return true }
		compacted, silent, changed := after < s.compactedAt, s.faults.SilentWatch, s.changed
		l := s.changesSince(prefix, after)
		s.mu.Unlock()
		switch {
		case compacted:
			return kqstore.Listing{}, fmt.Errorf("follow %s: %w", prefix, kqstore.ErrCompacted)
		case !silent && len(l.Entries)+len(l.Deleted) > 0:
			return l, nil
		}
		select {
		case <-ctx.Done():
			return kqstore.Listing{}, fmt.Errorf("follow %s: %w", prefix, ctx.Err())
		case <-timeout.C:
			return kqstore.Listing{}, fmt.Errorf("follow %s, unchanged: %w", prefix, kqstore.ErrNotFound)
		case <-changed:
		}
	}
}

// changesSince returns the keys under the prefix that were written or deleted after a
// revision, entries and deletions each in the order of their changes. It returns no
// deletions for revision 0 and none of keys that exist again.
func (s *Fake) changesSince(prefix string, after kqstore.Revision) kqstore.Listing {
	l := kqstore.Listing{Revision: s.revision}
	for key := range s.entries {
		if e, ok := s.read(key); ok && strings.HasPrefix(key, prefix) && e.Revision > after {
			l.Entries = append(l.Entries, e)
		}
	}
	slices.SortFunc(l.Entries, func(a, b kqstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, d := range s.deleted {
		if _, recreated := s.entries[d.Key]; !recreated && after > 0 && d.Revision > after && strings.HasPrefix(d.Key, prefix) {
			l.Deleted = append(l.Deleted, d)
		}
	}
	return l
}
