package kqtrail

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// mostPoints bounds one rollout's trail. When it is full every second
	// point goes, so a long rollout is shown whole, only coarser.
	mostPoints = 240
	// mostTrails bounds the rollouts; the longest unseen goes first.
	mostTrails  = 200
	sampleEvery = time.Second
)

type (
	// Point is one look at a rollout. Shares are from 0 to 1.
	Point struct {
		At        time.Time
		Share     float64
		OldFailed float64
		NewFailed float64
		// Nats is the evidence against the new version.
		Nats float64
	}

	// Trail holds the points of rollouts. It is safe for concurrent use.
	Trail struct {
		mu     sync.Mutex
		trails map[kqname.Rollout]*trail
	}

	trail struct {
		points []Point
		every  time.Duration
		seen   time.Time
	}
)

// New returns a trail without points.
func New() *Trail { return &Trail{trails: make(map[kqname.Rollout]*trail)} }

// Run looks at the rollouts every second until ctx ends.
func (t *Trail) Run(ctx context.Context, look func() []kqboard.Status) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.Add(now, look())
		}
	}
}

// Add takes in one look.
func (t *Trail) Add(now time.Time, list []kqboard.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		if s.State == kqboard.Pending {
			continue
		}
		one := t.trail(s, now)
		one.seen = now
		ended := s.State != kqboard.Running
		if n := len(one.points); n > 0 && (now.Sub(one.points[n-1].At) < one.every || ended && one.points[n-1].Share == s.Share) {
			continue
		}
		one.add(Point{
			At: now, Share: s.Share, Nats: s.Evidence.Nats,
			OldFailed: share(s.Evidence.OldFailed, s.Evidence.OldCalls), NewFailed: share(s.Evidence.NewFailed, s.Evidence.NewCalls),
		})
	}
}

// Points returns a rollout's points, the oldest first.
func (t *Trail) Points(name kqname.Rollout) []Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	one, ok := t.trails[name]
	if !ok {
		return nil
	}
	return slices.Clone(one.points)
}

// trail returns a rollout's trail, a fresh one where the name was given to a
// new plan that began after the last point.
func (t *Trail) trail(s kqboard.Status, now time.Time) *trail {
	one, ok := t.trails[s.Rollout]
	if ok && (len(one.points) == 0 || !s.Start.After(one.points[len(one.points)-1].At)) {
		return one
	}
	if !ok && len(t.trails) >= mostTrails {
		t.forget()
	}
	one = &trail{every: sampleEvery, seen: now}
	t.trails[s.Rollout] = one
	return one
}

func (t *Trail) forget() {
	var oldest kqname.Rollout
	for name, one := range t.trails {
		if oldest == "" || one.seen.Before(t.trails[oldest].seen) {
			oldest = name
		}
	}
	delete(t.trails, oldest)
}

func (t *trail) add(p Point) {
	t.points = append(t.points, p)
	if len(t.points) < mostPoints {
		return
	}
	kept := t.points[:0]
	for i := 0; i < len(t.points); i += 2 {
		kept = append(kept, t.points[i])
	}
	t.points = kept
	t.every *= 2
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
