package kqstandin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/platform/kqstore"
)

type (
	// Standin is the key-value service in memory. It implements kqstore.Store.
	Standin struct {
		mu       sync.Mutex
		entries  map[string]record
		leases   map[kqstore.Lease]lease
		revision kqstore.Revision
		changed  chan struct{}
		faults   Faults
		counts   Counts
		now      func() time.Time
	}

	// Faults are the troubles that the stand-in is told to have.
	Faults struct {
		// Down refuses every call with ErrUnavailable.
		Down bool `json:"down"`
		// Slow delays each call.
		Slow time.Duration `json:"slow"`
		// LoseAnswers lets that many writes take effect and then answers
		// ErrUnavailable to them.
		LoseAnswers int `json:"lose_answers"`
		// SilentWatch keeps watches waiting although their key changed.
		SilentWatch bool `json:"silent_watch"`
		// StaleReads answers reads and watches with each key's value of before
		// its last write.
		StaleReads bool `json:"stale_reads"`
		// LapseLeases lets every lease lapse at once, as if its holder had
		// been paused for longer than its time.
		LapseLeases bool `json:"lapse_leases"`
		// MaxReads and MaxWrites refuse calls over that many in a second with
		// ErrRateLimited; 0 sets no limit.
		MaxReads  int `json:"max_reads"`
		MaxWrites int `json:"max_writes"`
	}

	// Counts are the calls taken since the start; refused ones count too.
	Counts struct {
		Reads   uint64 `json:"reads"`
		Writes  uint64 `json:"writes"`
		Watches uint64 `json:"watches"`
		Refused uint64 `json:"refused"`
		// PeakReads and PeakWrites are the most calls within one second.
		PeakReads  uint64 `json:"peak_reads"`
		PeakWrites uint64 `json:"peak_writes"`

		second                    int64
		secondReads, secondWrites uint64
	}

	// Option sets up a Standin.
	Option func(*Standin)

	record struct {
		entry  kqstore.Entry
		before *kqstore.Entry
		lease  kqstore.Lease
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}
)

// WithNow makes the stand-in read the time from now.
func WithNow(now func() time.Time) Option { return func(s *Standin) { s.now = now } }

// New returns an empty stand-in without faults.
func New(options ...Option) *Standin {
	s := &Standin{
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

// SetFaults replaces the faults in force.
func (s *Standin) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.LapseLeases {
		s.lapse(func(lease) bool { return true })
		f.LapseLeases = false
	}
	s.faults = f
	s.wake()
}

// Faults returns the faults in force.
func (s *Standin) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the calls taken since the start.
func (s *Standin) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements kqstore.Store.
func (s *Standin) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	if err := s.begin(ctx, (*Standin).countRead); err != nil {
		return kqstore.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	defer s.mu.Unlock()
	e, ok := s.read(key)
	if !ok {
		return kqstore.Entry{}, fmt.Errorf("get %s: %w", key, kqstore.ErrNotFound)
	}
	return e, nil
}

// Put implements kqstore.Store.
func (s *Standin) Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	if err := s.begin(ctx, (*Standin).countWrite); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	defer s.mu.Unlock()
	return s.write(key, value, lease)
}

// Swap implements kqstore.Store.
func (s *Standin) Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error) {
	if err := s.begin(ctx, (*Standin).countWrite); err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	defer s.mu.Unlock()
	if s.entries[key].entry.Revision != expected {
		return 0, fmt.Errorf("swap %s: %w", key, kqstore.ErrConflict)
	}
	return s.write(key, value, lease)
}

// Delete implements kqstore.Store.
func (s *Standin) Delete(ctx context.Context, key string, expected kqstore.Revision) error {
	if err := s.begin(ctx, (*Standin).countWrite); err != nil {
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
	s.wake()
	return s.answer()
}

// Grant implements kqstore.Store.
func (s *Standin) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	if err := s.begin(ctx, (*Standin).countWrite); err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	defer s.mu.Unlock()
	s.revision++
	name := kqstore.Lease(fmt.Sprintf("lease-%d", s.revision))
	s.leases[name] = lease{ttl: ttl, ends: s.now().Add(ttl)}
	if err := s.answer(); err != nil {
		return "", err
	}
	return name, nil
}

