package kqadmission

import "time"

// bucket is a token bucket. Its level may be below 0, as debt.
type bucket struct {
	level    float64
	filledAt time.Time
}

// fill adds the tokens of the time since the last fill at perSecond, up to depth.
func (b *bucket) fill(perSecond, depth float64, now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level += perSecond * elapsed.Seconds()
		b.filledAt = now
	}
	b.level = min(b.level, depth)
}

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// takeRounded takes a token if there is one, or else all of its part with that part as the
// probability. A bucket whose depth is under one call, since each of many nodes has a small
// portion, then admits what its portion allows on average; a depth rounded up to one call would
// admit one call a node at once.
func (b *bucket) takeRounded(draw float64) bool {
	if b.level >= 1 {
		b.level--
		return true
	}
	part := b.level
	b.level = min(b.level, 0)
	return draw < part
}
