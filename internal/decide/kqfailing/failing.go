package kqfailing

import (
	"math"
	"time"
)

const (
	// windowCalls is the number of calls over which the share is averaged.
	windowCalls = 32
	// halfLife is the time without calls in which the share falls by half.
	halfLife = 3 * time.Second
	// minShare is the share below which 0 is reported: less than two failures in 32 calls.
	minShare = 0.05
)

// Failing measures the failing calls of one upstream. The zero value is ready to use. It
// is not safe for concurrent use.
type Failing struct {
	share    float64
	lastCall time.Time
}

// Note records whether a call failed.
func (f *Failing) Note(failed bool, now time.Time) {
	share := Faded(f.share, now.Sub(f.lastCall))
	ended := 0.0
	if failed {
		ended = 1
	}
	f.share, f.lastCall = share+(ended-share)/windowCalls, now
}

// Share returns the share of recent calls that failed, from 0 to 1. It is 0 where the
// failures may be chance.
func (f *Failing) Share(now time.Time) float64 {
	if share := Faded(f.share, now.Sub(f.lastCall)); share >= minShare {
		return share
	}
	return 0
}

// Faded returns the share after decaying for the given age.
func Faded(share float64, age time.Duration) float64 {
	if share == 0 || age <= 0 {
		return share
	}
	return share * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
