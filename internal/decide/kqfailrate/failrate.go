package kqfailrate

import (
	"math"
	"time"
)

const (
	// windowCalls is the inverse of a call's weight in the failure rate.
	windowCalls = 32
	// halfLife is the time in which the failure rate falls by half. It decays over the time
	// between calls, however short.
	halfLife = 3 * time.Second
	// minRate is the failure rate below which 0 is reported: less than two failures in 32
	// calls.
	minRate = 0.05
)

// FailureRate rates the recent failures of one upstream from 0 to 1: a mean over about
// windowCalls calls that also halves every halfLife. At a few calls a second it is far below
// the share of calls that fail. The zero value is ready to use. It is not safe for
// concurrent use.
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
