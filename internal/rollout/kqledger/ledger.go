package kqledger

import (
	"cmp"
	"slices"
	"sync"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqmargin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxSources bounds how many gates, restarted ones counted anew, a ledger
// keeps apart.
const maxSources = 4096

// low is the percentile by which kqmargin sees that all calls are slower, and not some.
const low = 0.25

type (
	// Source names one run of a gate: a restarted gate counts from 0 again.
	Source struct {
		Node kqname.Node `cbor:"1,keyasint"`
		Boot uint64      `cbor:"2,keyasint"`
	}

	// Row is what one gate counted on one route since its start.
	Row struct {
		Route kqname.Route    `cbor:"1,keyasint"`
		Old   kqevidence.Cell `cbor:"2,keyasint"`
		New   kqevidence.Cell `cbor:"3,keyasint"`
	}

	// Report is all that one gate counted for one rollout.
	Report struct {
		Source Source `cbor:"1,keyasint"`
		Serial uint64 `cbor:"2,keyasint"`
		Rows   []Row  `cbor:"3,keyasint"`
	}

	// Ledger holds the last report of each gate, this one's own included. It
	// is safe for concurrent use.
	Ledger struct {
		self Source

		mu      sync.Mutex
		own     map[kqname.Route]*Row
		serial  uint64
		changed bool
		reports map[Source]Report
		taken   map[kqname.Route]*Row
		// timed are the calls with a latency that were taken of each gate, of the
		// old version and of the new one.
		timed map[Source][2]float64
	}
)

// New returns an empty ledger of the gate self.
func New(self Source) *Ledger {
	return &Ledger{
		self: self, own: make(map[kqname.Route]*Row),
		reports: make(map[Source]Report), taken: make(map[kqname.Route]*Row), timed: make(map[Source][2]float64),
	}
}

// Of returns the cell of the new version or of the old one.
func (r *Row) Of(next bool) *kqevidence.Cell {
	if next {
		return &r.New
	}
	return &r.Old
}

// Count lets f count a call into this gate's own row of a route.
func (l *Ledger) Count(route kqname.Route, f func(*Row)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.own[route]
	if !ok {
		if len(l.own) >= kqevidence.MaxRoutes-1 {
			route = kqevidence.OtherRoutes
		}
		if r, ok = l.own[route]; !ok {
			r = &Row{Route: route}
			l.own[route] = r
		}
	}
	f(r)
	l.changed = true
}

// Report returns this gate's own report, and false where nothing was counted
// since the last one.
func (l *Ledger) Report() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed {
		return Report{}, false
	}
	l.changed = false
	l.serial++
	r := Report{Source: l.self, Serial: l.serial}
	for _, row := range l.own {
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return cmp.Compare(a.Route, b.Route) })
	l.reports[l.self] = r
	return r, true
}

// Merge takes in another gate's report and reports whether it was news.
func (l *Ledger) Merge(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.reports[r.Source]
	if r.Source == l.self || ok && r.Serial <= old.Serial || !ok && len(l.reports) >= maxSources {
		return false
	}
	l.reports[r.Source] = r
	return true
}

// Take returns what all gates counted since the last Take.
func (l *Ledger) Take() kqevidence.Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make(map[kqname.Route]*Row)
	for _, r := range l.reports {
		for i := range r.Rows {
			row := &r.Rows[i]
			sum, ok := sums[row.Route]
			if !ok {
				sum = &Row{Route: row.Route}
				sums[row.Route] = sum
			}
			sum.Old.Add(&row.Old)
			sum.New.Add(&row.New)
		}
	}
	margin := l.margin()
	sample := make(kqevidence.Sample, 0, len(sums))
	for route, sum := range sums {
		before, ok := l.taken[route]
		if !ok {
			before = &Row{}
		}
		sample = append(sample, kqevidence.Pair{Route: route, Old: sum.Old.Since(&before.Old), New: sum.New.Since(&before.New), Margin: margin})
	}
	l.taken = sums
	slices.SortFunc(sample, func(a, b kqevidence.Pair) int { return cmp.Compare(a.Route, b.Route) })
	return sample
}

// margin returns what the new version's upstreams may be slower by for their servers'
// sake, in the calls since the last Take. Each gate stands for one upstream.
func (l *Ledger) margin() float64 {
	var lists [2][]kqmargin.Upstream
	var all kqevidence.Cell
	for source, r := range l.reports {
		before := l.timed[source]
		var now [2]float64
		for version := range lists {
			cell := r.cell(version == 1)
			u := upstream(&cell)
			if version == 0 {
				all.Add(&cell)
			}
			now[version] = u.Calls
			u.ComparedCalls = u.Calls - before[version]
			lists[version] = append(lists[version], u)
		}
		l.timed[source] = now
	}
	return kqmargin.Allowed(lists[0], lists[1], all.Quantile(low))
}

// cell returns what the gate counted of one version, over all routes.
func (r *Report) cell(next bool) kqevidence.Cell {
	var c kqevidence.Cell
	for i := range r.Rows {
		if r.Rows[i].Route != kqevidence.Young {
			c.Add(r.Rows[i].Of(next))
		}
	}
	return c
}

func upstream(c *kqevidence.Cell) kqmargin.Upstream {
	u := kqmargin.Upstream{LowerQuartile: c.Quantile(low)}
	u.Calls, u.LogSum, u.LogSquares = c.LogSums()
	return u
}
