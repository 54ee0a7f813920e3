package kqslots

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the decaying sum of demand.
	demandTimeConstant = time.Second
	// reserveFactor times the mean demand of short calls is reserved for them, since they
	// arrive unevenly.
	reserveFactor = 2
)

// demand estimates how many slots recent calls need.
type demand struct {
	// work is the expected work of recent calls in seconds, decaying exponentially.
	work float64
	// lastArrival is the time of the latest call.
	lastArrival time.Time
}

// add counts a call with the given expected work.
func (d *demand) add(expected time.Duration, now time.Time) {
	d.work = d.decayed(now) + expected.Seconds()
	d.lastArrival = now
}

// meanSlots returns the mean number of slots that the recent calls would use at once if all
// of them ran on arrival.
func (d *demand) meanSlots(now time.Time) float64 {
	return d.decayed(now) / demandTimeConstant.Seconds()
}

func (d *demand) decayed(now time.Time) float64 {
	return d.work * math.Exp(-now.Sub(d.lastArrival).Seconds()/demandTimeConstant.Seconds())
}
