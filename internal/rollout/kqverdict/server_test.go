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
	// slowServer is how many times as long a call takes on one server in three.
	slowServer = 2.2
	// typicalCall and callSpread, the standard deviation of the log, are of the
	// calls on the other servers.
	typicalCall = 100 * time.Millisecond
	callSpread  = 0.35
	// ticks of a rollout of 13 s, of which its small share lasts for a third, and
	// what a gate counts in one.
	smallTicks, callsEachTick = 35, 5
	plays                     = 100
)

// version makes one call's time out of what the old version would need.
type version func(usual time.Duration, random *rand.Rand) time.Duration

func asBefore(usual time.Duration, _ *rand.Rand) time.Duration { return usual }

func allSlower(factor float64) version {
	return func(usual time.Duration, _ *rand.Rand) time.Duration {
		return time.Duration(factor * float64(usual))
	}
}

func someSlower(share, factor float64) version {
	return func(usual time.Duration, random *rand.Rand) time.Duration {
		if random.Float64() < share {
			return time.Duration(factor * float64(usual))
		}
		return usual
	}
}

// fleet is the gates of a service, each beside its server: those of the old version
// on the servers given, and those of the new one.
type fleet struct {
	random     *rand.Rand
	gates      []*kqledger.Ledger
	servers    []float64
	oldest     int
	next       version
	collecting *kqledger.Ledger
	judge      *kqverdict.Judge
}

func newFleet(seed uint64, old, next []float64, v version) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), servers: append(append([]float64{}, old...), next...),
		oldest: len(old), next: v, collecting: kqledger.New(kqledger.Source{Node: "collector"}), judge: kqverdict.New(),
	}
	for i := range f.servers {
		f.gates = append(f.gates, kqledger.New(kqledger.Source{Node: kqname.Node(fmt.Sprintf("n%d", i))}))
	}
	return f
}

// tick plays one tick. A gate on a slow server gets fewer calls, as its slots are
// free less often.
func (f *fleet) tick() kqverdict.Finding {
	for i, gate := range f.gates {
		calls := callsEachTick
		if f.servers[i] > 1 {
			calls = callsEachTick/2 + f.random.IntN(2)
		}
		for range calls {
			took := time.Duration(f.servers[i] * float64(typicalCall) * math.Exp(callSpread*f.random.NormFloat64()))
			if i >= f.oldest {
				took = f.next(took, f.random)
			}
			gate.Count("route", func(r *kqledger.Row) { r.Of(i >= f.oldest).Count(took, false) })
		}
		if r, ok := gate.Report(); ok {
			f.collecting.Merge(r)
		}
	}
	f.judge.Observe(f.collecting.Take())
	return f.judge.Finding()
}

// takenBack plays the small share and returns after how many calls of the new
// version it was taken back, and for what; false where it was kept.
func (f *fleet) takenBack() (kqverdict.Finding, bool) {
	plan := kqplan.Plan{Duration: 15 * time.Second}
	for range smallTicks {
		if finding := f.tick(); kqstep.Bad(plan, finding) {
			return finding, true
		}
	}
	return kqverdict.Finding{}, false
}

var mixedServers = []float64{1, 1, slowServer, 1, 1, slowServer}

// Of six upstreams two stand on servers where every call takes 2.2 times as long.
// The small share of a new version, as fast as the old one, goes to one upstream, on
// such a server. Compared with all calls of the old version it was twice as slow, and
// was taken back after 33 to 52 calls, beyond all doubt as it seemed. The operators
// then stopped its upstreams, old ones had left, and half of a service's callers were
// turned away for the rest of the day. What differs by server is no fault of a
// version: the old version's own upstreams differ as much.
func TestNewVersionIsNotBlamedForASlowServer(t *testing.T) {
	wrong, last := 0, kqverdict.Finding{}
	for seed := range uint64(plays) {
		if f, back := newFleet(seed, mixedServers, []float64{slowServer}, asBefore).takenBack(); back {
			wrong, last = wrong+1, f
		}
	}
	if wrong > plays/50 {
		t.Errorf("%d of %d good versions were taken back, such as: %s", wrong, plays, kqstep.Words(last))
	}
}

// A version that is really far slower must still be found among servers that differ,
// on whichever its first upstream stands: all that its callers get would else be late
// for as long as it has the small share, and more of them after it.
func TestFarSlowerVersionIsFoundOnAnyServer(t *testing.T) {
	const enough = 80
	for name, v := range map[string]version{"a third of calls 8 times": someSlower(0.36, 8), "all calls 8 times": allSlower(8), "all calls 5 times": allSlower(5)} {
		for _, server := range []float64{1, slowServer} {
			kept := 0
			for seed := range uint64(plays) {
				if f, back := newFleet(seed, mixedServers, []float64{server}, v).takenBack(); !back || f.Calls > enough {
					kept++
				}
			}
			if kept > plays/20 {
				t.Errorf("%s slower, on a server of %.1f: %d of %d were kept for over %d calls", name, server, kept, plays, enough)
			}
		}
	}
}

// The calls of a version that is twice as slow, once it has several upstreams, are
// slower than any draw of servers explains.
func TestTwiceAsSlowVersionIsFoundOnSeveralServers(t *testing.T) {
	kept := 0
	for seed := range uint64(plays) {
		if _, back := newFleet(seed, mixedServers, []float64{1, slowServer, 1, 1}, allSlower(2)).takenBack(); !back {
			kept++
		}
	}
	if kept > plays/20 {
		t.Errorf("%d of %d were kept", kept, plays)
	}
}

// Where all servers are alike, a lone upstream that is twice as slow is so for its
// version's sake, and is found as before.
func TestTwiceAsSlowVersionIsFoundAmongLikeServers(t *testing.T) {
	kept := 0
	for seed := range uint64(plays) {
		if _, back := newFleet(seed, []float64{1, 1, 1, 1, 1, 1}, []float64{1}, allSlower(2)).takenBack(); !back {
			kept++
		}
	}
	if kept > plays/20 {
		t.Errorf("%d of %d were kept", kept, plays)
	}
}
