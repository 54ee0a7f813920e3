package kqadmission

import (
	"math"
	"time"
)

const (
	// ByAnswer means that the coordinator's last answer decided.
	ByAnswer Basis = iota
	// ByGrace means that reports fail, and the node's recent rate bounds its calls too.
	ByGrace
	// ByPortion means that the node has no answer, and admits by its own portion of the rate.
	ByPortion

	// FreshFor is the age up to which an answer counts as current, and for how long a report
	// lends the node's portion of the rates to the coordinator.
	FreshFor = 1500 * time.Millisecond
	// GraceFor is how much older the answer may be until only the own portion is left.
	GraceFor = 2 * time.Second
	// Slack is the number of calls that the buckets of whole rates hold beyond the burst. The
	// coordinator sees calls up to 500 ms late, so that calls within a small rate would seem
	// to be beyond it.
	Slack = 4.0

	// graceFactor times its recent rate is what a node admits while reports fail, and beyond
	// it one call, since most nodes get few calls of a workspace, the calls of graceTime and
	// the node's portion of the burst and the slack.
	graceFactor = 2.0
	graceTime   = 500 * time.Millisecond
	// leastDepthTime is the time whose calls a bucket holds at least.
	leastDepthTime = 250 * time.Millisecond
	// maxDebtTime is the time whose calls a node that falls back to its own portion owes at
	// most. It is the window over which the rate is kept.
	maxDebtTime = 5 * time.Second
	// recentWeight is the weight of the newest report in the recent rate, which makes it an
	// average over about 2 s.
	recentWeight = 0.25
	// maxGrowth times the recent rate, and 1 a second, is what a report counts with at most.
	// A flood would else raise the rate that bounds it while reports fail.
	maxGrowth = 2.0
	// urgentCalls is how many calls beyond twice the recent rate make a report urgent. At a
	// steady rate fewer than one report in 500 has as many.
	urgentCalls = 3.0
	// leastWait and mostWait bound the delay that refused callers are given.
	leastWait = 250 * time.Millisecond
	mostWait  = 30 * time.Second
)

type (
	// Basis is what a decision rests on.
	Basis uint8

	// Limit is the rate of a workspace over all nodes, in calls a second, and how many calls
	// beyond it are allowed at once.
	Limit struct{ PerSecond, Burst float64 }

	// Answer is a coordinator's word on one workspace: the share of calls to admit, from 0 to
	// 1, and if that is below 1 the time until there is capacity for refused calls and the time
	// after that over which they must spread.
	Answer struct {
		Share        float64
		Wait, Spread time.Duration
	}

	// Link is what a node knows of the coordinator of a workspace. AnsweredAt is when the
	// last answered report was sent, zero if there was none, Failing is set while later
	// reports fail, and Portion is the node's part of the rate, from 0 to 1.
	Link struct {
		AnsweredAt time.Time
		Failing    bool
		Portion    float64
	}

	// Random is a source of numbers from 0 up to 1.
	Random interface{ Float64() float64 }

	// Verdict is the decision about a call. RetryAfter is set if it is refused.
	Verdict struct {
		Allowed    bool
		Basis      Basis
		RetryAfter time.Duration
	}

	// Admission decides about the calls of one workspace at one node, and counts them for
	// the reports. It is not safe for concurrent use.
	Admission struct {
		answer Answer
		// unknown is set if the coordinator does not know the workspace.
		unknown bool
		// whole is a bucket of the whole rate, grace of the recent rate while reports fail,
		// and portion of the own part while there is no answer.
		whole, grace, portion bucket
		inPortion             bool
		// recent is the rate of admitted calls until the last answer, in calls a second.
		recent float64
		// arrived and admitted count the calls that no answered report has told.
		arrived, admitted float64
	}
)

// Depth returns how many calls the limit allows at once.
func (l Limit) Depth() float64 {
	return max(l.Burst, l.PerSecond*leastDepthTime.Seconds(), 1)
}

// Basis returns what decisions rest on at the time now.
func (l Link) Basis(now time.Time) Basis {
	age := now.Sub(l.AnsweredAt)
	switch {
	case l.AnsweredAt.IsZero() || age > FreshFor+GraceFor:
		return ByPortion
	case l.Failing || age > FreshFor:
		return ByGrace
	default:
		return ByAnswer
	}
}

// New returns the admission of a workspace.
func New(l Limit, now time.Time) *Admission {
	full := bucket{level: l.Depth() + Slack, filledAt: now}
	return &Admission{answer: Answer{Share: 1}, whole: full, grace: full, portion: bucket{filledAt: now}}
}

