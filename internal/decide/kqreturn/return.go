package kqreturn

import "time"

// most bounds the calls that are remembered: a node that refuses 1,000 calls a second of
// callers who wait for four seconds has as many to know.
const most = 4096

type (
	// Key is a hash of who asked for what.
	Key uint64

	// Returns remembers calls of one node. It is not safe for concurrent use.
	Returns struct {
		held map[Key][]asked
		// order holds the keys of all that was remembered, the oldest first; some may
		// have come back meanwhile.
		order []Key
	}

	asked struct {
		first, until time.Time
	}
)

// New returns an empty memory.
func New() *Returns { return &Returns{held: make(map[Key][]asked)} }

// Unserved notes that a call ended without a good answer, whose caller asked first at
// first and waits until until.
func (r *Returns) Unserved(k Key, first, until time.Time) {
	for len(r.order) >= most {
		r.take(r.order[0])
		r.order = r.order[1:]
	}
	r.held[k] = append(r.held[k], asked{first: first, until: until})
	r.order = append(r.order, k)
}

// First returns since when the caller of a call that comes now has been asking: now,
// unless it comes back.
func (r *Returns) First(k Key, now time.Time) time.Time {
	for {
		a, ok := r.take(k)
		if !ok {
			return now
		}
		if now.Before(a.until) {
			return a.first
		}
	}
}

// take takes out what was remembered first of a key.
func (r *Returns) take(k Key) (asked, bool) {
	list := r.held[k]
	if len(list) == 0 {
		return asked{}, false
	}
	if len(list) == 1 {
		delete(r.held, k)
	} else {
		r.held[k] = list[1:]
	}
	return list[0], true
}
