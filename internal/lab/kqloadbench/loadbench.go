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
	// servers is the number of servers with one upstream each, and slots is the number
	// of slots of each upstream.
	servers        = 6
	slots          = 6
	failureDomains = 4
	serviceTime    = 40 * time.Millisecond
	// timeout is the deadline of each call, set by its route.
	timeout = 2 * time.Second
	// capacity is the maximum throughput of all upstreams, in calls per second that
	// take serviceTime, which is 0.040 s.
	capacity = float64(servers*slots) / 0.040
	seed     = 20261

	readyWait        = 15 * time.Second
	readyPoll        = 50 * time.Millisecond
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

type (
	// Bench measures one load pattern under several policies.
	Bench struct {
		pattern  string
		policies []string
	}

	// Report is the results of a Bench.
	Report struct {
		Pattern string `json:"pattern"`
		Runs    []Run  `json:"runs"`
	}

	// Run is the results of one policy.
	Run struct {
		Policy  string `json:"policy"`
		Offered int    `json:"offered"`
		// AnsweredInTime counts answers within the deadline with a status below 500.
		AnsweredInTime int `json:"answered_in_time"`
		// AnsweredLate counts answers with any status that arrived after the deadline;
		// Unknown counts calls that may have run but got no answer.
		AnsweredLate int `json:"answered_late"`
		Unknown      int `json:"unknown"`
		// GoodputShare is the number of calls answered in time divided by the
		// smaller of the offered calls and the upstreams' capacity.
		GoodputShare float64 `json:"goodput_share"`
		// Refused counts the calls that did not run, by reason, and RefusalP99 is the
		// 99th percentile of their latency in milliseconds. Both include the calls that
		// the generator did not send, with a latency of 0.
		Refused    map[string]int `json:"refused"`
		RefusalP99 float64        `json:"refusal_ms_p99"`
		// Latency holds latency quantiles in milliseconds, and the p99 and in-time
		// share of each of the pattern's windows. The latencies leave out refused calls
		// and answers with a status of 500 or above.
		Latency  map[string]float64 `json:"latency_ms"`
		ByCaller map[string]Group   `json:"by_caller"`
		ByClass  map[string]Group   `json:"by_class"`
	}

	// Group is the results of one caller or one class, with the same definitions as
	// in Run.
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

// New returns a bench for one of the patterns that Patterns returns and for policies,
// which are values of the setting policy in the section call.
func New(pattern string, policies ...string) *Bench {
	return &Bench{pattern: pattern, policies: policies}
}

// Run measures the pattern under each policy in turn, each with a new fleet.
func (b *Bench) Run(ctx context.Context) (Report, error) {
	report := Report{Pattern: b.pattern}
	for _, p := range b.policies {
		samples, err := runPattern(ctx, patterns[b.pattern], p)
		if err != nil {
			return report, fmt.Errorf("pattern %s under %s: %w", b.pattern, p, err)
		}
		report.Runs = append(report.Runs, summarize(p, patterns[b.pattern], samples))
	}
	return report, nil
}

func runPattern(ctx context.Context, p pattern, policy string) ([]kqopenloop.Sample, error) {
	fleet := kqfleet.New(kqfleet.WithSettings(func(s *kqsettings.Settings) { s.Call.Policy = policy }))
	var entries []kqname.Address
	for i := range servers {
		s, err := fleet.Start(kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("store-%d", i+1)), Domain: kqname.Domain(fmt.Sprintf("d%d", i%failureDomains+1)), Region: "one",
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
	if err := waitUntilReady(ctx, fleet, entries); err != nil {
		return nil, err
	}
	generator := kqopenloop.New(entries...)
	defer generator.Close()
	if p.change != nil {
		changeTimer := time.AfterFunc(p.changeAt, func() {
			for _, s := range fleet.Servers()[:p.changed] {
				p.change(s.Upstream)
			}
		})
		defer changeTimer.Stop()
	}
	samples := generator.Run(ctx, seed, p.streams)
	if err := fleet.Close(); err != nil {
		return nil, fmt.Errorf("stop fleet: %w", err)
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

// waitUntilReady waits until every node has its configuration and knows every
// upstream. It then sends warm-up calls for 1 s and returns an error unless all of them
// but the first 100 are answered.
func waitUntilReady(ctx context.Context, fleet *kqfleet.Fleet, entries []kqname.Address) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, s := range fleet.Servers() {
		for knownUpstreams(s) < servers || s.Node.Version() == 0 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait until %s has a configuration and knows all upstreams: %w", s.Spec.Node, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	warmUp := []*kqopenloop.Stream{{Caller: "127.0.0.1", Host: service, Path: "/", Phases: []kqopenloop.Phase{{Length: time.Second, Rate: 300}}}}
	g := kqopenloop.New(entries...)
	defer g.Close()
	for _, s := range g.Run(ctx, seed, warmUp)[100:] {
		if s.Result != kqcall.Answered {
			return fmt.Errorf("warm up: %s %s: %w", s.Result, s.Reason, errNotReady)
		}
	}
	return nil
}

func knownUpstreams(s *kqfleet.Server) int {
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
		r.countResult(s, refusals)
		all.add(s)
		callers.add(s.Stream.Caller, s)
		classes.add(s.Stream.Class, s)
		for i, w := range p.windows {
			if w.includes(s) {
				windows[i].add(s)
			}
		}
	}
	r.AnsweredInTime = all.inTime
	r.GoodputShare = float64(all.inTime) / min(float64(len(samples)), p.maxAnswers())
	r.RefusalP99 = refusals.quantile(99)
	r.Latency["p50"], r.Latency["p99"], r.Latency["p999"] = all.quantile(50), all.quantile(99), all.quantile(99.9)
	for i, w := range p.windows {
		r.Latency[w.name+"_p99"] = windows[i].quantile(99)
		r.Latency[w.name+"_in_time_share"] = windows[i].inTimeShare()
	}
	r.ByCaller, r.ByClass = callers.summary(), classes.summary()
	return r
}

func (r *Run) countResult(s kqopenloop.Sample, refusals *group) {
	switch {
	case s.Result == kqcall.NotRun:
		r.Refused[string(s.Reason)]++
		_ = refusals.histogram.RecordValue(s.Latency.Microseconds())
	case s.Result == kqcall.Unknown:
		r.Unknown++
	case s.Latency > timeout:
		r.AnsweredLate++
	}
}

func newGroup() *group { return &group{histogram: hdrhistogram.New(1, maxLatencyMicros, 3)} }

func (g *group) add(s kqopenloop.Sample) {
	g.offered++
	if s.Result == kqcall.NotRun || s.Status >= 500 && s.Result == kqcall.Answered {
		return
	}
	if s.Result == kqcall.Answered && s.Latency <= timeout {
		g.inTime++
	}
	// Calls without an answer are included; otherwise an upstream that never
	// answers would look fast. RecordValue fails only above the histogram's bound
	// of one minute, and calls end within seconds.
	_ = g.histogram.RecordValue(s.Latency.Microseconds())
}

// quantile returns the latency in milliseconds at quantile q, from 0 to 100.
func (g *group) quantile(q float64) float64 { return float64(g.histogram.ValueAtQuantile(q)) / 1000 }

func (g *group) inTimeShare() float64 { return float64(g.inTime) / float64(max(g.offered, 1)) }

func (g groups) add(name string, s kqopenloop.Sample) {
	if g[name] == nil {
		g[name] = newGroup()
	}
	g[name].add(s)
}

func (g groups) summary() map[string]Group {
	all := make(map[string]Group, len(g))
	for name, member := range g {
		all[name] = Group{
			Offered: member.offered, AnsweredInTime: member.inTime, InTimeShare: member.inTimeShare(),
			P50: member.quantile(50), P99: member.quantile(99),
		}
	}
	return all
}
