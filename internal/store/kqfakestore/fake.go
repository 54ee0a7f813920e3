package kqfakestore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

type (
	// Fake is an in-memory key-value service. It implements kqstore.Store and
	// kqstore.Lister, and is safe for concurrent use.
	Fake struct {
		mu       sync.Mutex
		entries  map[string]record
		leases   map[kqstore.Lease]lease
		revision kqstore.Revision
		// changed is closed and replaced at each change, to wake the watches.
		changed chan struct{}
		// deleted holds the deletions since the last compaction, and compactedAt the
		// revision at which it took place.
		deleted     []kqstore.Deletion
		compactedAt kqstore.Revision
		faults      Faults
		// frozen is the state that FreezeStale was set at.
		frozen map[string]record
		counts Counts
		now    func() time.Time
	}

	// Faults holds the faults to inject.
	Faults struct {
		// Down refuses every call with ErrUnavailable.
		Down bool `json:"down"`
		// Slow is the delay of each call, and of each time that a waiting watch is woken.
		Slow time.Duration `json:"slow"`
		// LoseResponses is how many of the next writes take effect but return
		// ErrUnavailable. Grants and renewals of leases count as writes.
		LoseResponses int `json:"lose_answers"`
		// SilentWatch keeps watches waiting although their key has changed.
		SilentWatch bool `json:"silent_watch"`
		// StaleReads makes reads and watches return the entry of each key before its last
		// write; a key that was written only once reads as absent.
		StaleReads bool `json:"stale_reads"`
		// FreezeStale makes ListStale and GetStale return the state at the time at which
		// the fault was set.
		FreezeStale bool `json:"freeze_stale"`
		// LapseLeases expires every lease once, when the faults are set, as if its
		// holder had been paused for longer than its ttl.
		LapseLeases bool `json:"lapse_leases"`
		// MaxReads and MaxWrites are limits of calls per second, beyond which
		// ErrRateLimited is returned; 0 sets no limit.
		MaxReads  int `json:"max_reads"`
		MaxWrites int `json:"max_writes"`
	}

	// Option configures a Fake.
	Option func(*Fake)

	// record is a key's entry, with the entry before its last write, or nil, and the
	// lease that the key was written under.
	record struct {
		entry    kqstore.Entry
		previous *kqstore.Entry
		lease    kqstore.Lease
	}
)

// WithNow sets the clock; the default is time.Now.
func WithNow(now func() time.Time) Option { return func(s *Fake) { s.now = now } }

// New returns an empty store without faults.
func New(options ...Option) *Fake {
	s := &Fake{
		entries: make(map[string]record),
		leases:  make(map[kqstore.Lease]lease),
		changed: make(chan struct{}),
		now:     time.Now,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Fake) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.LapseLeases {
		s.expireLeases(func(lease) bool { return true })
		f.LapseLeases = false
	}
	if f.FreezeStale && !s.faults.FreezeStale {
		s.frozen = maps.Clone(s.entries)
	}
	s.faults = f
	s.wake()
}

// Faults returns the injected faults.
func (s *Fake) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Get implements kqstore.Store.
func (s *Fake) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	if err := s.admit(ctx, (*Fake).countRead); err != nil {
		return kqstore.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	defer s.mu.Unlock()
	e, ok := s.read(key)
	if !ok {
		return kqstore.Entry{}, fmt.Errorf("get %s: %w", key, kqstore.ErrNotFound)
	}
	return e, nil
}

// GetStale implements kqstore.Store.
func (s *Fake) GetStale(ctx context.Context, key string) (kqstore.Entry, error) {
	if err := s.admit(ctx, (*Fake).countStaleRead); err != nil {
		return kqstore.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	defer s.mu.Unlock()
	r, ok := s.staleEntries()[key]
	if !ok {
		return kqstore.Entry{}, fmt.Errorf("get %s: %w", key, kqstore.ErrNotFound)
	}
	return r.entry, nil
}

// staleEntries returns the entries that stale reads see.
func (s *Fake) staleEntries() map[string]record {
	if s.faults.FreezeStale {
		return s.frozen
	}
	return s.entries
}

// Put implements kqstore.Store.
func (s *Fake) Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	if err := s.admit(ctx, (*Fake).countWrite); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	defer s.mu.Unlock()
	return s.write(key, value, lease)
}

