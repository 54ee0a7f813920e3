package kqrollouthistory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxPoints bounds the points of one rollout. At the bound every second
	// point is dropped and the interval doubled, so the series still covers a
	// long rollout from its start, at a lower resolution.
	maxPoints = 240
	// maxSeries bounds the rollouts; the one not seen for the longest time is
	// evicted first.
	maxSeries      = 200
	sampleInterval = time.Second
)

type (
	// Point is one sample of a rollout's status: the new version's share of
	// traffic and both versions' failure ratios, each from 0 to 1.
	Point struct {
		At        time.Time
		Share     float64
		OldFailed float64
		NewFailed float64
		// Nats is the evidence against the new version, as natural log odds.
		Nats float64
	}

	// History holds the sampled points of rollouts. It is safe for concurrent
	// use.
	History struct {
		mu       sync.Mutex
		rollouts map[kqname.Rollout]*series
	}

	// series holds the points of one rollout.
	series struct {
		points []Point
		// interval is the least time between two points.
		interval time.Duration
		lastSeen time.Time
	}
)

// New returns an empty history.
func New() *History { return &History{rollouts: make(map[kqname.Rollout]*series)} }

// Run samples the rollouts that statuses returns every second until ctx ends.
func (h *History) Run(ctx context.Context, statuses func() []kqtracker.Status) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.Record(now, statuses())
		}
	}
}

// Record adds a sample of each started rollout whose interval has passed. An
// ended rollout is sampled only when its share has changed.
func (h *History) Record(now time.Time, list []kqtracker.Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range list {
		if s.State == kqtracker.Pending {
			continue
		}
		current := h.series(s, now)
		current.lastSeen = now
		ended := s.State != kqtracker.Running
		if n := len(current.points); n > 0 && (now.Sub(current.points[n-1].At) < current.interval || ended && current.points[n-1].Share == s.Share) {
			continue
		}
		current.add(Point{
			At: now, Share: s.Share, Nats: s.Evidence.Nats,
			OldFailed: ratio(s.Evidence.OldFailed, s.Evidence.OldCalls), NewFailed: ratio(s.Evidence.NewFailed, s.Evidence.NewCalls),
		})
	}
}

// Points returns a copy of a rollout's points, oldest first.
func (h *History) Points(name kqname.Rollout) []Point {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, ok := h.rollouts[name]
	if !ok {
		return nil
	}
	return slices.Clone(current.points)
}

// series returns a rollout's series. It starts a new one if the rollout is
// unknown or its name was reused by a plan that started after the last point.
func (h *History) series(s kqtracker.Status, now time.Time) *series {
	current, ok := h.rollouts[s.Rollout]
	if ok && (len(current.points) == 0 || !s.Start.After(current.points[len(current.points)-1].At)) {
		return current
	}
	if !ok && len(h.rollouts) >= maxSeries {
		h.evictOldest()
	}
	current = &series{interval: sampleInterval, lastSeen: now}
	h.rollouts[s.Rollout] = current
	return current
}

func (h *History) evictOldest() {
	var oldest kqname.Rollout
	for name, current := range h.rollouts {
		if oldest == "" || current.lastSeen.Before(h.rollouts[oldest].lastSeen) {
			oldest = name
		}
	}
	delete(h.rollouts, oldest)
}

// add appends a point and halves the resolution at maxPoints.
func (t *series) add(p Point) {
	t.points = append(t.points, p)
	if len(t.points) < maxPoints {
		return
	}
	kept := t.points[:0]
	for i := 0; i < len(t.points); i += 2 {
		kept = append(kept, t.points[i])
	}
	t.points = kept
	t.interval *= 2
}

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
