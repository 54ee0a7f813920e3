package kqmargin_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqmargin"
)

const (
	// spread is the standard deviation of the log of a latency on one server.
	spread = 0.35
	// lowerQuartile is the log of the 25th percentile of calls on the servers that are not
	// slow. With the calls on slow servers included it would be higher by about a tenth.
	lowerQuartile = -0.67 * spread
)

// upstream returns an upstream whose calls take longer by offset, as a log.
func upstream(random *rand.Rand, offset float64, calls int) kqmargin.Upstream {
	u := kqmargin.Upstream{ComparedCalls: 5, Calls: float64(calls)}
	logs := make([]float64, calls)
	for i := range logs {
		logs[i] = offset + spread*random.NormFloat64()
		u.LogSum += logs[i]
		u.LogSquares += logs[i] * logs[i]
	}
	slices.Sort(logs)
	u.LowerQuartile = logs[calls/4]
	return u
}

func upstreams(random *rand.Rand, calls int, offsets ...float64) []kqmargin.Upstream {
	var list []kqmargin.Upstream
	for _, o := range offsets {
		list = append(list, upstream(random, o, calls))
	}
	return list
}

// Guards against a large margin where all servers are alike, since some upstream is
// always the slowest by chance. With such a margin, a version that is a third slower
// would be kept for a thousand calls, until chance and servers could be told apart.
func TestEqualServersAllowNextToNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	const runs = 500
	for range runs {
		sum += kqmargin.Allowed(upstreams(random, 20, 0, 0, 0, 0, 0, 0), upstreams(random, 20, 0), lowerQuartile)
	}
	if mean := sum / runs; mean > 0.05 {
		t.Errorf("a margin of %.3f, as a log, is allowed on average", mean)
	}
}

// Checks that an upstream of the new version on a server as slow as the slowest of the old
// version's may be as slow as that. Otherwise evidence against the version would grow with
// each tick.
func TestLoneUpstreamIsAllowedTheSlowestServer(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	slow := math.Log(2.2)
	got := kqmargin.Allowed(upstreams(random, 400, 0, 0, slow, 0, 0, slow), upstreams(random, 400, slow), lowerQuartile)
	// A third of the old version's calls are as slow.
	if want := slow * 2 / 3; math.Abs(got-want) > 0.08 {
		t.Errorf("a margin of %.2f, as a log, is allowed, want about %.2f", got, want)
	}
}

// Checks that the margin decreases with the number of the new version's upstreams, since
// their servers explain less: a slow version must be detected once it has several.
func TestMoreUpstreamsAreAllowedLess(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	slow := math.Log(2.2)
	old := upstreams(random, 400, 0, 0, slow, 0, 0, slow)
	before := math.Inf(1)
	for _, n := range []int{1, 3, 6, 12} {
		got := kqmargin.Allowed(old, upstreams(random, 400, slices.Repeat([]float64{slow}, n)...), lowerQuartile)
		if got >= before {
			t.Errorf("%d upstreams are allowed a margin of %.2f, as a log, fewer of them %.2f", n, got, before)
		}
		before = got
	}
}

// Checks that nothing is allowed if a version has no calls or the old one has only one
// upstream, and that one call for each upstream gives no NaN, which would disable the
// statistical tests of kqverdict.
func TestTooLittleDataAllowsNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	one := upstreams(random, 1, 0)
	for name, got := range map[string]float64{
		"none": kqmargin.Allowed(nil, nil, lowerQuartile), "no new one": kqmargin.Allowed(upstreams(random, 10, 0, 1), nil, lowerQuartile),
		"one old one": kqmargin.Allowed(upstreams(random, 10, 1), one, lowerQuartile), "without calls": kqmargin.Allowed(make([]kqmargin.Upstream, 3), one, lowerQuartile),
	} {
		if got != 0 {
			t.Errorf("%s: a margin of %v is allowed, want 0", name, got)
		}
	}
	if got := kqmargin.Allowed(upstreams(random, 1, 0, 0), one, lowerQuartile); math.IsNaN(got) || got < 0 {
		t.Errorf("after one call each, a margin of %v is allowed", got)
	}
}

// Guards against a version on a fast server whose calls take eight times as long in two of
// five cases. Its mean is as slow as on a slow server, but its fast calls are not. Mistaken
// for one on a slow server, it was detected after 122 to 203 calls instead of 35 to 45.
func TestPartialSlownessIsNotMistakenForSlowServer(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	slow := math.Log(2.2)
	next := upstream(random, 0, 400)
	for range 266 {
		x := math.Log(8) + spread*random.NormFloat64()
		next.Calls++
		next.LogSum += x
		next.LogSquares += x * x
	}
	// The 25th percentile of all calls is the 42nd percentile of the fast ones.
	next.LowerQuartile = -0.2 * spread
	got := kqmargin.Allowed(upstreams(random, 400, 0, 0, slow, 0, 0, slow), []kqmargin.Upstream{next}, lowerQuartile)
	if got > 0.25 {
		t.Errorf("a margin of %.2f, as a log, is allowed", got)
	}
}
