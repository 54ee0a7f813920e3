package kqfailing

import (
	"math"
	"time"
)

const (
	// over is how many calls the share is taken over.
	over = 32
	// halfLife is in how long without a call half of the share is forgotten.
	halfLife = 3 * time.Second
	// noise is the share below which nothing is told: less than two failures in 32 calls.
	noise = 0.05
)

// Failing follows the calls of one upstream. Its zero value has seen none. It is not
// safe for concurrent use.
type Failing struct {
	share float64
	seen  time.Time
}

// Note takes in a call that ended.
func (f *Failing) Note(failed bool, now time.Time) {
	share := Faded(f.share, now.Sub(f.seen))
	ended := 0.0
	if failed {
		ended = 1
	}
	f.share, f.seen = share+(ended-share)/over, now
}

// Share returns the part of the last calls that failed, from 0 to 1; 0 where it may
// be chance.
func (f *Failing) Share(now time.Time) float64 {
	if share := Faded(f.share, now.Sub(f.seen)); share >= noise {
		return share
	}
	return 0
}

// Faded returns what is left of a share that was told so long ago.
func Faded(share float64, age time.Duration) float64 {
	if share == 0 || age <= 0 {
		return share
	}
	return share * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
