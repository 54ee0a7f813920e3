package kqslots

import (
	"math"
	"time"
)

const (
	// demandOver is the time over which demand is taken.
	demandOver = time.Second
	// keptTimes is how many times their mean demand short calls have slots kept for, as
	// they don't come evenly.
	keptTimes = 2
)

// demand is how many slots calls have asked for lately.
type demand struct {
	// work is what has come, in seconds, with what came earlier counting less.
	work float64
	// at is when a call came last.
	at time.Time
}

// add takes in a call that is expected to run for so long.
func (d *demand) add(expected time.Duration, now time.Time) {
	d.work = d.faded(now) + expected.Seconds()
	d.at = now
}

// slots returns how many slots the calls have in use at once, on average.
func (d *demand) slots(now time.Time) float64 { return d.faded(now) / demandOver.Seconds() }

func (d *demand) faded(now time.Time) float64 {
	return d.work * math.Exp(-now.Sub(d.at).Seconds()/demandOver.Seconds())
}
