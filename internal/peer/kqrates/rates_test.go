package kqrates_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "6"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func usual(w kqdocument.Workspace) float64 { return w.RatePerS / 1.6 }

// Guards against a workspace that gets more than its rate through faults: in each window of 5 s
// it may get (rate x 5 + burst) x 1.1 + 20 calls, whatever happens to nodes and network.
func TestRateHoldsThroughFaults(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{3, 12, 40, 89}).Draw(t, "nodes")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), nodes, zipfWorkspaces(87))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.05}).Draw(t, "lost")
		s.lateRate = rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "late")
		if rapid.Bool().Draw(t, "few callers") {
			s.callers = s.callers[:max(nodes/8, 1)]
		}
		flooder := rapid.IntRange(0, 86).Draw(t, "flooder")
		floodAt := 8*time.Second + time.Duration(rapid.IntRange(0, 8000).Draw(t, "flood at ms"))*time.Millisecond
		over := rapid.SampledFrom([]float64{1, 2.5}).Draw(t, "load")
		for i := range s.workspaces {
			w := &s.workspaces[i]
			s.demand(w, 30*time.Second, func(now time.Duration) float64 {
				if i == flooder && now >= floodAt && now < floodAt+6*time.Second {
					return 7.5 * usual(*w)
				}
				return over * usual(*w)
			})
		}
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			at := 6*time.Second + time.Duration(rapid.IntRange(0, 14000).Draw(t, "at ms"))*time.Millisecond
			length := time.Duration(rapid.IntRange(200, 8000).Draw(t, "length ms")) * time.Millisecond
			kind := rapid.SampledFrom([]string{"partition", "kill all", "kill some", "freeze", "freeze all"}).Draw(t, "kind")
			parts := rapid.IntRange(2, 4).Draw(t, "parts")
			s.at(at, func() { s.fault(kind, parts, length) })
		}
		s.runUntil(30 * time.Second)
		for _, w := range s.workspaces {
			part, at := s.worstWindow(w)
			worst = max(worst, part)
			if part > 1 {
				t.Errorf("%s with rate %.1f admitted %.0f in the window until %v, allowed %.0f", w.Name, w.RatePerS, part*bound(w), at, bound(w))
			}
		}
	})
	t.Logf("worst window: %.2f of its bound", worst)
}

// fault makes a fault begin now and end after some time.
func (s *simulation) fault(kind string, parts int, length time.Duration) {
	switch kind {
	case "partition":
		if s.killedAt > 0 && s.now-s.killedAt < 5*time.Second {
			// The same: nodes that have just started know only their side.
			return
		}
		for i := range s.group {
			s.group[i] = s.random.IntN(parts)
		}
		s.at(s.now+length, func() { clear(s.group) })
	case "kill all":
		if slices.Max(s.group) > 0 {
			// Nobody is left who knows how many nodes are on the other side.
			return
		}
		s.killedAt = s.now
		for _, n := range s.nodes {
			s.kill(n, 100*time.Millisecond+time.Duration(s.random.Int64N(int64(time.Second))))
		}
	default:
		for _, n := range s.nodes {
			switch chosen := s.random.IntN(parts) == 0; {
			case kind == "freeze all" || chosen && kind == "freeze":
				n.frozenUntil = s.now + length
			case chosen:
				s.kill(n, length)
			}
		}
	}
}

// Guards against a rate that cannot be used: while more is asked, 0.9 of it must be, also 2 s
// after all callers have moved to other nodes.
func TestRateIsUsedWhileMoreIsAsked(t *testing.T) {
	s := newSimulation(1, 89, zipfWorkspaces(87))
	all := s.callers
	s.callers = all[:45]
	for i := range s.workspaces {
		w := &s.workspaces[i]
		s.demand(w, 70*time.Second, func(time.Duration) float64 { return 2 * w.RatePerS })
	}
	s.at(38*time.Second, func() { s.callers = all[45:] })
	s.runUntil(70 * time.Second)
	for _, span := range [][2]time.Duration{{8 * time.Second, 38 * time.Second}, {40 * time.Second, 45 * time.Second}, {40 * time.Second, 70 * time.Second}} {
		least, which := 1.0, kqname.Workspace("")
		for _, w := range s.workspaces {
			if (span[1]-span[0]).Seconds()*w.RatePerS < 85 {
				// A few calls more or less are a tenth.
				continue
			}
			used := float64(countBetween(s.admitted[w.Name], span[0], span[1])) / (w.RatePerS * (span[1] - span[0]).Seconds())
			if used < least {
				least, which = used, w.Name
			}
		}
		t.Logf("from %v to %v: %.3f of the rate is used at least", span[0], span[1], least)
		if least < 0.9 {
			t.Errorf("%s used %.2f of its rate from %v to %v", which, least, span[0], span[1])
		}
	}
}

