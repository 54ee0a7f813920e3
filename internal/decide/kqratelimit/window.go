package kqratelimit

import "time"

const (
	// windowLength is the span over which the calls to an upstream are bounded, and
	// slotLength the resolution at which they are counted.
	windowLength = 4 * time.Second
	slotLength   = 100 * time.Millisecond
	// slotCount is one more than fit into the window, since the oldest is only in part in
	// it.
	slotCount = int64(windowLength/slotLength) + 1
)

// window counts the calls of the last windowLength.
type window struct {
	start  time.Time
	latest int64
	counts [slotCount]int
}

// add counts a call.
func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.latest%slotCount]++
}

// sum returns the number of calls in the window.
func (w *window) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// advance drops the slots that have left the window.
func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	slot := max(int64(now.Sub(w.start)/slotLength), w.latest)
	for i := max(w.latest+1, slot-slotCount+1); i <= slot; i++ {
		w.counts[i%slotCount] = 0
	}
	w.latest = slot
}
