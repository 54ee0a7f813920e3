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

// play runs the five patterns' loads on six upstreams of six slots and 40 ms and
// returns what callers received from the time that each pattern is judged at.
type play func(m *kqloadmodel.Model) *kqloadmodel.Tally

func stream(caller, route string, share, workMS float64, length time.Duration) kqloadmodel.Stream {
	return kqloadmodel.Stream{
		Caller: kqname.Caller(caller), Route: kqname.Route(route), Rate: share * capacity * 40 / workMS,
		ForMS: float64(length.Milliseconds()), WorkMS: workMS, DeadlineMS: 2000,
	}
}

func at(m *kqloadmodel.Model, d time.Duration) { m.Run(time.UnixMilli(0).Add(d)) }

func both(t *testing.T, p play) (with, baseline *kqloadmodel.Tally) {
	t.Helper()
	s := kqloadmodel.Settings{Upstreams: 6, Slots: 6, Entries: 6}
	with = p(kqloadmodel.New(s, seed))
	s.Baseline = true
	return with, p(kqloadmodel.New(s, seed))
}

// A busy quarter of a minute brings five times the usual calls for 2 s, half as
// many again as the upstreams can answer. With a short queue callers are turned
// away who could have been answered in time; nobody may be.
func TestBurst(t *testing.T) {
	with, baseline := both(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		m.Offer(stream("a", "short", 0.3, 40, 12*time.Second))
		at(m, 4*time.Second)
		m.Offer(stream("a", "short", 1.2, 40, 2*time.Second))
		at(m, 14*time.Second)
		return m.Tally()
	})
	if with.Share() < 1 {
		t.Errorf("%.4f of the calls were answered in time, want all; refused %v", with.Share(), with.Refused)
	}
	if baseline.Share() >= with.Share() {
		t.Errorf("the baseline's share is %.4f too: the load proves nothing", baseline.Share())
	}
}

// One caller of ten sends ten times its share, and all together more than there
// is room for. In one line the others wait behind its backlog and are refused in
// its place; whoever keeps to its share must not notice.
func TestHotCaller(t *testing.T) {
	with, baseline := both(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		for i := range 9 {
			m.Offer(stream(fmt.Sprint(i), "short", 0.07, 40, 10*time.Second))
		}
		m.Offer(stream("hot", "short", 0.7, 40, 10*time.Second))
		at(m, 13*time.Second)
		return m.Tally()
	})
	least := func(tally *kqloadmodel.Tally) float64 {
		least := 1.0
		for name, g := range tally.Callers {
			if name != "hot" {
				least = min(least, g.Share())
			}
		}
		return least
	}
	if least(with) < 0.95 {
		t.Errorf("a caller had only %.3f of its calls in time", least(with))
	}
	if least(baseline) >= 0.95 {
		t.Errorf("the baseline's least is %.3f too: the load proves nothing", least(baseline))
	}
}

// One upstream of six becomes 20 times slower and still answers. A random
// choice leaves it a sixth of the calls, and each of those waits or is lost;
// after 5 s callers must not notice it any more.
func TestSlowUpstream(t *testing.T) {
	with, baseline := both(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		m.Offer(stream("a", "short", 0.5, 40, 16*time.Second))
		at(m, 5*time.Second)
		m.Slow(0, 20)
		at(m, 10*time.Second)
		m.Mark()
		at(m, 18*time.Second)
		return m.Tally()
	})
	const twiceHealthy = 100 * time.Millisecond
	if p99 := with.Took.ValueAtQuantile(99); p99 > twiceHealthy.Microseconds() || with.Share() < 0.999 {
		t.Errorf("p99 is %d us and %.4f in time after 5 s", p99, with.Share())
	}
	if baseline.Share() >= 0.999 {
		t.Errorf("the baseline's share is %.4f too: the load proves nothing", baseline.Share())
	}
}

// Jobs 15 times as long come among short calls. They take every slot now and
// then, and a short call waits for as long as a job lasts; short calls must stay
// within 3 times of what they take alone, and the jobs must still be done.
func TestLongJobs(t *testing.T) {
	with, baseline := both(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		m.Offer(stream("a", "short", 0.25, 40, 15*time.Second))
		m.Offer(stream("b", "long", 0.4, 600, 15*time.Second))
		at(m, 5*time.Second)
		m.Mark()
		at(m, 18*time.Second)
		return m.Tally()
	})
	const threeTimes = 130 * time.Millisecond
	if p99 := with.Routes["short"].Took.ValueAtQuantile(99); p99 > threeTimes.Microseconds() {
		t.Errorf("short calls' p99 is %d us", p99)
	}
	if share := with.Routes["long"].Share(); share < 0.99 {
		t.Errorf("%.3f of the long jobs were done in time", share)
	}
	if p99 := baseline.Routes["short"].Took.ValueAtQuantile(99); p99 <= threeTimes.Microseconds() {
		t.Errorf("the baseline's p99 is %d us too: the load proves nothing", p99)
	}
}

// Three times as many calls come as can be answered, for 10 s. Work on calls
// whose callers have given up would starve those that could still be answered;
// nine tenths of the capacity must go to answers in time, and whoever is refused
// must hear of it at once.
func TestOverload(t *testing.T) {
	with, _ := both(t, func(m *kqloadmodel.Model) *kqloadmodel.Tally {
		for i := range 10 {
			m.Offer(stream(fmt.Sprint(i), "short", 0.3, 40, 10*time.Second))
		}
		at(m, 13*time.Second)
		return m.Tally()
	})
	if float64(with.InTime) < 0.9*capacity*10 || with.Late > 0 || with.Unknown > 0 {
		t.Errorf("%d in time, %d late, %d unknown", with.InTime, with.Late, with.Unknown)
	}
	const atOnce = 50 * time.Millisecond
	if p99 := with.Refusals.ValueAtQuantile(99); p99 > atOnce.Microseconds() {
		t.Errorf("refusals took %d us at p99: %v", p99, with.Refused)
	}
}
