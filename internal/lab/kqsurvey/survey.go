package kqsurvey

import (
	"runtime"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrolloutsim"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	defaultRollouts = 1000
	// maxSmallShare is the bound of 5% on kqplan.Plan.SmallShare, the new version's share
	// of traffic in a rollout's first step, with a tolerance for rounding errors in shares
	// that are computed from call rates.
	maxSmallShare = 0.0505
)

type (
	// Survey simulates rollouts of all kinds; Run returns the report.
	Survey struct {
		seed    uint64
		count   int
		workers int
		kinds   []kqrolloutsim.Kind
	}

	// Option configures a Survey.
	Option func(*Survey)

	// Report is the results of all rollouts.
	Report struct {
		Seed     uint64   `json:"seed"`
		Policies []Policy `json:"policies"`
	}

	// Policy is the results of one decider under one policy. Decider is "kumquatgw",
	// "baseline" or, for the oracle, "limit". Good and Bad are the numbers of rollouts of
	// good and of bad versions. For "limit", the figures about a bad version's traffic,
	// here and in Kind, are always 0.
	Policy struct {
		Policy  kqname.Policy `json:"policy"`
		Decider string        `json:"decider"`
		Good    int           `json:"good"`
		// GoodOnTimeShare and BadRolledBackShare are shares, from 0 to 1.
		GoodOnTimeShare    float64 `json:"good_on_time"`
		Bad                int     `json:"bad"`
		BadRolledBackShare float64 `json:"bad_taken_back"`
		// BadShareMax is the largest share of traffic that a version had
		// while it was bad. FailsLater versions are left out, since their share
		// had grown while they were good.
		BadShareMax float64 `json:"bad_share_max"`
		// SecondsAfterDetection is the 99th percentile of the time, in seconds, that
		// bad versions with an active regression still had traffic after the oracle had
		// detected it.
		SecondsAfterDetection float64 `json:"seconds_after_showing_p99"`
		Kinds                 []Kind  `json:"kinds"`
	}

	// Kind is the results of one decider for one kind of version.
	Kind struct {
		Kind  kqrolloutsim.Kind `json:"kind"`
		Count int               `json:"count"`
		// CorrectShare is the share of rollouts, from 0 to 1, with the correct end.
		CorrectShare float64 `json:"right"`

		// ShareMax is the largest share of traffic that a version had while it was
		// bad. SecondsP99 and CallsP99 count ticks and calls with an active regression
		// after the oracle's detection. These fields appear only in the printed table.
		ShareMax float64 `json:"-"`
		// OverShareBound counts the versions that had more than maxSmallShare of the
		// traffic while they were bad.
		OverShareBound int     `json:"-"`
		SecondsP99     float64 `json:"-"`
		CallsP99       float64 `json:"-"`
	}
)

// WithCount sets the number of rollouts per policy.
func WithCount(n int) Option { return func(s *Survey) { s.count = n } }

// WithWorkers sets how many rollouts are simulated concurrently.
func WithWorkers(n int) Option { return func(s *Survey) { s.workers = max(n, 1) } }

// New returns a survey of 1,000 rollouts per policy, distributed evenly over all
// kinds.
func New(seed uint64, options ...Option) *Survey {
	s := &Survey{seed: seed, count: defaultRollouts, workers: min(4, runtime.GOMAXPROCS(0)), kinds: kqrolloutsim.Kinds}
	for _, o := range options {
		o(s)
	}
	return s
}

// Run simulates all rollouts. Equal seeds give equal reports.
func (s *Survey) Run() Report {
	report := Report{Seed: s.seed}
	for _, p := range []struct {
		name   kqname.Policy
		prefer kqdocument.Preference
	}{{"finishing-first", kqdocument.PreferFinishing}, {"taking-back-first", kqdocument.PreferTakingBack}} {
		actual, oracle, baseline := s.simulate(p.prefer)
		report.Policies = append(report.Policies,
			s.summarize(p.name, "kumquatgw", actual), s.summarize(p.name, "baseline", baseline), s.summarize(p.name, "limit", oracle))
	}
	return report
}

// simulate runs every rollout with each decider. Rollout i is the same for all of them.
func (s *Survey) simulate(prefer kqdocument.Preference) (actual, oracle, baseline []result) {
	actual, oracle, baseline = make([]result, s.count), make([]result, s.count), make([]result, s.count)
	workers := pool.New().WithMaxGoroutines(s.workers)
	for i := range s.count {
		workers.Go(func() {
			kind := s.kinds[i%len(s.kinds)]
			actual[i], oracle[i] = simulate(kqrolloutsim.New(kind, s.seed, uint64(i)), prefer)
			baseline[i] = simulateBaseline(kqrolloutsim.New(kind, s.seed, uint64(i)), prefer)
		})
	}
	workers.Wait()
	return actual, oracle, baseline
}

func (s *Survey) summarize(policy kqname.Policy, decider string, results []result) Policy {
	p := Policy{Policy: policy, Decider: decider}
	var badSeconds []float64
	for _, k := range s.kinds {
		summary := Kind{Kind: k}
		var kindSeconds, kindCalls []float64
		for _, r := range results {
			if r.kind != k {
				continue
			}
			summary.Count++
			if r.correct {
				summary.CorrectShare++
			}
			summary.ShareMax = max(summary.ShareMax, r.maxBadShare)
			if r.maxBadShare > maxSmallShare {
				summary.OverShareBound++
			}
			kindSeconds = append(kindSeconds, r.badSeconds)
			kindCalls = append(kindCalls, r.badCalls)
		}
		p.addKind(k, summary)
		summary.CorrectShare /= float64(max(summary.Count, 1))
		summary.SecondsP99, summary.CallsP99 = p99(kindSeconds), p99(kindCalls)
		p.Kinds = append(p.Kinds, summary)
		if !k.Good() {
			badSeconds = append(badSeconds, kindSeconds...)
		}
	}
	p.GoodOnTimeShare /= float64(max(p.Good, 1))
	p.BadRolledBackShare /= float64(max(p.Bad, 1))
	p.SecondsAfterDetection = p99(badSeconds)
	return p
}

func (p *Policy) addKind(k kqrolloutsim.Kind, summary Kind) {
	if k.Good() {
		p.Good += summary.Count
		p.GoodOnTimeShare += summary.CorrectShare
		return
	}
	p.Bad += summary.Count
	p.BadRolledBackShare += summary.CorrectShare
	if k != kqrolloutsim.FailsLater {
		p.BadShareMax = max(p.BadShareMax, summary.ShareMax)
	}
}

// p99 returns the 99th percentile of the values, which it sorts, or 0 without values.
func p99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)*99/100, len(values)-1)]
}
