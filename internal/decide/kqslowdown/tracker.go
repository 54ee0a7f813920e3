package kqslowdown

import (
	"math"
	"time"
)

const (
	// Period is how long a slowdown usually lasts. A report is fresh for as long.
	Period = 600 * time.Millisecond

	// maxSlowdown bounds what is believed, so that an upstream that reports a slowdown
	// without having one loses a few calls only.
	maxSlowdown = 4.0
	// noticeable is the slowdown from which on durations tell whether it is real: work of
	// the same route varies by some 15%.
	noticeable = 1.3
	// sameRatio is the ratio of two reports up to which they belong to one period.
	sameRatio = 1.15
	// maxPeriods is how many past periods are kept, to tell the slowdown during a call.
	maxPeriods = 8
	// doubtDivisor is the inverse weight of a call in the doubt about the reports.
	doubtDivisor = 8
)

type (
	// Tracker keeps the slowdown of one upstream. The zero value is ready to use and has no
	// slowdown. It is not safe for concurrent use.
	Tracker struct {
		periods []period
		// slowSince is when the reports began to state a noticeable slowdown.
		slowSince time.Time
		// doubt is how much less than stated the slowdown lengthens calls: the believed
		// slowdown is the stated one to the power of 1-doubt.
		doubt float64
	}

	// period is a time in which the reports stated about the same slowdown. lastReport is
	// the latest of them.
	period struct {
		since, lastReport time.Time
		stated            float64
	}
)

// Report records that the upstream states the slowdown, 0 if it states none. A slowdown
// below 1 counts as 1: an upstream that claims to be fast must not attract calls by it.
func (k *Tracker) Report(slowdown float64, now time.Time) {
	if !(slowdown > 0) {
		return
	}
	stated := min(max(slowdown, 1), maxSlowdown)
	last := len(k.periods) - 1
	fresh := last >= 0 && now.Sub(k.periods[last].lastReport) < Period
	if stated >= noticeable && (!fresh || k.periods[last].stated < noticeable) {
		k.slowSince = now
	}
	if fresh && stated <= k.periods[last].stated*sameRatio && k.periods[last].stated <= stated*sameRatio {
		k.periods[last].lastReport, k.periods[last].stated = now, stated
		return
	}
	if len(k.periods) == maxPeriods {
		k.periods = append(k.periods[:0], k.periods[1:]...)
	}
	k.periods = append(k.periods, period{since: now, lastReport: now, stated: stated})
}

// Current returns the slowdown that is believed now and whether there is a fresh report,
// without which it is 1.
func (k *Tracker) Current(now time.Time) (slowdown float64, fresh bool) {
	last := len(k.periods) - 1
	if last < 0 || now.Sub(k.periods[last].lastReport) >= Period {
		return 1, false
	}
	return k.believe(k.periods[last].stated), true
}

// Stretch returns how long work that usually takes the given time is expected to take from
// now on. The slowdown is expected to last until the usual period is over and, if that has
// lasted longer already, for half as long again.
func (k *Tracker) Stretch(work time.Duration, now time.Time) time.Duration {
	slowdown, _ := k.Current(now)
	if slowdown == 1 {
		return work
	}
	elapsed := now.Sub(k.slowSince)
	left := max(Period-elapsed, elapsed/2)
	if slowed := time.Duration(float64(work) * slowdown); slowed <= left {
		return slowed
	}
	return work + time.Duration(float64(left)*(1-1/slowdown))
}

// Normalize returns how long a call would have taken at usual speed that took the given time
// until now. usual is the present estimate of that, 0 if there is none. If the slowdown
// changed during the call, the result is the possible value nearest to the estimate, since
// it is unknown how much of the work was slow.
func (k *Tracker) Normalize(took, usual time.Duration, now time.Time) time.Duration {
	low, high := k.during(now.Add(-took), now)
	if high == 1 {
		return took
	}
	if usual > 0 && low >= noticeable {
		k.judge(float64(took)/float64(usual), low, high)
	}
	shortest := time.Duration(float64(took) / k.believe(high))
	longest := time.Duration(float64(took) / k.believe(low))
	if usual == 0 {
		return longest
	}
	return min(max(usual, shortest), longest)
}

// judge compares how many times longer than usual a call took with the slowdown stated
// during it, which was between low and high.
func (k *Tracker) judge(ratio, low, high float64) {
	stated := min(max(ratio, low), high)
	share := min(max(math.Log(max(ratio, 1))/math.Log(stated), 0), 1)
	k.doubt += (1 - share - k.doubt) / doubtDivisor
}

// during returns the least and the greatest slowdown stated in a time, 1 without a fresh
// report.
func (k *Tracker) during(from, to time.Time) (low, high float64) {
	low, high = math.Inf(1), 1.0
	covered := false
	for i, p := range k.periods {
		end := p.lastReport.Add(Period)
		if i+1 < len(k.periods) && k.periods[i+1].since.Before(end) {
			end = k.periods[i+1].since
		}
		if end.Before(from) || p.since.After(to) {
			continue
		}
		covered = covered || !p.since.After(from)
		low, high = min(low, p.stated), max(high, p.stated)
	}
	if !covered {
		low = 1
	}
	return low, high
}

// believe returns what is believed of a stated slowdown.
func (k *Tracker) believe(stated float64) float64 {
	if k.doubt == 0 || stated == 1 {
		return stated
	}
	return math.Pow(stated, 1-k.doubt)
}