// Admit counts a call and decides about it.
func (a *Admission) Admit(l Limit, k Link, random Random, now time.Time) Verdict {
	a.arrived++
	a.whole.fill(l.PerSecond, l.Depth()+Slack, now)
	basis := k.Basis(now)
	if a.unknown {
		basis = ByPortion
	}
	if basis == ByPortion {
		return a.admitByPortion(l, k, random, now)
	}
	a.inPortion = false
	if random.Float64() >= a.answer.Share {
		return Verdict{Basis: basis, RetryAfter: spread(a.answer.Wait, a.answer.Spread, random)}
	}
	if basis == ByGrace && !a.takeGrace(l, k, now) {
		return Verdict{Basis: basis, RetryAfter: spread(FreshFor, FreshFor, random)}
	}
	if !a.whole.take() {
		return Verdict{Basis: basis, RetryAfter: spread(perCall(1-a.whole.level, l.PerSecond), time.Second, random)}
	}
	a.admitted++
	return Verdict{Allowed: true, Basis: basis}
}

// takeGrace takes a token of the recent rate. The bucket is not filled up by an answer, so that
// reports which fail every now and then allow no more calls than ones that fail for long.
func (a *Admission) takeGrace(l Limit, k Link, now time.Time) bool {
	rate := graceFactor * a.recent
	a.grace.fill(rate, 1+rate*graceTime.Seconds()+(l.Depth()+Slack)*k.Portion, now)
	return a.grace.take()
}

// admitByPortion decides by the node's own portion. Its bucket starts without a burst, and with
// what the node has admitted beyond its portion since the last answer as debt: a node that
// admits a flood while answers fail would otherwise never pay for it.
func (a *Admission) admitByPortion(l Limit, k Link, random Random, now time.Time) Verdict {
	rate := l.PerSecond * k.Portion
	if !a.inPortion {
		a.inPortion = true
		debt := 0.0
		if !k.AnsweredAt.IsZero() {
			debt = a.admitted - rate*now.Sub(k.AnsweredAt).Seconds()
		}
		a.portion = bucket{level: -min(max(debt, 0), rate*maxDebtTime.Seconds()), filledAt: now}
		a.admitted = 0
	}
	a.portion.fill(rate, l.Depth()*k.Portion, now)
	if !a.portion.takeRounded(random.Float64()) {
		return Verdict{Basis: ByPortion, RetryAfter: spread(perCall(1-a.portion.level, rate), time.Second, random)}
	}
	a.whole.level--
	return Verdict{Allowed: true, Basis: ByPortion}
}

// Return takes back the admission of a call that did not run.
func (a *Admission) Return() {
	a.whole.level++
	if a.inPortion {
		a.portion.level++
		return
	}
	a.arrived--
	a.admitted--
}

// Counts returns the calls that arrived and that were admitted since the last answered report.
// Calls admitted by the own portion are not among them. Either may be below 0 after Return.
func (a *Admission) Counts() (arrived, admitted int64) { return int64(a.arrived), int64(a.admitted) }

// Answered records the answer to a report of the counts, which covered the given time.
func (a *Admission) Answered(x Answer, arrived, admitted int64, covered time.Duration) {
	if covered > 0 && !a.inPortion {
		rate := max(float64(admitted), 0) / covered.Seconds()
		a.recent += recentWeight * (min(rate, maxGrowth*a.recent+1) - a.recent)
	}
	a.Reported(arrived, admitted)
	a.answer, a.unknown = x, false
}

// Reported records that a coordinator has counts which it cannot answer yet.
func (a *Admission) Reported(arrived, admitted int64) {
	a.arrived -= float64(arrived)
	a.admitted -= float64(admitted)
}

// IsUrgent reports whether so many more calls than usual were admitted since the given time, that
// of the last report, that the coordinator must know before the next report.
func (a *Admission) IsUrgent(reported, now time.Time) bool {
	if a.inPortion {
		return false
	}
	usual := maxGrowth * a.recent * now.Sub(reported).Seconds()
	return a.admitted > usual+urgentCalls
}

// SetUnknown records that the coordinator does not know the workspace or no rate of it.
func (a *Admission) SetUnknown() { a.unknown = true }

// Failed records that a report was not answered. While only the own portion counts, the calls
// that have arrived are forgotten, so that the next answer takes them for no flood.
func (a *Admission) Failed() {
	if a.inPortion {
		a.arrived = 0
	}
}

// IsIdle reports whether nothing is to be reported and the bucket of the whole rate is full.
func (a *Admission) IsIdle(l Limit, now time.Time) bool {
	a.whole.fill(l.PerSecond, l.Depth()+Slack, now)
	return a.arrived == 0 && a.admitted == 0 && !a.inPortion && a.whole.level >= l.Depth()+Slack
}

// Share returns the share of calls that the last answer admits.
func (a *Admission) Share() float64 { return a.answer.Share }

// perCall returns the time in which a rate brings that many calls.
func perCall(calls, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return mostWait
	}
	return time.Duration(min(max(calls, 0)/perSecond, mostWait.Seconds()) * float64(time.Second))
}

// spread returns a time from wait on within a span, so that refused callers do not return at the
// same time.
func spread(wait, span time.Duration, random Random) time.Duration {
	d := wait + time.Duration(random.Float64()*math.Max(float64(span), float64(leastWait)))
	return min(max(d, leastWait), mostWait)
}

// String returns the basis's name.
func (b Basis) String() string { return [...]string{"answer", "grace", "portion"}[min(b, ByPortion)] }
