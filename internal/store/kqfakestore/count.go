package kqfakestore

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// Counts holds the number of calls received since the start. Refused calls count as
// reads or writes too; calls that are cancelled during the delay of Faults.Slow do not
// count.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// StaleReads are the calls of ListStale and GetStale, which Reads does not include.
	StaleReads uint64 `json:"stale_reads"`
	Refused    uint64 `json:"refused"`
	// PeakReads and PeakWrites are the highest numbers of calls in one second of the
	// clock.
	PeakReads  uint64 `json:"peak_reads"`
	PeakWrites uint64 `json:"peak_writes"`

	// currentSecond is the second of the latest call; readsThisSecond and
	// writesThisSecond are the calls in it.
	currentSecond                     int64
	readsThisSecond, writesThisSecond uint64
}

// Counts returns the number of calls received since the start.
func (s *Fake) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// admit applies the delay of the fault Slow, counts the call with count, and refuses it
// under the fault Down or if count reports that it is over its limit. If admit returns
// nil, it has deleted expired leases with their keys and has locked s.mu, which the
// caller must unlock.
func (s *Fake) admit(ctx context.Context, count func(*Fake) bool) error {
	if slow := s.Faults().Slow; slow > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the injected delay: %w", ctx.Err())
		case <-time.After(slow):
		}
	}
	s.mu.Lock()
	now := s.now()
	if currentSecond := now.Unix(); currentSecond != s.counts.currentSecond {
		s.counts.currentSecond, s.counts.readsThisSecond, s.counts.writesThisSecond = currentSecond, 0, 0
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
	s.expireLeases(func(l lease) bool { return !now.Before(l.expires) })
	return nil
}

// countRead counts a read and reports whether it is within MaxReads.
func (s *Fake) countRead() bool {
	c := &s.counts
	c.Reads++
	c.readsThisSecond++
	c.PeakReads = max(c.PeakReads, c.readsThisSecond)
	return s.faults.MaxReads == 0 || c.readsThisSecond <= uint64(s.faults.MaxReads)
}

// countStaleRead counts a stale read, which no limit applies to.
func (s *Fake) countStaleRead() bool {
	s.counts.StaleReads++
	return true
}

// countWatch counts a watch, which is a read too.
func (s *Fake) countWatch() bool {
	s.counts.Watches++
	return s.countRead()
}

// countWrite counts a write and reports whether it is within MaxWrites.
func (s *Fake) countWrite() bool {
	c := &s.counts
	c.Writes++
	c.writesThisSecond++
	c.PeakWrites = max(c.PeakWrites, c.writesThisSecond)
	return s.faults.MaxWrites == 0 || c.writesThisSecond <= uint64(s.faults.MaxWrites)
}
