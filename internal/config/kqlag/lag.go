package kqlag

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Lag measures how long a node is behind. It is behind from the first announcement of a
	// version newer than the one in force until that version or a newer one is in force. The
	// zero value is ready to use. It is safe for concurrent use.
	Lag struct {
		mu sync.Mutex
		// inForce is the version in force.
		inForce kqname.ConfigVersion
		// since is when the node fell behind; it is zero while the node is current.
		since   time.Time
		current Report
	}

	// Report tells what a node did while it was behind.
	Report struct {
		// Version is the version that came into force, and Skipped how many newer ones had
		// been announced since the node fell behind.
		Version kqname.ConfigVersion
		Skipped int
		// Behind is how long the node was behind.
		Behind time.Duration
		// RootAfter is the time from falling behind to the first root received, RootFrom the
		// peer that it came from, which is empty for the platform, and FailedPulls counts the
		// pulls that returned no root.
		RootAfter   time.Duration
		RootFrom    kqname.Address
		FailedPulls int
		// FailedFetches counts the fetches of objects that failed, and SupersededFetches those
		// that were cancelled because a newer root had arrived.
		FailedFetches, SupersededFetches int

		highest kqname.ConfigVersion
	}
)

// Announced records that a version exists.
func (l *Lag) Announced(v kqname.ConfigVersion, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case v <= l.inForce:
		return
	case l.since.IsZero():
		l.since, l.current = now, Report{highest: v}
	case v > l.current.highest:
		l.current.highest = v
		l.current.Skipped++
	}
}

// RootReceived records the root of a version that this node did not have.
func (l *Lag) RootReceived(v kqname.ConfigVersion, from kqname.Address, now time.Time) {
	l.Announced(v, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if v > l.inForce && l.current.RootAfter == 0 {
		l.current.RootAfter, l.current.RootFrom = now.Sub(l.since)+1, from
	}
}

// PullFailed records a pull that returned no root.
func (l *Lag) PullFailed() { l.update(func(r *Report) { r.FailedPulls++ }) }

// FetchFailed records a fetch of objects that failed.
func (l *Lag) FetchFailed() { l.update(func(r *Report) { r.FailedFetches++ }) }

// FetchSuperseded records a fetch of objects that a newer root has cancelled.
func (l *Lag) FetchSuperseded() { l.update(func(r *Report) { r.SupersededFetches++ }) }

// InForce records that a version is in force and reports what happened since the node fell
// behind. ok is false if the node was not behind.
func (l *Lag) InForce(v kqname.ConfigVersion, now time.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce = max(l.inForce, v)
	if l.since.IsZero() {
		return Report{}, false
	}
	r = l.current
	r.Version, r.Behind = v, now.Sub(l.since)
	l.since, l.current = time.Time{}, Report{}
	if r.highest > l.inForce {
		l.since, l.current.highest = now, r.highest
	}
	return r, true
}

func (l *Lag) update(change func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() {
		change(&l.current)
	}
}
