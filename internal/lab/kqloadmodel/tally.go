package kqloadmodel

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxLatencyMicros bounds the histograms. Calls end at most a few network delays after
// their deadline, so only a stream with a deadline of about a minute or more can exceed
// the bound; such latencies are not recorded.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

type (
	// Tally is the results of calls as their callers received them. Unknown counts
	// calls that may have run but got no answer. Late counts answers that arrived more
	// than one network delay after the deadline. RefusalLatency is in microseconds.
	Tally struct {
		Group
		Retries          int
		Unknown          int
		Late             int
		RefusalsByReason map[kqcall.Reason]int
		RefusalLatency   *hdrhistogram.Histogram
		Callers          map[kqname.Caller]*Group
		Routes           map[kqname.Route]*Group
	}

	// Group is the results of one caller's, one route's or all calls. Ended includes
	// refused calls. Latency holds the latency of each call that was not refused, in
	// microseconds.
	Group struct {
		Ended, InTime int
		Latency       *hdrhistogram.Histogram
	}
)

func newTally() *Tally {
	return &Tally{
		Group: newGroup(), RefusalsByReason: make(map[kqcall.Reason]int), RefusalLatency: newHistogram(),
		Callers: make(map[kqname.Caller]*Group), Routes: make(map[kqname.Route]*Group),
	}
}

func newGroup() Group { return Group{Latency: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// InTimeShare returns the share of calls, from 0 to 1, that were answered in time.
func (g *Group) InTimeShare() float64 { return float64(g.InTime) / float64(max(g.Ended, 1)) }

func (t *Tally) add(c *call, o kqcall.Outcome, latency time.Duration, late bool) {
	if t.Callers[c.Caller] == nil {
		g := newGroup()
		t.Callers[c.Caller] = &g
	}
	if t.Routes[c.Route] == nil {
		g := newGroup()
		t.Routes[c.Route] = &g
	}
	for _, g := range []*Group{&t.Group, t.Callers[c.Caller], t.Routes[c.Route]} {
		g.add(o, latency, late)
	}
	switch {
	case o.Result == kqcall.NotRun:
		t.RefusalsByReason[o.Reason]++
		// RecordValue fails only above maxLatencyMicros.
		_ = t.RefusalLatency.RecordValue(latency.Microseconds())
	case o.Result == kqcall.Unknown:
		t.Unknown++
	case late:
		t.Late++
	}
}

func (g *Group) add(o kqcall.Outcome, latency time.Duration, late bool) {
	g.Ended++
	if o.Result == kqcall.NotRun {
		return
	}
	if o.Result == kqcall.Answered && !late {
		g.InTime++
	}
	// RecordValue fails only above maxLatencyMicros.
	_ = g.Latency.RecordValue(latency.Microseconds())
}
