package kqrateshare

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// arrivalTime is the time constant over which calls a second are averaged. It smooths
	// reports that come every 500 ms from each node.
	arrivalTime = 750 * time.Millisecond
	// reportTime is the usual time between two reports of a node.
	reportTime = 500 * time.Millisecond
	// levelTime is the time in which a bucket's level is to be used up, and debtTime the one in
	// which its debt is to be paid. Debt is paid faster, since it means that the rate is being
	// exceeded.
	levelTime = time.Second
	debtTime  = 800 * time.Millisecond
	// maxDebtTime is the time whose calls a bucket owes at most.
	maxDebtTime = 5 * time.Second
	// returnShare is the part of the rate that refused callers return at, one after the other.
	// Rates are some 1.6 times the usual load, which takes most of the rest.
	returnShare = 0.3
	// maxWait bounds the time after which refused callers return. Those that would have to
	// wait for longer return in the second half of it.
	maxWait = 30 * time.Second
	// learnTime is for how long a shard has no answers after its first report. Every node has
	// reported by then; before, no workspace would seem to be limited.
	learnTime = 600 * time.Millisecond
	// idleCredit is after how many seconds of the whole rate the bucket of a workspace without
	// calls is dropped. A new one starts with what the shard has filled since it began.
	idleCredit = 60.0
)

type (
	// Workspace identifies a workspace by the hash of its name.
	Workspace uint64

	// Counts are the calls of a workspace at a node that arrived and that were admitted.
	Counts struct{ Arrived, Admitted int64 }

	// Report is what a node tells about the workspaces of a shard. Portion is the node's part
	// of each rate, from 0 to 1, and Covered the time in which the counts arose.
	Report struct {
		Portion float64
		Covered time.Duration
		Counts  map[Workspace]Counts
	}

	// Use is what a coordinator knows of a workspace, in calls a second.
	Use struct {
		Arrived, Admitted float64
		Answer            kqadmission.Answer
	}

	// Shard holds the buckets of the workspaces of one shard at its coordinator. It is not
	// safe for concurrent use.
	Shard struct {
		lenders map[kqname.Node]lender
		// credit is the time of whole rates that reports have brought, in seconds.
		credit  float64
		buckets map[Workspace]*bucket
		// lent is the sum of the portions at the last report or look, 1 at most.
		lent       float64
		reportedAt time.Time
		// began is the time of the first report since the shard was created or reset.
		began time.Time
	}

	lender struct {
		portion  float64
		reported time.Time
	}

	bucket struct {
		level float64
		// filled is the shard's credit when the bucket was last filled.
		filled float64
		// arrived and admitted are calls a second, as of the time seen.
		arrived, admitted float64
		seen              time.Time
		// refused is the number of refused calls that have not had the time to return.
		refused float64
	}
)

// New returns a shard whose buckets are empty.
func New() *Shard {
	return &Shard{lenders: make(map[kqname.Node]lender), buckets: make(map[Workspace]*bucket)}
}

// Record adds a node's report. limit returns the limit of a workspace, and false if it has none;
// Record returns the reported workspaces that have none.
func (s *Shard) Record(from kqname.Node, r Report, limit func(Workspace) (kqadmission.Limit, bool), now time.Time) []Workspace {
	s.expire(now)
	if len(s.lenders) == 0 {
		s.reset(now)
	}
	s.reportedAt = now
	covered := min(max(r.Covered, 0), kqadmission.FreshFor)
	if last, ok := s.lenders[from]; ok {
		// After a lost answer a node reports the same time again.
		covered = min(covered, max(now.Sub(last.reported), 0))
	}
	portion := min(max(r.Portion, 0), 1)
	s.lenders[from] = lender{portion: portion, reported: now}
	sum := s.sumPortions()
	// Nodes whose views of the membership differ may lend more than the whole.
	s.credit += portion * covered.Seconds() / max(sum, 1)
	s.lent = min(sum, 1)
	var unknown []Workspace
	for w, c := range r.Counts {
		l, ok := limit(w)
		if !ok {
			unknown = append(unknown, w)
			continue
		}
		b := s.bucket(w)
		s.fill(b, l)
		b.count(c, r.Covered, now)
		b.level = max(b.level-float64(c.Admitted), -l.PerSecond*maxDebtTime.Seconds())
	}
	return unknown
}

