package kqcallerretry

import "time"

// maxCalls bounds the calls that a RetryTracker remembers. A node that refuses 1,000 calls a
// second of callers that wait for four seconds has about as many to remember, and divides
// them among several trackers.
const maxCalls = 4096

type (
	// Key is a hash of a caller and its request.
	Key uint64

	// RetryTracker remembers the unsuccessful calls of a part of a node's callers. It is not
	// safe for concurrent use.
	RetryTracker struct {
		pending map[Key][]call
		// order holds the keys of the last maxCalls recorded calls, oldest first. A key
		// stays in it after its call was retried; when it is removed, a later call of the
		// same key may be forgotten too early.
		order []Key
	}

	// call is a remembered call: the time of its first attempt, and the time until which
	// its caller waits.
	call struct {
		first, until time.Time
	}
)

// New returns a RetryTracker without calls.
func New() *RetryTracker { return &RetryTracker{pending: make(map[Key][]call)} }

// RecordFailure remembers a call that ended without a successful answer. The parameter
// first is the time of its first attempt, and until the time at which its caller stops
// waiting.
func (r *RetryTracker) RecordFailure(k Key, first, until time.Time) {
	for len(r.order) >= maxCalls {
		r.removeOldest(r.order[0])
		r.order = r.order[1:]
	}
	r.pending[k] = append(r.pending[k], call{first: first, until: until})
	r.order = append(r.order, k)
}

// TakeFirstAttempt returns the time of the first attempt of a call that arrives now: now,
// unless it is a retry of a remembered call, which is then forgotten.
func (r *RetryTracker) TakeFirstAttempt(k Key, now time.Time) time.Time {
	for {
		a, ok := r.removeOldest(k)
		if !ok {
			return now
		}
		if now.Before(a.until) {
			return a.first
		}
	}
}

// removeOldest removes and returns the oldest remembered call of a key.
func (r *RetryTracker) removeOldest(k Key) (call, bool) {
	list := r.pending[k]
	if len(list) == 0 {
		return call{}, false
	}
	if len(list) == 1 {
		delete(r.pending, k)
	} else {
		r.pending[k] = list[1:]
	}
	return list[0], true
}