// Guards against calls that are refused although the workspace keeps to its rate: nothing may be
// refused at 0.62 of the rate, also when all callers move.
func TestNothingIsRefusedWithinTheRate(t *testing.T) {
	s := newSimulation(1, 89, zipfWorkspaces(87))
	s.runUntil(6 * time.Second)
	for i := range s.workspaces {
		w := &s.workspaces[i]
		s.demand(w, 60*time.Second, func(time.Duration) float64 { return 0.62 * w.RatePerS })
	}
	all := s.callers
	for i := range 9 {
		s.at(time.Duration(10+5*i)*time.Second, func() { s.callers = all[i*9 : i*9+max(1, 9-i)] })
	}
	s.runUntil(60 * time.Second)
	for w, refused := range s.refused {
		t.Errorf("%s: %d of %d calls refused, first at %v", w, len(refused), len(refused)+len(s.admitted[w]), refused[0])
	}
}

// Guards against a Retry-After that leads to another refusal, or that lets all callers return at
// once: after a burst of 2 s at 7.5 times the usual load, nearly all refused calls that come back
// when they were told must be admitted.
func TestRetryAfterLeadsToCapacity(t *testing.T) {
	s := newSimulation(1, 89, zipfWorkspaces(87))
	s.runUntil(6 * time.Second)
	w := &s.workspaces[5]
	s.demand(w, 40*time.Second, func(now time.Duration) float64 {
		if now >= 10*time.Second && now < 12*time.Second {
			return 7.5 * usual(*w)
		}
		return usual(*w)
	})
	returned, admitted := 0, 0
	// Nobody can know how long a burst lasts; calls that come back into it do not count.
	var longest time.Duration
	s.onRefusal = func(w *kqdocument.Workspace, retryAfter time.Duration) {
		longest = max(longest, retryAfter)
		s.at(s.now+retryAfter, func() {
			allowed := s.call(w)
			if s.now < 12*time.Second {
				return
			}
			returned++
			if allowed {
				admitted++
			}
		})
	}
	s.runUntil(40 * time.Second)
	t.Logf("%d of %d returning calls admitted, longest delay %v", admitted, returned, longest)
	if returned == 0 || float64(admitted) < 0.9*float64(returned) {
		t.Errorf("%d of %d returning calls admitted", admitted, returned)
	}
}

// Guards against a lowered rate that does not bind: one window after the version, the new rate
// must hold, and 0.9 of it be used.
func TestLoweredRateBinds(t *testing.T) {
	s := newSimulation(1, 89, zipfWorkspaces(20))
	for i := range s.workspaces {
		w := s.workspaces[i]
		s.demand(&w, 40*time.Second, func(time.Duration) float64 { return 1.5 * w.RatePerS })
	}
	const lowered = 12 * time.Second
	s.at(lowered, func() {
		s.workspaces = slices.Clone(s.workspaces)
		for i := range s.workspaces {
			s.workspaces[i].RatePerS /= 5
			s.workspaces[i].Burst /= 5
		}
	})
	s.runUntil(40 * time.Second)
	for _, w := range s.workspaces {
		s.admitted[w.Name] = slices.DeleteFunc(s.admitted[w.Name], func(at time.Duration) bool { return at < lowered+2500*time.Millisecond })
		if part, at := s.worstWindow(w); part > 1 {
			t.Errorf("%s admitted %.2f of its bound in the window until %v", w.Name, part, at)
		}
		if used := float64(countBetween(s.admitted[w.Name], 20*time.Second, 40*time.Second)) / (20 * w.RatePerS); w.RatePerS > 4 && used < 0.9 {
			t.Errorf("%s used %.2f of its lowered rate", w.Name, used)
		}
	}
}

// Guards against the loss of all coordinators that lets calls within the rate fail: at 0.62 of
// the rate, next to none may be refused while all coordinators are killed, three times.
func TestCoordinatorsDieWithinTheRate(t *testing.T) {
	s := newSimulation(1, 89, zipfWorkspaces(87))
	s.runUntil(6 * time.Second)
	for i := range s.workspaces {
		w := &s.workspaces[i]
		s.demand(w, 40*time.Second, func(time.Duration) float64 { return 0.62 * w.RatePerS })
	}
	for i := range 3 {
		s.at(time.Duration(10+8*i)*time.Second, func() {
			for n, at := range s.asked {
				if s.now-at < time.Second {
					s.kill(n, 3*time.Second)
				}
			}
		})
	}
	s.runUntil(40 * time.Second)
	refused, all := 0, 0
	for _, w := range s.workspaces {
		refused += len(s.refused[w.Name])
		all += len(s.refused[w.Name]) + len(s.admitted[w.Name])
	}
	t.Logf("%d of %d calls refused", refused, all)
	if refused*100 > all {
		t.Errorf("%d of %d calls refused", refused, all)
	}
}
