package kqworld

const (
	// Noisy versions are good; latencies and failures of both versions vary a
	// lot from second to second.
	Noisy Kind = "good_noisy"
	// Cold versions are good, and slow for up to 40 s after a start.
	Cold Kind = "good_cold"
	// LowTraffic versions are good and get few calls.
	LowTraffic Kind = "good_low_traffic"
	// HerdRestarts versions are good; upstreams of both versions die in herds.
	HerdRestarts Kind = "good_herd_restarts"
	// SlowDependency versions are good; what both versions call is slow and
	// failing at times.
	SlowDependency Kind = "good_slow_dependency"

	// FailsAtOnce versions fail 20 to 100% of calls.
	FailsAtOnce Kind = "fails_at_once"
	// FailsLater versions turn bad after minutes.
	FailsLater Kind = "fails_later"
	// UnderLoad versions are bad once an upstream has half to nine tenths of
	// its normal load.
	UnderLoad Kind = "under_load"
	// OneRoute versions are bad on one route.
	OneRoute Kind = "one_route"
	// Slow13 versions take 1.3 times as long.
	Slow13 Kind = "slow_1.3"
	// Slow2 versions take twice as long.
	Slow2 Kind = "slow_2"
	// Slow10 versions take 10 times as long.
	Slow10 Kind = "slow_10"
	// Errors05 versions fail 0.5 points more of their calls.
	Errors05 Kind = "errors_0.5"
	// Errors2 versions fail 2 points more.
	Errors2 Kind = "errors_2"
	// Errors20 versions fail 20 points more.
	Errors20 Kind = "errors_20"
	// Tail versions take 10 times as long for 2 calls in 100.
	Tail Kind = "latency_tail"
)

type (
	// Kind names what a new version is like.
	Kind string

	// effect is what badness does to a call.
	effect struct {
		// factor multiplies the latency; tail is the share of calls that take
		// tailFactor times as long; errors is the added share of failures.
		factor, tail, errors float64
	}
)

const tailFactor = 10

var (
	none = effect{factor: 1}

	// Kinds are all kinds, in the order of reports.
	Kinds = []Kind{
		Noisy, Cold, LowTraffic, HerdRestarts, SlowDependency,
		FailsAtOnce, FailsLater, UnderLoad, OneRoute, Slow13, Slow2, Slow10, Errors05, Errors2, Errors20, Tail,
	}

	fixed = map[Kind]effect{
		Slow13:   {factor: 1.3},
		Slow2:    {factor: 2},
		Slow10:   {factor: 10},
		Errors05: {factor: 1, errors: 0.005},
		Errors2:  {factor: 1, errors: 0.02},
		Errors20: {factor: 1, errors: 0.2},
		Tail:     {factor: 1, tail: 0.02},
	}
)

// Good reports whether versions of the kind should be kept.
func (k Kind) Good() bool {
	switch k {
	case Noisy, Cold, LowTraffic, HerdRestarts, SlowDependency:
		return true
	}
	return false
}