// Renew implements kqstore.Store.
func (s *Standin) Renew(ctx context.Context, name kqstore.Lease) error {
	if err := s.begin(ctx, (*Standin).countWrite); err != nil {
		return fmt.Errorf("renew %s: %w", name, err)
	}
	defer s.mu.Unlock()
	l, ok := s.leases[name]
	if !ok {
		return fmt.Errorf("renew %s: %w", name, kqstore.ErrLeaseLapsed)
	}
	l.ends = s.now().Add(l.ttl)
	s.leases[name] = l
	return s.answer()
}

// Watch implements kqstore.Store.
func (s *Standin) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	count := (*Standin).countWatch
	for {
		if err := s.begin(ctx, count); err != nil {
			return kqstore.Entry{}, fmt.Errorf("watch %s: %w", key, err)
		}
		count = func(*Standin) bool { return true }
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

// begin waits out a slow spell, counts the call and takes the lock, unless it
// returns an error.
func (s *Standin) begin(ctx context.Context, count func(*Standin) bool) error {
	if slow := s.Faults().Slow; slow > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for a slow platform: %w", ctx.Err())
		case <-time.After(slow):
		}
	}
	s.mu.Lock()
	now := s.now()
	if second := now.Unix(); second != s.counts.second {
		s.counts.second, s.counts.secondReads, s.counts.secondWrites = second, 0, 0
	}
	allowed := count(s)
	if s.faults.Down || !allowed {
		s.counts.Refused++
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			return kqstore.ErrUnavailable
		}
		return kqstore.ErrRateLimited
	}
	s.lapse(func(l lease) bool { return !now.Before(l.ends) })
	return nil
}

func (s *Standin) countRead() bool {
	c := &s.counts
	c.Reads++
	c.secondReads++
	c.PeakReads = max(c.PeakReads, c.secondReads)
	return s.faults.MaxReads == 0 || c.secondReads <= uint64(s.faults.MaxReads)
}

func (s *Standin) countWatch() bool {
	s.counts.Watches++
	return s.countRead()
}

func (s *Standin) countWrite() bool {
	c := &s.counts
	c.Writes++
	c.secondWrites++
	c.PeakWrites = max(c.PeakWrites, c.secondWrites)
	return s.faults.MaxWrites == 0 || c.secondWrites <= uint64(s.faults.MaxWrites)
}

func (s *Standin) read(key string) (kqstore.Entry, bool) {
	r, ok := s.entries[key]
	if !ok {
		return kqstore.Entry{}, false
	}
	if s.faults.StaleReads {
		if r.before == nil {
			return kqstore.Entry{}, false
		}
		return *r.before, true
	}
	return r.entry, true
}

func (s *Standin) write(key string, value []byte, name kqstore.Lease) (kqstore.Revision, error) {
	if len(value) > kqstore.MaxValueBytes {
		return 0, fmt.Errorf("write %s of %d bytes: %w", key, len(value), kqstore.ErrTooLarge)
	}
	if _, ok := s.leases[name]; name != kqstore.NoLease && !ok {
		return 0, fmt.Errorf("write %s under %s: %w", key, name, kqstore.ErrLeaseLapsed)
	}
	s.revision++
	next := record{entry: kqstore.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}, lease: name}
	if old, ok := s.entries[key]; ok {
		next.before = &old.entry
	}
	s.entries[key] = next
	s.wake()
	return s.revision, s.answer()
}

// answer loses the answer of a write that has taken effect, if told to.
func (s *Standin) answer() error {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return fmt.Errorf("answer lost: %w", kqstore.ErrUnavailable)
	}
	return nil
}

func (s *Standin) lapse(ended func(lease) bool) {
	for name, l := range s.leases {
		if !ended(l) {
			continue
		}
		delete(s.leases, name)
		for key, r := range s.entries {
			if r.lease == name {
				delete(s.entries, key)
			}
		}
		s.wake()
	}
}

func (s *Standin) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
