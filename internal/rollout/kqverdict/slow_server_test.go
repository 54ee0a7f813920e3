package kqverdict_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// slowServer is the factor by which calls take longer on a slow server, one of three.
	slowServer = 2.2
	// typicalCall is the median latency on the other servers, and callSpread the
	// standard deviation of its log.
	typicalCall = 100 * time.Millisecond
	callSpread  = 0.35
	// smallShareTicks is the number of ticks at the small share, about a third of a
	// rollout's window of 100 ticks (13.5 s for a duration of 15 s), and callsPerGate the
	// number of calls that a gate counts per tick.
	smallShareTicks, callsPerGate = 35, 5
	runs                          = 100
)

// versionLatency returns a call's latency, given that of the old version.
type versionLatency func(old time.Duration, random *rand.Rand) time.Duration

func unchanged(old time.Duration, _ *rand.Rand) time.Duration { return old }

func allSlower(factor float64) versionLatency {
	return func(old time.Duration, _ *rand.Rand) time.Duration {
		return time.Duration(factor * float64(old))
	}
}

func someSlower(share, factor float64) versionLatency {
	return func(old time.Duration, random *rand.Rand) time.Duration {
		if random.Float64() < share {
			return time.Duration(factor * float64(old))
		}
		return old
	}
}

// fleet is the upstreams of a service, each with the ledger of its gate and the
// latency factor of its server. The first oldCount run the old version; next returns the
// latencies of the others, which run the new one.
type fleet struct {
	random        *rand.Rand
	gates         []*kqledger.Ledger
	serverFactors []float64
	oldCount      int
	next          versionLatency
	collector     *kqledger.Ledger
	evaluator     *kqverdict.Evaluator
}

// newFleet returns a fleet whose upstreams have the server factors old and, with the new
// version, next. The new version has the latency v.
func newFleet(seed uint64, old, next []float64, v versionLatency) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), serverFactors: append(append([]float64{}, old...), next...),
		oldCount: len(old), next: v, collector: kqledger.New(kqledger.Source{Node: "collector"}), evaluator: kqverdict.New(),
	}
	for i := range f.serverFactors {
		f.gates = append(f.gates, kqledger.New(kqledger.Source{Node: kqname.Node(fmt.Sprintf("n%d", i))}))
	}
	return f
}

// tick simulates one tick. A gate on a slow server gets fewer calls, since its slots
// are free less often.
func (f *fleet) tick() kqverdict.Finding {
	for i, gate := range f.gates {
		calls := callsPerGate
		if f.serverFactors[i] > 1 {
			calls = callsPerGate/2 + f.random.IntN(2)
		}
		for range calls {
			took := time.Duration(f.serverFactors[i] * float64(typicalCall) * math.Exp(callSpread*f.random.NormFloat64()))
			if i >= f.oldCount {
				took = f.next(took, f.random)
			}
			gate.Count("route", func(r *kqledger.Row) { r.CellOf(i >= f.oldCount).Count(took, false) })
		}
		if r, ok := gate.Report(); ok {
			f.collector.Merge(r)
		}
	}
	f.evaluator.Observe(f.collector.Take())
	return f.evaluator.Finding()
}

// runSmallShare simulates the ticks at the small share. It returns the finding on which
// the new version was rolled back, or false if it was kept.
func (f *fleet) runSmallShare() (kqverdict.Finding, bool) {
	plan := kqplan.Plan{Duration: 15 * time.Second}
	for range smallShareTicks {
		if finding := f.tick(); kqstep.IsBad(plan, finding) {
			return finding, true
		}
	}
	return kqverdict.Finding{}, false
}

var mixedServers = []float64{1, 1, slowServer, 1, 1, slowServer}

// Guards against the rollback of a good version whose only upstream runs on a slow
// server, as two of six upstreams of the old version do, where every call takes 2.2 times
// as long. Compared with all calls of the old version it looked twice as slow, and was
// rolled back after 33 to 52 calls. The rollback stopped the new version's upstreams when
// some of the old version's were already gone, and half of the service's callers were
// rejected.
func TestGoodVersionOnSlowServerIsKept(t *testing.T) {
	rollbacks, last := 0, kqverdict.Finding{}
	for seed := range uint64(runs) {
		if f, rolledBack := newFleet(seed, mixedServers, []float64{slowServer}, unchanged).runSmallShare(); rolledBack {
			rollbacks, last = rollbacks+1, f
		}
	}
	if rollbacks > runs/50 {
		t.Errorf("%d of %d good versions were rolled back, such as: %s", rollbacks, runs, kqstep.Describe(last))
	}
}

// Guards against a far slower version that is mistaken for a slow server: it must be
// detected on a slow and on a fast server. Its callers would otherwise be slowed down for
// as long as it has the small share, and more of them at the later steps.
func TestFarSlowerVersionIsDetectedOnAnyServer(t *testing.T) {
	const maxCalls = 80
	for name, v := range map[string]versionLatency{"a third of calls 8 times": someSlower(0.36, 8), "all calls 8 times": allSlower(8), "all calls 5 times": allSlower(5)} {
		for _, server := range []float64{1, slowServer} {
			missed := 0
			for seed := range uint64(runs) {
				if f, rolledBack := newFleet(seed, mixedServers, []float64{server}, v).runSmallShare(); !rolledBack || f.Calls > maxCalls {
					missed++
				}
			}
			if missed > runs/20 {
				t.Errorf("%s slower, on a server of factor %.1f: %d of %d were kept for over %d calls", name, server, missed, runs, maxCalls)
			}
		}
	}
}

// Checks that a version that is twice as slow is detected once it has several upstreams:
// its calls are then slower than the choice of servers can explain.
func TestTwiceAsSlowVersionIsDetectedOnSeveralServers(t *testing.T) {
	missed := 0
	for seed := range uint64(runs) {
		if _, rolledBack := newFleet(seed, mixedServers, []float64{1, slowServer, 1, 1}, allSlower(2)).runSmallShare(); !rolledBack {
			missed++
		}
	}
	if missed > runs/20 {
		t.Errorf("%d of %d versions that are twice as slow were kept", missed, runs)
	}
}

// Checks that a version that is twice as slow is detected on a single upstream if all
// servers are equally fast.
func TestTwiceAsSlowVersionIsDetectedOnEqualServers(t *testing.T) {
	missed := 0
	for seed := range uint64(runs) {
		if _, rolledBack := newFleet(seed, []float64{1, 1, 1, 1, 1, 1}, []float64{1}, allSlower(2)).runSmallShare(); !rolledBack {
			missed++
		}
	}
	if missed > runs/20 {
		t.Errorf("%d of %d versions that are twice as slow were kept", missed, runs)
	}
}
