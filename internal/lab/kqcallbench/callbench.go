package kqcallbench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqopenloop"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	direct  = "direct"
	oneHop  = "one_hop"
	twoHops = "two_hops"

	service           = "store"
	rounds            = 3
	callerAddress     = "127.0.0.1"
	slots             = 512
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
)

type (
	// Bench measures each path at several rates.
	Bench struct {
		rates       []float64
		roundLength time.Duration
	}

	// Report is the results of a Bench.
	Report struct {
		Runs []Run `json:"runs"`
	}

	// Run is the results of one path at one rate. The load generator, the upstream
	// and the nodes share one process, so a node's cost is the difference to direct.
	Run struct {
		Path    string  `json:"path"`
		Rate    float64 `json:"rate"`
		Calls   int     `json:"calls"`
		Failed  int     `json:"failed"`
		Latency Latency `json:"latency_us"`
		// CallsPerSecondPerCore is the inverse of the CPU seconds per call: for
		// direct those of the whole process, for the other paths those above
		// direct's, divided by the number of nodes.
		CallsPerSecondPerCore float64 `json:"calls_per_second_per_core"`
		// CPU is the process's CPU time per call, in microseconds.
		CPU float64 `json:"process_cpu_us_per_call"`
		// AllocationsPerCall is the heap allocations of the whole process per call.
		AllocationsPerCall float64 `json:"allocations_per_call"`
	}

	// Latency holds the latency quantiles of the answered calls, in microseconds.
	Latency struct {
		P50  int64 `json:"p50"`
		P99  int64 `json:"p99"`
		P999 int64 `json:"p999"`
	}

	tally struct {
		histogram     *hdrhistogram.Histogram
		calls, failed int
		cpu           time.Duration
		allocations   uint64
	}
)

// New returns a bench that runs several rounds of roundLength for each path and
// rate. Rates are in calls per second.
func New(roundLength time.Duration, rates ...float64) *Bench {
	return &Bench{rates: rates, roundLength: roundLength}
}

// Run measures every path at every rate.
func (b *Bench) Run(ctx context.Context) (Report, error) {
	fleet := kqfleet.New()
	paths, err := startPaths(ctx, fleet)
	if err != nil {
		return Report{}, fmt.Errorf("start fleet: %w", err)
	}
	var report Report
	for i, rate := range b.rates {
		tallies := map[string]*tally{}
		for round := range rounds {
			for _, p := range []string{direct, oneHop, twoHops} {
				if tallies[p] == nil {
					tallies[p] = &tally{histogram: hdrhistogram.New(1, maxLatencyMicros, 3)}
				}
				tallies[p].measure(ctx, paths[p], uint64(i*rounds+round), rate, b.roundLength)
			}
		}
		report.Runs = append(report.Runs, summarize(rate, tallies)...)
	}
	if err := fleet.Close(); err != nil {
		return report, fmt.Errorf("stop fleet: %w", err)
	}
	return report, ctx.Err()
}

func startPaths(ctx context.Context, fleet *kqfleet.Fleet) (map[string]*kqopenloop.Generator, error) {
	back, err := fleet.Start(kqfleet.Spec{Node: "back", Domain: "one", Region: "one", Service: service, Version: "v1", Slots: slots})
	if err != nil {
		return nil, err
	}
	front, err := fleet.Start(kqfleet.Spec{Node: "front", Domain: "one", Region: "one"})
	if err != nil {
		return nil, err
	}
	_, err = kqcommit.New(fleet.Platform).Commit(ctx, kqcommit.Request{
		ID: "bench", Author: "bench", Reason: "bench", At: time.Now(),
		Document: kqdocument.Document{
			Teams:    []kqdocument.Team{{Name: "bench"}},
			Services: []kqdocument.Service{{Name: service, Team: "bench"}},
			Routes:   []kqdocument.Route{{Name: service, Team: "bench", Host: service, PathPrefix: "/", Service: service}},
		},
	})
	if err != nil {
		return nil, err
	}
	paths := map[string]*kqopenloop.Generator{
		direct:  kqopenloop.New(back.Upstream.Address()),
		oneHop:  kqopenloop.New(back.Node.EntryAddress()),
		twoHops: kqopenloop.New(front.Node.EntryAddress()),
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range paths {
		if err := waitForAnswer(ctx, p); err != nil {
			return nil, err
		}
	}
	return paths, nil
}

// waitForAnswer returns once a path has answered a call, which shows that its nodes
// have their configuration.
func waitForAnswer(ctx context.Context, g *kqopenloop.Generator) error {
	probe := []*kqopenloop.Stream{stream(time.Second/2, 4)}
	for {
		for _, s := range g.Run(ctx, 1, probe) {
			if s.Result == kqcall.Answered {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for an answer: %w", ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

func stream(length time.Duration, rate float64) *kqopenloop.Stream {
	return &kqopenloop.Stream{
		Caller: callerAddress, Class: "all", Host: service, Path: "/", Phases: []kqopenloop.Phase{{Length: length, Rate: rate}},
	}
}

func (t *tally) measure(ctx context.Context, g *kqopenloop.Generator, seed uint64, rate float64, length time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processCPUTime()
	samples := g.Run(ctx, seed, []*kqopenloop.Stream{stream(length, rate)})
	t.cpu += processCPUTime() - cpu
	runtime.ReadMemStats(&after)
	t.allocations += after.Mallocs - before.Mallocs
	for _, s := range samples {
		t.calls++
		if s.Result != kqcall.Answered {
			t.failed++
			continue
		}
		// RecordValue fails only above the histogram's bound of one minute, and calls
		// time out sooner.
		_ = t.histogram.RecordValue(s.Latency.Microseconds())
	}
}

func summarize(rate float64, tallies map[string]*tally) []Run {
	var runs []Run
	directCPUPerCall := tallies[direct].cpuSecondsPerCall()
	for _, p := range []struct {
		path  string
		nodes float64
	}{{direct, 0}, {oneHop, 1}, {twoHops, 2}} {
		t := tallies[p.path]
		cpuPerCall := t.cpuSecondsPerCall()
		if p.nodes > 0 {
			cpuPerCall = (cpuPerCall - directCPUPerCall) / p.nodes
		}
		runs = append(runs, Run{
			Path: p.path, Rate: rate, Calls: t.calls, Failed: t.failed,
			Latency: Latency{
				P50: t.histogram.ValueAtQuantile(50), P99: t.histogram.ValueAtQuantile(99), P999: t.histogram.ValueAtQuantile(99.9),
			},
			CallsPerSecondPerCore: 1 / cpuPerCall,
			CPU:                   t.cpuSecondsPerCall() * 1e6,
			AllocationsPerCall:    float64(t.allocations) / float64(max(t.calls, 1)),
		})
	}
	return runs
}

func (t *tally) cpuSecondsPerCall() float64 { return t.cpu.Seconds() / float64(max(t.calls, 1)) }

func processCPUTime() time.Duration {
	var u syscall.Rusage
	// Getrusage cannot fail for the calling process with a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
