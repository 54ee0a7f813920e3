package kqcatchup

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Interval is the least time between the starts of two inquiries, so that a node asks at
	// most four times a second.
	Interval = 250 * time.Millisecond
	// MaxWait is how long a call waits at most for a conclusion.
	MaxWait = 300 * time.Millisecond
	// MaxWaiting is how many calls wait at once. Each holds its goroutine and its request, and
	// without the bound a flood of made-up keys would take a node's memory.
	MaxWaiting = 512

	// waitShare is the divisor of the time until the call's deadline: the rest is left for the
	// call itself.
	waitShare = 4
)

const (
	// Open means that nothing can be concluded yet.
	Open Verdict = iota
	// Newest means that the version in force is the newest that the asked peers know.
	Newest
	// Behind means that a peer knows a newer version than the one in force.
	Behind
	// Unknown means that no peer has answered and none will in time.
	Unknown
)

type (
	// Verdict is what an inquiry has shown.
	Verdict uint8

	// Inquiry collects the answers of the peers that are asked at one time. It is not safe for
	// concurrent use.
	Inquiry struct {
		pending, answered int
		newest            kqname.ConfigVersion
	}
)

// New returns the inquiry of that many peers.
func New(peers int) *Inquiry { return &Inquiry{pending: peers} }

// Wait returns how long a call may wait for a conclusion. A zero deadline means none.
func Wait(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return MaxWait
	}
	return min(MaxWait, max(deadline.Sub(now), 0)/waitShare)
}

// StartAfter returns how long the next inquiry must be put off if the last one started at the
// given time.
func StartAfter(last, now time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	// The bound holds also if the time of day was set back.
	return min(max(last.Add(Interval).Sub(now), 0), Interval)
}

// Answered records that a peer's newest version is v.
func (i *Inquiry) Answered(v kqname.ConfigVersion) {
	i.pending, i.answered, i.newest = i.pending-1, i.answered+1, max(i.newest, v)
}

// Failed records that a peer did not answer.
func (i *Inquiry) Failed() { i.pending-- }

// Conclude returns what the answers show of the version in force. isFinal means that the caller
// waits no longer: a single answer then suffices.
func (i *Inquiry) Conclude(inForce kqname.ConfigVersion, isFinal bool) Verdict {
	switch {
	case i.newest > inForce:
		return Behind
	case i.pending > 0 && !isFinal:
		return Open
	case i.answered > 0:
		return Newest
	default:
		return Unknown
	}
}
