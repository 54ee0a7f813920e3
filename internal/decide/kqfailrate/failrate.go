package kqfailrate

import (
	"math"
	"time"
)

const (
	// windowCalls is the number of calls over which the failure rate is averaged.
	windowCalls = 32
	// halfLife is the time without calls in which the failure rate falls by half.
	halfLife = 3 * time.Second
	// minRate is the failure rate below which 0 is reported: less than two failures in 32
	// calls.
	minRate = 0.05
)

// FailureRate is the failure rate of one upstream, a decaying mean over its calls. The zero
// value is ready to use. It is not safe for concurrent use.
type FailureRate struct {
	rate     float64
	lastCall time.Time
}

// Record records a call and whether it failed.
func (f *FailureRate) Record(failed bool, now time.Time) {
	rate := Decay(f.rate, now.Sub(f.lastCall))
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate, f.lastCall = rate+(sample-rate)/windowCalls, now
}

// Rate returns the failure rate, from 0 to 1. It is 0 below minRate, where the failures
// may be chance.
func (f *FailureRate) Rate(now time.Time) float64 {
	if rate := Decay(f.rate, now.Sub(f.lastCall)); rate >= minRate {
		return rate
	}
	return 0
}

// Decay returns a failure rate after its decay over the given time without calls.
func Decay(rate float64, age time.Duration) float64 {
	if rate == 0 || age <= 0 {
		return rate
	}
	return rate * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