// Swap implements kqstore.Store.
func (s *Fake) Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	if err := s.admit(ctx, (*Fake).countWrite); err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	defer s.mu.Unlock()
	if s.entries[key].entry.Revision != expected {
		return 0, fmt.Errorf("swap %s: %w", key, kqstore.ErrConflict)
	}
	return s.write(key, value, lease)
}

// Delete implements kqstore.Store.
func (s *Fake) Delete(ctx context.Context, key string, expected kqstore.Revision) error {
	if err := s.admit(ctx, (*Fake).countWrite); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	defer s.mu.Unlock()
	r, ok := s.entries[key]
	if !ok {
		return fmt.Errorf("delete %s: %w", key, kqstore.ErrNotFound)
	}
	if r.entry.Revision != expected {
		return fmt.Errorf("delete %s: %w", key, kqstore.ErrConflict)
	}
	delete(s.entries, key)
	s.revision++
	s.deleted = append(s.deleted, kqstore.Deletion{Key: key, Revision: s.revision})
	s.wake()
	return s.writeResult()
}

// Watch implements kqstore.Store.
func (s *Fake) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	count := (*Fake).countWatch
	for {
		if err := s.admit(ctx, count); err != nil {
			return kqstore.Entry{}, fmt.Errorf("watch %s: %w", key, err)
		}
		// The call is counted once, not each time that it is woken.
		count = func(*Fake) bool { return true }
		e, ok := s.read(key)
		silent := s.faults.SilentWatch
		changed := s.changed
		s.mu.Unlock()
		if ok && !silent && e.Revision > after {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return kqstore.Entry{}, fmt.Errorf("watch %s: %w", key, ctx.Err())
		case <-timeout.C:
			return kqstore.Entry{}, fmt.Errorf("watch %s, unchanged: %w", key, kqstore.ErrNotFound)
		case <-changed:
		}
	}
}

// read returns a key's entry, or its previous one under the fault StaleReads.
func (s *Fake) read(key string) (kqstore.Entry, bool) {
	r, ok := s.entries[key]
	if !ok {
		return kqstore.Entry{}, false
	}
	if s.faults.StaleReads {
		if r.previous == nil {
			return kqstore.Entry{}, false
		}
		return *r.previous, true
	}
	return r.entry, true
}

// write stores a value under the next revision and wakes the watches. It refuses values
// that are too large and leases that have lapsed.
func (s *Fake) write(key string, value []byte, id kqstore.Lease) (kqstore.Revision, error) {
	if len(value) > kqstore.MaxValueBytes {
		return 0, fmt.Errorf("write %s of %d bytes: %w", key, len(value), kqstore.ErrTooLarge)
	}
	if _, ok := s.leases[id]; id != kqstore.NoLease && !ok {
		return 0, fmt.Errorf("write %s under %s: %w", key, id, kqstore.ErrLeaseLapsed)
	}
	s.revision++
	next := record{entry: kqstore.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision, Lease: id}, lease: id}
	if old, ok := s.entries[key]; ok {
		next.previous = &old.entry
	}
	s.entries[key] = next
	s.wake()
	return s.revision, s.writeResult()
}

// writeResult returns the result of a write that has taken effect: nil, or an error
// under the fault LoseResponses.
func (s *Fake) writeResult() error {
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return fmt.Errorf("response lost by injected fault: %w", kqstore.ErrUnavailable)
	}
	return nil
}

// wake wakes all waiting watches, which then check their keys again.
func (s *Fake) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