// reset empties the buckets after a time without reports, in which another coordinator may have
// given out the burst. Debt is kept for as long as a window lasts.
func (s *Shard) reset(now time.Time) {
	s.credit, s.began = 0, now
	for w, b := range s.buckets {
		if b.level >= 0 || now.Sub(s.reportedAt) > maxDebtTime {
			delete(s.buckets, w)
		}
		b.filled = 0
	}
}

// IsLearning reports whether the shard has no answers yet.
func (s *Shard) IsLearning(now time.Time) bool { return now.Sub(s.began) < learnTime }

// expire removes the portions whose time has passed.
func (s *Shard) expire(now time.Time) {
	for n, l := range s.lenders {
		if now.Sub(l.reported) > kqadmission.FreshFor {
			delete(s.lenders, n)
		}
	}
}

func (s *Shard) sumPortions() float64 {
	sum := 0.0
	for _, l := range s.lenders {
		sum += l.portion
	}
	return sum
}

func (s *Shard) bucket(w Workspace) *bucket {
	b, ok := s.buckets[w]
	if !ok {
		b = &bucket{}
		s.buckets[w] = b
	}
	return b
}

// fill brings a bucket up to the shard's credit.
func (s *Shard) fill(b *bucket, l kqadmission.Limit) {
	brought := l.PerSecond * (s.credit - b.filled)
	b.filled = s.credit
	b.level = min(b.level+brought, l.Depth()*s.lent)
	b.refused = max(b.refused-returnShare*brought, 0)
}

// count adds a node's counts to the calls a second.
func (b *bucket) count(c Counts, covered time.Duration, now time.Time) {
	b.decay(now)
	// Counts of a longer time than usual are older on average.
	weight := math.Exp(-max(covered-reportTime, 0).Seconds()/(2*arrivalTime.Seconds())) / arrivalTime.Seconds()
	b.arrived += max(float64(c.Arrived), 0) * weight
	b.admitted += max(float64(c.Admitted), 0) * weight
	b.refused += max(float64(c.Arrived-c.Admitted), 0)
}

func (b *bucket) decay(now time.Time) {
	if elapsed := now.Sub(b.seen); elapsed > 0 {
		left := math.Exp(-elapsed.Seconds() / arrivalTime.Seconds())
		b.arrived *= left
		b.admitted *= left
		b.seen = now
	}
}

// Use returns the calls and the answer of each workspace that has had calls lately.
func (s *Shard) Use(limit func(Workspace) (kqadmission.Limit, bool), now time.Time) map[Workspace]Use {
	s.expire(now)
	s.lent = min(s.sumPortions(), 1)
	list := make(map[Workspace]Use, len(s.buckets))
	for w, b := range s.buckets {
		l, ok := limit(w)
		if !ok || s.credit-b.filled > idleCredit {
			delete(s.buckets, w)
			continue
		}
		b.decay(now)
		// The bucket is filled lazily by its reports; a look must not count as one.
		seen := *b
		s.fill(&seen, l)
		list[w] = Use{Arrived: b.arrived, Admitted: b.admitted, Answer: s.answer(&seen, l)}
	}
	return list
}

// answer returns the share of calls to admit, and when refused callers may return.
func (s *Shard) answer(b *bucket, l kqadmission.Limit) kqadmission.Answer {
	rate := l.PerSecond * s.lent
	level := b.level + kqadmission.Slack*s.lent
	use := levelTime
	if level < 0 {
		use = debtTime
	}
	allowed := max(rate+level/use.Seconds(), 0)
	if allowed >= b.arrived {
		return kqadmission.Answer{Share: 1}
	}
	if rate <= 0 {
		return kqadmission.Answer{Wait: kqadmission.FreshFor, Spread: maxWait}
	}
	// Calls that are refused until the next answer return after those refused before.
	next := (b.arrived - allowed) * reportTime.Seconds()
	wait := b.refused / (returnShare * rate)
	if level < 0 {
		wait += debtTime.Seconds() - level/rate
	}
	spread := next / (returnShare * rate)
	if most := maxWait.Seconds(); wait+spread > most {
		wait = min(wait, most/2)
		spread = most - wait
	}
	return kqadmission.Answer{Share: allowed / b.arrived, Wait: seconds(wait), Spread: seconds(spread)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
