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

	service   = "store"
	rounds    = 3
	caller    = "127.0.0.1"
	slots     = 512
	readyWait = 10 * time.Second
	readyPoll = 10 * time.Millisecond
	highest   = int64(time.Minute / time.Microsecond)
)

type (
	// Bench measures at some rates.
	Bench struct {
		rates []float64
		slice time.Duration
	}

	// Report is what was measured.
	Report struct {
		Runs []Run `json:"runs"`
	}

	// Run is one path at one rate. The load generator, the upstream and the
	// nodes share the process: what a node costs is the difference to direct.
	Run struct {
		Path    string  `json:"path"`
		Rate    float64 `json:"rate"`
		Calls   int     `json:"calls"`
		Failed  int     `json:"failed"`
		Latency Latency `json:"latency_us"`
		// CallsPerSecondPerCore is, for direct, the whole process's; for the
		// others, that of the nodes alone: one over the processor time per call
		// that is above direct's, and for two_hops per node.
		CallsPerSecondPerCore float64 `json:"calls_per_second_per_core"`
		// CPU is the process's time per call, in microseconds.
		CPU float64 `json:"process_cpu_us_per_call"`
		// AllocationsPerCall is the whole process's.
		AllocationsPerCall float64 `json:"allocations_per_call"`
	}

	// Latency is in microseconds.
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

// New returns a bench that gives each path rounds of slice at each rate, in
// calls a second.
func New(slice time.Duration, rates ...float64) *Bench { return &Bench{rates: rates, slice: slice} }

// Run measures every path at every rate.
func (b *Bench) Run(ctx context.Context) (Report, error) {
	fleet := kqfleet.New()
	paths, err := prepare(ctx, fleet)
	if err != nil {
		return Report{}, fmt.Errorf("prepare: %w", err)
	}
	var report Report
	for i, rate := range b.rates {
		tallies := map[string]*tally{}
		for round := range rounds {
			for _, p := range []string{direct, oneHop, twoHops} {
				if tallies[p] == nil {
					tallies[p] = &tally{histogram: hdrhistogram.New(1, highest, 3)}
				}
				tallies[p].measure(ctx, paths[p], uint64(i*rounds+round), rate, b.slice)
			}
		}
		report.Runs = append(report.Runs, summarize(rate, tallies)...)
	}
	if err := fleet.Close(); err != nil {
		return report, fmt.Errorf("stop: %w", err)
	}
	return report, ctx.Err()
}

func prepare(ctx context.Context, fleet *kqfleet.Fleet) (map[string]*kqopenloop.Generator, error) {
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
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, p := range paths {
		if err := await(ctx, p); err != nil {
			return nil, err
		}
	}
	return paths, nil
}

// await returns once a path answers, and so has its configuration.
func await(ctx context.Context, g *kqopenloop.Generator) error {
	one := []*kqopenloop.Stream{stream(time.Second/2, 4)}
	for {
		for _, s := range g.Run(ctx, 1, one) {
			if s.Result == kqcall.Answered {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for an answer: %w", ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func stream(length time.Duration, rate float64) *kqopenloop.Stream {
	return &kqopenloop.Stream{
		Caller: caller, Class: "all", Host: service, Path: "/", Phases: []kqopenloop.Phase{{For: length, Rate: rate}},
	}
}

func (t *tally) measure(ctx context.Context, g *kqopenloop.Generator, seed uint64, rate float64, length time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	samples := g.Run(ctx, seed, []*kqopenloop.Stream{stream(length, rate)})
	t.cpu += processorTime() - cpu
	runtime.ReadMemStats(&after)
	t.allocations += after.Mallocs - before.Mallocs
	for _, s := range samples {
		t.calls++
		if s.Result != kqcall.Answered {
			t.failed++
			continue
		}
		// A latency over the histogram's bound of a minute cannot come about: calls end sooner.
		_ = t.histogram.RecordValue(s.Took.Microseconds())
	}
}

func summarize(rate float64, tallies map[string]*tally) []Run {
	var runs []Run
	base := tallies[direct].perCall()
	for _, p := range []struct {
		path  string
		nodes float64
	}{{direct, 0}, {oneHop, 1}, {twoHops, 2}} {
		t := tallies[p.path]
		used := t.perCall()
		if p.nodes > 0 {
			used = (used - base) / p.nodes
		}
		runs = append(runs, Run{
			Path: p.path, Rate: rate, Calls: t.calls, Failed: t.failed,
			Latency: Latency{
				P50: t.histogram.ValueAtQuantile(50), P99: t.histogram.ValueAtQuantile(99), P999: t.histogram.ValueAtQuantile(99.9),
			},
			CallsPerSecondPerCore: 1 / used,
			CPU:                   t.perCall() * 1e6,
			AllocationsPerCall:    float64(t.allocations) / float64(max(t.calls, 1)),
		})
	}
	return runs
}

// perCall returns processor seconds per call.
func (t *tally) perCall() float64 { return t.cpu.Seconds() / float64(max(t.calls, 1)) }

func processorTime() time.Duration {
	var u syscall.Rusage
	// Reading the process's own usage has no way to fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
