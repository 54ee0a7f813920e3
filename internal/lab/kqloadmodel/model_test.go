package kqloadmodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqloadmodel"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	capacity = 900.0
	seed     = 7
)

// scenario applies one load pattern to a model of six upstreams with six slots each,
// whose capacity is 900 calls of 40 ms a second, and returns the results.
type scenario func(m *kqloadmodel.Model) *kqloadmodel.Tally

// stream returns a stream whose calls take workMS and use a share of the capacity.
func stream(caller, route string, share, workMS float64, length time.Duration) kqloadmodel.Stream {
	return kqloadmodel.Stream{
		Caller: kqname.Caller(caller), Route: kqname.Route(route), Rate: share * capacity * 40 / workMS,
		DurationMS: float64(length.Milliseconds()), ServiceTimeMS: workMS, DeadlineMS: 2000,
	}
}

func runUntil(m *kqloadmodel.Model, d time.Duration) { m.RunUntil(time.UnixMilli(0).Add(d)) }

// runBothPolicies runs a scenario with kumquatgw's decisions and with the baseline's.
func runBothPolicies(t *testing.T, run scenario) (kumquatgw, baseline *kqloadmodel.Tally) {
	t.Helper()
	s := kqloadmodel.Settings{Upstreams: 6, Slots: 6, Entries: 6}
	kumquatgw = run(kqloadmodel.New(s, seed))
	s.Baseline = true
	return kumquatgw, run(kqloadmodel.New(s, seed))
}

// A burst of five times the usual load lasts 2 s, at 1.5 times the capacity. A
// queue that is too short refuses calls that could have been answered in time;
// every call must be answered in time.
func TestBurst(t *testing.T) {
	kumquatgw, baseline := runBothPolicies(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		m.AddStream(stream("a", "short", 0.3, 40, 12*time.Second))
		runUntil(m, 4*time.Second)
		m.AddStream(stream("a", "short", 1.2, 40, 2*time.Second))
		runUntil(m, 14*time.Second)
		return m.Tally()
	})
	if kumquatgw.InTimeShare() < 1 {
		t.Errorf("share of calls answered in time %.4f, want 1; refusals by reason %v", kumquatgw.InTimeShare(), kumquatgw.RefusalsByReason)
	}
	if baseline.InTimeShare() >= kumquatgw.InTimeShare() {
		t.Errorf("the baseline answers %.4f in time too, so the load does not show the difference", baseline.InTimeShare())
	}
}

// One caller of ten sends ten times as many calls as each of the others, and the
// total exceeds the capacity. In a single queue the other callers wait behind the
// hot caller's backlog and are refused; 95% of each one's calls must be in time.
func TestHotCaller(t *testing.T) {
	kumquatgw, baseline := runBothPolicies(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		for i := range 9 {
			m.AddStream(stream(fmt.Sprint(i), "short", 0.07, 40, 10*time.Second))
		}
		m.AddStream(stream("hot", "short", 0.7, 40, 10*time.Second))
		runUntil(m, 13*time.Second)
		return m.Tally()
	})
	lowestShare := func(tally *kqloadmodel.Tally) float64 {
		lowestShare := 1.0
		for name, g := range tally.Callers {
			if name != "hot" {
				lowestShare = min(lowestShare, g.InTimeShare())
			}
		}
		return lowestShare
	}
	if lowestShare(kumquatgw) < 0.95 {
		t.Errorf("the lowest share in time of a caller other than the hot one is %.3f, want at least 0.95", lowestShare(kumquatgw))
	}
	if lowestShare(baseline) >= 0.95 {
		t.Errorf("the baseline's lowest share in time is %.3f too, so the load does not show the difference", lowestShare(baseline))
	}
}

// One upstream of six becomes 20 times slower but still answers. Random selection
// keeps sending it a sixth of the calls, which wait or are lost; after 5 s latency
// and the share in time must be as with healthy upstreams.
func TestSlowUpstream(t *testing.T) {
	kumquatgw, baseline := runBothPolicies(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		m.AddStream(stream("a", "short", 0.5, 40, 16*time.Second))
		runUntil(m, 5*time.Second)
		m.ScaleServiceTime(0, 20)
		runUntil(m, 10*time.Second)
		m.ResetTally()
		runUntil(m, 18*time.Second)
		return m.Tally()
	})
	const maxP99 = 100 * time.Millisecond
	if p99 := kumquatgw.Latency.ValueAtQuantile(99); p99 > maxP99.Microseconds() || kumquatgw.InTimeShare() < 0.999 {
		t.Errorf("from 5 s after the slowdown, p99 is %d us and the share in time is %.4f, want at most 100 ms and at least 0.999", p99, kumquatgw.InTimeShare())
	}
	if baseline.InTimeShare() >= 0.999 {
		t.Errorf("the baseline answers %.4f in time too, so the load does not show the difference", baseline.InTimeShare())
	}
}

// Jobs 15 times as long are mixed with short calls. When jobs occupy every slot, a
// short call waits until a job ends; the short calls' p99 must stay within about 3
// times the 40 ms that one takes alone, and 99% of the jobs must be done in time.
func TestLongJobs(t *testing.T) {
	kumquatgw, baseline := runBothPolicies(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		m.AddStream(stream("a", "short", 0.25, 40, 15*time.Second))
		m.AddStream(stream("b", "long", 0.4, 600, 15*time.Second))
		runUntil(m, 5*time.Second)
		m.ResetTally()
		runUntil(m, 18*time.Second)
		return m.Tally()
	})
	const maxP99 = 130 * time.Millisecond
	if p99 := kumquatgw.Routes["short"].Latency.ValueAtQuantile(99); p99 > maxP99.Microseconds() {
		t.Errorf("p99 of the short calls is %d us, want at most 130 ms", p99)
	}
	if share := kumquatgw.Routes["long"].InTimeShare(); share < 0.99 {
		t.Errorf("share of long jobs done in time %.3f, want at least 0.99", share)
	}
	if p99 := baseline.Routes["short"].Latency.ValueAtQuantile(99); p99 <= maxP99.Microseconds() {
		t.Errorf("the baseline's p99 is %d us too, so the load does not show the difference", p99)
	}
}

// The load is three times the capacity for 10 s. Running calls past their deadline
// would starve those that could still be answered in time; goodput must be at least
// 90% of the capacity, and refusals must take at most 50 ms at p99.
func TestOverload(t *testing.T) {
	kumquatgw, _ := runBothPolicies(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		for i := range 10 {
			m.AddStream(stream(fmt.Sprint(i), "short", 0.3, 40, 10*time.Second))
		}
		runUntil(m, 13*time.Second)
		return m.Tally()
	})
	if float64(kumquatgw.InTime) < 0.9*capacity*10 || kumquatgw.Late > 0 || kumquatgw.Unknown > 0 {
		t.Errorf("%d calls in time, %d late, %d with unknown result, want at least 90%% of the capacity in time and no others", kumquatgw.InTime, kumquatgw.Late, kumquatgw.Unknown)
	}
	const maxRefusalP99 = 50 * time.Millisecond
	if p99 := kumquatgw.RefusalLatency.ValueAtQuantile(99); p99 > maxRefusalP99.Microseconds() {
		t.Errorf("p99 of refusals is %d us, want at most 50 ms; refusals by reason %v", p99, kumquatgw.RefusalsByReason)
	}
}
