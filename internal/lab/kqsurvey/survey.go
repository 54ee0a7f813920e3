package kqsurvey

import (
	"runtime"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqworld"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	defaultCount = 1000
	// smallShare leaves room for a second with some calls more than the mean.
	smallShare = 0.0505
)

type (
	// Survey plays rollouts; Run makes the report.
	Survey struct {
		seed    uint64
		count   int
		workers int
		kinds   []kqworld.Kind
	}

	// Option sets up a Survey.
	Option func(*Survey)

	// Report is what all rollouts came to.
	Report struct {
		Seed     uint64   `json:"seed"`
		Policies []Policy `json:"policies"`
	}

	// Policy is what one decider made of one policy's rollouts.
	Policy struct {
		Policy  kqname.Policy `json:"policy"`
		Decider string        `json:"decider"`
		Good    int           `json:"good"`
		// GoodOnTime and BadTakenBack are shares, from 0 to 1.
		GoodOnTime   float64 `json:"good_on_time"`
		Bad          int     `json:"bad"`
		BadTakenBack float64 `json:"bad_taken_back"`
		// BadShareMax is the largest share of traffic that a version had
		// while it was bad; versions that turn bad later are left out, since
		// they had earned it.
		BadShareMax float64 `json:"bad_share_max"`
		// SecondsAfterShowing is the 99th percentile of the seconds from when
		// the informed test was sure to no traffic.
		SecondsAfterShowing float64 `json:"seconds_after_showing_p99"`
		Kinds               []Kind  `json:"kinds"`
	}

	// Kind is what one decider made of one kind of version.
	Kind struct {
		Kind  kqworld.Kind `json:"kind"`
		Count int          `json:"count"`
		// Right is the share, from 0 to 1, that ended as they should.
		Right float64 `json:"right"`

		// ShareMax and the seconds and calls after showing are for the table.
		ShareMax float64 `json:"-"`
		// Over is how many had more than 5% of the traffic while they were bad.
		Over       int     `json:"-"`
		SecondsP99 float64 `json:"-"`
		CallsP99   float64 `json:"-"`
	}
)

// WithCount sets how many rollouts each policy gets.
func WithCount(n int) Option { return func(s *Survey) { s.count = n } }

// WithWorkers sets how many rollouts are played at a time.
func WithWorkers(n int) Option { return func(s *Survey) { s.workers = max(n, 1) } }

// New returns a survey of 1,000 rollouts a policy, spread evenly over all kinds.
func New(seed uint64, options ...Option) *Survey {
	s := &Survey{seed: seed, count: defaultCount, workers: min(4, runtime.GOMAXPROCS(0)), kinds: kqworld.Kinds}
	for _, o := range options {
		o(s)
	}
	return s
}

// Run plays all rollouts. Equal seeds give equal reports.
func (s *Survey) Run() Report {
	report := Report{Seed: s.seed}
	for _, p := range []struct {
		name   kqname.Policy
		prefer kqdocument.Preference
	}{{"finishing-first", kqdocument.PreferFinishing}, {"taking-back-first", kqdocument.PreferTakingBack}} {
		ours, limit, baseline := s.play(p.prefer)
		report.Policies = append(report.Policies,
			s.sum(p.name, "kumquatgw", ours), s.sum(p.name, "baseline", baseline), s.sum(p.name, "limit", limit))
	}
	return report
}

func (s *Survey) play(prefer kqdocument.Preference) (ours, limit, baseline []result) {
	ours, limit, baseline = make([]result, s.count), make([]result, s.count), make([]result, s.count)
	workers := pool.New().WithMaxGoroutines(s.workers)
	for i := range s.count {
		workers.Go(func() {
			kind := s.kinds[i%len(s.kinds)]
			ours[i], limit[i] = play(kqworld.New(kind, s.seed, uint64(i)), prefer)
			baseline[i] = playBaseline(kqworld.New(kind, s.seed, uint64(i)), prefer)
		})
	}
	workers.Wait()
	return ours, limit, baseline
}

func (s *Survey) sum(policy kqname.Policy, decider string, results []result) Policy {
	p := Policy{Policy: policy, Decider: decider}
	var seconds []float64
	for _, k := range s.kinds {
		one := Kind{Kind: k}
		var kindSeconds, kindCalls []float64
		for _, r := range results {
			if r.kind != k {
				continue
			}
			one.Count++
			if r.right {
				one.Right++
			}
			one.ShareMax = max(one.ShareMax, r.share)
			if r.share > smallShare {
				one.Over++
			}
			kindSeconds = append(kindSeconds, r.seconds)
			kindCalls = append(kindCalls, r.calls)
		}
		p.add(k, one)
		one.Right /= float64(max(one.Count, 1))
		one.SecondsP99, one.CallsP99 = percentile(kindSeconds), percentile(kindCalls)
		p.Kinds = append(p.Kinds, one)
		if !k.Good() {
			seconds = append(seconds, kindSeconds...)
		}
	}
	p.GoodOnTime /= float64(max(p.Good, 1))
	p.BadTakenBack /= float64(max(p.Bad, 1))
	p.SecondsAfterShowing = percentile(seconds)
	return p
}

func (p *Policy) add(k kqworld.Kind, one Kind) {
	if k.Good() {
		p.Good += one.Count
		p.GoodOnTime += one.Right
		return
	}
	p.Bad += one.Count
	p.BadTakenBack += one.Right
	if k != kqworld.FailsLater {
		p.BadShareMax = max(p.BadShareMax, one.ShareMax)
	}
}

func percentile(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)*99/100, len(values)-1)]
}
