package kqloadbench

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqopenloop"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	service = "store"
	servers = 6
	slots   = 6
	domains = 4
	work    = 40 * time.Millisecond
	// timeout is each call's deadline, stated by its route.
	timeout = 2 * time.Second
	// capacity is what the upstreams can answer, in calls a second.
	capacity = float64(servers*slots) / 0.040
	seed     = 20261

	readyWait = 15 * time.Second
	readyPoll = 50 * time.Millisecond
	highest   = int64(time.Minute / time.Microsecond)
)

type (
	// Bench measures one pattern under some policies.
	Bench struct {
		pattern  string
		policies []string
	}

	// Report is what was measured.
	Report struct {
		Pattern string `json:"pattern"`
		Runs    []Run  `json:"runs"`
	}

	// Run is one policy's.
	Run struct {
		Policy         string `json:"policy"`
		Offered        int    `json:"offered"`
		AnsweredInTime int    `json:"answered_in_time"`
		// AnsweredLate counts answers that came as a success after the
		// deadline; Unknown counts calls that may have run without an answer.
		AnsweredLate int `json:"answered_late"`
		Unknown      int `json:"unknown"`
		// GoodputShare is what was answered in time, of the lesser of what was
		// offered and what the upstreams' slots can answer.
		GoodputShare float64        `json:"goodput_share"`
		Refused      map[string]int `json:"refused"`
		RefusalP99   float64        `json:"refusal_ms_p99"`
		// Latency holds the quantiles of the calls not refused, and those of the
		// pattern's own windows.
		Latency  map[string]float64 `json:"latency_ms"`
		ByCaller map[string]Group   `json:"by_caller"`
		ByClass  map[string]Group   `json:"by_class"`
	}

	// Group is one caller's or one class's calls.
	Group struct {
		Offered        int     `json:"offered"`
		AnsweredInTime int     `json:"answered_in_time"`
		InTimeShare    float64 `json:"in_time_share"`
		P50            float64 `json:"p50_ms"`
		P99            float64 `json:"p99_ms"`
	}

	groups map[string]*group

	group struct {
		offered, inTime int
		histogram       *hdrhistogram.Histogram
	}
)

// New returns a bench of one of Patterns.
func New(pattern string, policies ...string) *Bench {
	return &Bench{pattern: pattern, policies: policies}
}

// Run measures the pattern under each policy in turn, on a fleet of its own.
func (b *Bench) Run(ctx context.Context) (Report, error) {
	report := Report{Pattern: b.pattern}
	for _, p := range b.policies {
		samples, err := sample(ctx, patterns[b.pattern], p)
		if err != nil {
			return report, fmt.Errorf("pattern %s under %s: %w", b.pattern, p, err)
		}
		report.Runs = append(report.Runs, summarize(p, patterns[b.pattern], samples))
	}
	return report, nil
}

func sample(ctx context.Context, p pattern, policy string) ([]kqopenloop.Sample, error) {
	fleet := kqfleet.New(kqfleet.WithSettings(func(s *kqsettings.Settings) { s.Call.Policy = policy }))
	var entries []kqname.Address
	for i := range servers {
		s, err := fleet.Start(kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("store-%d", i+1)), Domain: kqname.Domain(fmt.Sprintf("d%d", i%domains+1)), Region: "one",
			Service: service, Version: "v1", Slots: slots, Behaviour: p.behaviour,
		})
		if err != nil {
			return nil, err
		}
		entries = append(entries, s.Node.EntryAddress())
	}
	if err := commit(ctx, fleet); err != nil {
		return nil, err
	}
	if err := await(ctx, fleet, entries); err != nil {
		return nil, err
	}
	generator := kqopenloop.New(entries...)
	defer generator.Close()
	if p.change != nil {
		slow := time.AfterFunc(p.changeAt, func() { p.change(fleet.Servers()[0].Upstream) })
		defer slow.Stop()
	}
	samples := generator.Run(ctx, seed, p.streams)
	if err := fleet.Close(); err != nil {
		return nil, fmt.Errorf("stop: %w", err)
	}
	return samples, ctx.Err()
}

