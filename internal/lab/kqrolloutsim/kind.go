package kqrolloutsim

const (
	// Noisy versions are good; latencies and failures of both versions vary
	// strongly over time.
	Noisy Kind = "good_noisy"
	// Cold versions are good but slow for 10 to 40 s after a start, and start from 10 s
	// before to 10 s after the rollout does.
	Cold Kind = "good_cold"
	// LowTraffic versions are good; the service gets only 2 to 20 calls a second.
	LowTraffic Kind = "good_low_traffic"
	// HerdRestarts versions are good; many upstreams of both versions
	// crash and restart at the same time.
	HerdRestarts Kind = "good_herd_restarts"
	// SlowDependency versions are good; a dependency of both versions is slow and
	// fails at times.
	SlowDependency Kind = "good_slow_dependency"

	// FailsAtOnce versions fail an additional 20 to 100% of calls from the start.
	FailsAtOnce Kind = "fails_at_once"
	// FailsLater versions regress at a random time between one minute (or half of the
	// window if that is shorter) and 95% of the window. They then fail an additional 20 to
	// 100% of calls or take 2 to 10 times as long; so do UnderLoad and OneRoute versions.
	FailsLater Kind = "fails_later"
	// UnderLoad versions regress while an upstream's load is at or above a threshold of 50
	// to 90% of its normal load.
	UnderLoad Kind = "under_load"
	// OneRoute versions have a regression on one route.
	OneRoute Kind = "one_route"
	// Slow13 versions take 1.3 times as long.
	Slow13 Kind = "slow_1.3"
	// Slow2 versions take twice as long.
	Slow2 Kind = "slow_2"
	// Slow10 versions take 10 times as long.
	Slow10 Kind = "slow_10"
	// Errors05 versions fail 0.5 percentage points more of their calls.
	Errors05 Kind = "errors_0.5"
	// Errors2 versions fail 2 percentage points more of their calls.
	Errors2 Kind = "errors_2"
	// Errors20 versions fail 20 percentage points more of their calls.
	Errors20 Kind = "errors_20"
	// Tail versions take 10 times as long for 2% of calls.
	Tail Kind = "latency_tail"
)

type (
	// Kind is the behaviour of a simulated new version.
	Kind string

	// effect is the change that a regression makes to calls.
	effect struct {
		// latencyFactor multiplies the latency; tail is the share of calls that take
		// tailFactor times as long; errorRate is the added share of failures.
		latencyFactor, tail, errorRate float64
	}
)

const tailFactor = 10

var (
	noEffect = effect{latencyFactor: 1}

	// Kinds lists all kinds in the order in which reports show them.
	Kinds = []Kind{
		Noisy, Cold, LowTraffic, HerdRestarts, SlowDependency,
		FailsAtOnce, FailsLater, UnderLoad, OneRoute, Slow13, Slow2, Slow10, Errors05, Errors2, Errors20, Tail,
	}

	fixedEffects = map[Kind]effect{
		Slow13:   {latencyFactor: 1.3},
		Slow2:    {latencyFactor: 2},
		Slow10:   {latencyFactor: 10},
		Errors05: {latencyFactor: 1, errorRate: 0.005},
		Errors2:  {latencyFactor: 1, errorRate: 0.02},
		Errors20: {latencyFactor: 1, errorRate: 0.2},
		Tail:     {latencyFactor: 1, tail: 0.02},
	}
)

// Good reports whether rollouts of the kind should finish.
func (k Kind) Good() bool {
	switch k {
	case Noisy, Cold, LowTraffic, HerdRestarts, SlowDependency:
		return true
	}
	return false
}
