package kqloadmodel

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const highest = int64(time.Minute / time.Microsecond)

type (
	// Tally is what callers received.
	Tally struct {
		Group
		Retries  int
		Unknown  int
		Late     int
		Refused  map[kqcall.Reason]int
		Refusals *hdrhistogram.Histogram
		Callers  map[kqname.Caller]*Group
		Routes   map[kqname.Route]*Group
	}

	// Group is one caller's, one route's or all calls. Took holds what each
	// call that was not refused took, in microseconds.
	Group struct {
		Ended, InTime int
		Took          *hdrhistogram.Histogram
	}
)

func newTally() *Tally {
	return &Tally{
		Group: newGroup(), Refused: make(map[kqcall.Reason]int), Refusals: newHistogram(),
		Callers: make(map[kqname.Caller]*Group), Routes: make(map[kqname.Route]*Group),
	}
}

func newGroup() Group { return Group{Took: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highest, 3) }

// Share returns the share of calls that were answered in time.
func (g *Group) Share() float64 { return float64(g.InTime) / float64(max(g.Ended, 1)) }

func (t *Tally) add(c *call, o kqcall.Outcome, took time.Duration, late bool) {
	if t.Callers[c.Caller] == nil {
		g := newGroup()
		t.Callers[c.Caller] = &g
	}
	if t.Routes[c.Route] == nil {
		g := newGroup()
		t.Routes[c.Route] = &g
	}
	for _, g := range []*Group{&t.Group, t.Callers[c.Caller], t.Routes[c.Route]} {
		g.add(o, took, late)
	}
	switch {
	case o.Result == kqcall.NotRun:
		t.Refused[o.Reason]++
		// Calls end within their deadline; the histogram's bound is a minute.
		_ = t.Refusals.RecordValue(took.Microseconds())
	case o.Result == kqcall.Unknown:
		t.Unknown++
	case late:
		t.Late++
	}
}

func (g *Group) add(o kqcall.Outcome, took time.Duration, late bool) {
	g.Ended++
	if o.Result == kqcall.NotRun {
		return
	}
	if o.Result == kqcall.Answered && !late {
		g.InTime++
	}
	// As above.
	_ = g.Took.RecordValue(took.Microseconds())
}
