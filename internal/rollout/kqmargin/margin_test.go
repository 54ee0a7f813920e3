package kqmargin_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqmargin"
)

const (
	spread = 0.35
	// low is the 25th percentile of calls on the servers that are not slow, less a
	// tenth or so for those that are.
	low = -0.67 * spread
)

// upstream is one whose calls take longer by offset, as a log.
func upstream(random *rand.Rand, offset float64, calls int) kqmargin.Upstream {
	u := kqmargin.Upstream{Lately: 5, Calls: float64(calls)}
	logs := make([]float64, calls)
	for i := range logs {
		logs[i] = offset + spread*random.NormFloat64()
		u.Sum += logs[i]
		u.Squares += logs[i] * logs[i]
	}
	slices.Sort(logs)
	u.Low = logs[calls/4]
	return u
}

func upstreams(random *rand.Rand, calls int, offsets ...float64) []kqmargin.Upstream {
	var list []kqmargin.Upstream
	for _, o := range offsets {
		list = append(list, upstream(random, o, calls))
	}
	return list
}

// Where all servers are alike, chance makes one upstream the slowest all the same.
// Were a new one allowed that, a version that is a third slower would be let pass
// until a thousand calls have told chance from servers.
func TestLikeServersAllowNextToNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	const plays = 500
	for range plays {
		sum += kqmargin.Of(upstreams(random, 20, 0, 0, 0, 0, 0, 0), upstreams(random, 20, 0), low)
	}
	if mean := sum / plays; mean > 0.05 {
		t.Errorf("a log of %.3f is allowed on average", mean)
	}
}

// One upstream of the new version stands on a server as slow as the slowest of the old
// version's. All that it is slower by must be allowed, or its version is blamed for it
// a little more with each tick.
func TestLoneUpstreamIsAllowedTheSlowestServer(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	slow := math.Log(2.2)
	got := kqmargin.Of(upstreams(random, 400, 0, 0, slow, 0, 0, slow), upstreams(random, 400, slow), low)
	// A third of the old version's calls are as slow.
	if want := slow * 2 / 3; math.Abs(got-want) > 0.08 {
		t.Errorf("a log of %.2f is allowed, want about %.2f", got, want)
	}
}

// The more upstreams the new version has, the less do their servers explain: a slow
// version must be found once it has some.
func TestMoreUpstreamsAreAllowedLess(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	slow := math.Log(2.2)
	old := upstreams(random, 400, 0, 0, slow, 0, 0, slow)
	before := math.Inf(1)
	for _, n := range []int{1, 3, 6, 12} {
		got := kqmargin.Of(old, upstreams(random, 400, slices.Repeat([]float64{slow}, n)...), low)
		if got >= before {
			t.Errorf("%d upstreams are allowed a log of %.2f, fewer of them %.2f", n, got, before)
		}
		before = got
	}
}

// Where hardly any calls have come, or one upstream alone is there to compare with,
// nothing is known of the servers; what is not a number would stop all judging.
func TestNothingKnownAllowsNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	one := upstreams(random, 1, 0)
	for name, got := range map[string]float64{
		"none": kqmargin.Of(nil, nil, low), "no new one": kqmargin.Of(upstreams(random, 10, 0, 1), nil, low),
		"one old one": kqmargin.Of(upstreams(random, 10, 1), one, low), "without calls": kqmargin.Of(make([]kqmargin.Upstream, 3), one, low),
	} {
		if got != 0 {
			t.Errorf("%s: a log of %v is allowed", name, got)
		}
	}
	if got := kqmargin.Of(upstreams(random, 1, 0, 0), one, low); math.IsNaN(got) || got < 0 {
		t.Errorf("after one call each, a log of %v is allowed", got)
	}
}

// Two calls in five of a version take eight times as long, on a quick server. Its mean
// is as slow as that of a slow server, but its quick calls are not; taken for a slow
// server, it was found after 122 to 203 calls instead of 35 to 45.
func TestSlownessOfSomeCallsIsNoServers(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	slow := math.Log(2.2)
	next := upstream(random, 0, 400)
	for range 266 {
		x := math.Log(8) + spread*random.NormFloat64()
		next.Calls++
		next.Sum += x
		next.Squares += x * x
	}
	// The 25th percentile of all is the 42nd of the quick ones.
	next.Low = -0.2 * spread
	got := kqmargin.Of(upstreams(random, 400, 0, 0, slow, 0, 0, slow), []kqmargin.Upstream{next}, low)
	if got > 0.25 {
		t.Errorf("a log of %.2f is allowed", got)
	}
}