func commit(ctx context.Context, fleet *kqfleet.Fleet) error {
	route := func(name kqname.Route, prefix string) kqdocument.Route {
		return kqdocument.Route{Name: name, Team: "bench", Host: service, PathPrefix: prefix, Service: service, TimeoutMS: int(timeout.Milliseconds())}
	}
	_, err := kqcommit.New(fleet.Platform).Commit(ctx, kqcommit.Request{
		ID: "bench", Author: "bench", Reason: "bench", At: time.Now(),
		Document: kqdocument.Document{
			Teams:    []kqdocument.Team{{Name: "bench"}},
			Services: []kqdocument.Service{{Name: service, Team: "bench"}},
			Routes:   []kqdocument.Route{route("short", "/"), route("long", longPath)},
		},
	})
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// await returns once every entry has its configuration and knows every upstream.
func await(ctx context.Context, fleet *kqfleet.Fleet, entries []kqname.Address) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, s := range fleet.Servers() {
		for known(s) < servers || s.Node.Version() == 0 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for %s to know all upstreams: %w", s.Spec.Node, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	warm := []*kqopenloop.Stream{{Caller: "127.0.0.1", Host: service, Path: "/", Phases: []kqopenloop.Phase{{For: time.Second, Rate: 300}}}}
	g := kqopenloop.New(entries...)
	defer g.Close()
	for _, s := range g.Run(ctx, seed, warm)[100:] {
		if s.Result != kqcall.Answered {
			return fmt.Errorf("warm up: %s %s: %w", s.Result, s.Reason, errNotReady)
		}
	}
	return nil
}

func known(s *kqfleet.Server) int {
	n := 0
	for _, m := range s.Node.Members() {
		n += len(m.Upstreams)
	}
	return n
}

func summarize(policy string, p pattern, samples []kqopenloop.Sample) Run {
	r := Run{Policy: policy, Offered: len(samples), Refused: map[string]int{}, Latency: map[string]float64{}}
	all, callers, classes := newGroup(), groups{}, groups{}
	refusals := newGroup()
	windows := make([]*group, len(p.windows))
	for i := range windows {
		windows[i] = newGroup()
	}
	for _, s := range samples {
		r.count(s, refusals)
		all.add(s)
		callers.add(s.Stream.Caller, s)
		classes.add(s.Stream.Class, s)
		for i, w := range p.windows {
			if w.holds(s) {
				windows[i].add(s)
			}
		}
	}
	r.AnsweredInTime = all.inTime
	r.GoodputShare = float64(all.inTime) / min(float64(len(samples)), p.canAnswer())
	r.RefusalP99 = refusals.quantile(99)
	r.Latency["p50"], r.Latency["p99"], r.Latency["p999"] = all.quantile(50), all.quantile(99), all.quantile(99.9)
	for i, w := range p.windows {
		r.Latency[w.name+"_p99"] = windows[i].quantile(99)
		r.Latency[w.name+"_in_time_share"] = windows[i].share()
	}
	r.ByCaller, r.ByClass = callers.summary(), classes.summary()
	return r
}

func (r *Run) count(s kqopenloop.Sample, refusals *group) {
	switch {
	case s.Result == kqcall.NotRun:
		r.Refused[string(s.Reason)]++
		_ = refusals.histogram.RecordValue(s.Took.Microseconds())
	case s.Result == kqcall.Unknown:
		r.Unknown++
	case s.Took > timeout:
		r.AnsweredLate++
	}
}

func newGroup() *group { return &group{histogram: hdrhistogram.New(1, highest, 3)} }

func (g *group) add(s kqopenloop.Sample) {
	g.offered++
	if s.Result == kqcall.NotRun || s.Status >= 500 && s.Result == kqcall.Answered {
		return
	}
	if s.Result == kqcall.Answered && s.Took <= timeout {
		g.inTime++
	}
	// Whoever got no answer has waited too: left out, an upstream that answers
	// nobody would look fast. Calls end within seconds, the bound is a minute.
	_ = g.histogram.RecordValue(s.Took.Microseconds())
}

// quantile is in milliseconds.
func (g *group) quantile(q float64) float64 { return float64(g.histogram.ValueAtQuantile(q)) / 1000 }

func (g *group) share() float64 { return float64(g.inTime) / float64(max(g.offered, 1)) }

func (g groups) add(name string, s kqopenloop.Sample) {
	if g[name] == nil {
		g[name] = newGroup()
	}
	g[name].add(s)
}

func (g groups) summary() map[string]Group {
	all := make(map[string]Group, len(g))
	for name, one := range g {
		all[name] = Group{
			Offered: one.offered, AnsweredInTime: one.inTime, InTimeShare: one.share(),
			P50: one.quantile(50), P99: one.quantile(99),
		}
	}
	return all
}
