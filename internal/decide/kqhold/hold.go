package kqhold

import "time"

const (
	// startDuration is the time after its start in which a node may still lack its
	// configuration or its peers' upstreams only because it has just started.
	startDuration = time.Second
	// maxHold is the longest time that a call is held: a little more than the Retry-After
	// that it would get in place.
	maxHold = 300 * time.Millisecond
	// leftDivisor is the part of the caller's time that a call is held for at most.
	leftDivisor = 4
)

// Remaining returns for how much longer a call may be held: up is the time since the node
// started, held the time that the call has been held, and left the time that its caller still
// waits. A result of 0 or less means that the call is to be refused.
func Remaining(up, held, left time.Duration) time.Duration {
	return min(startDuration-up, maxHold-held, (left+held)/leftDivisor-held)
}
