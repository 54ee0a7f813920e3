package kqledger

import (
	"cmp"
	"slices"
	"sync"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqmargin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxSources bounds the number of gates in a ledger. A restarted gate counts as another
// one.
const maxSources = 4096

// lowerQuartile is the quantile by which kqmargin distinguishes a slowdown of all calls
// from one of some calls.
const lowerQuartile = 0.25

type (
	// Source identifies one run of a gate: a restarted gate counts from 0 again.
	Source struct {
		Node kqname.Node `cbor:"1,keyasint"`
		Boot uint64      `cbor:"2,keyasint"`
	}

	// Row holds the counts of one gate for one route since its start.
	Row struct {
		Route kqname.Route    `cbor:"1,keyasint"`
		Old   kqevidence.Cell `cbor:"2,keyasint"`
		New   kqevidence.Cell `cbor:"3,keyasint"`
	}

	// Report holds all counts of one gate for one rollout.
	Report struct {
		Source Source `cbor:"1,keyasint"`
		Serial uint64 `cbor:"2,keyasint"`
		Rows   []Row  `cbor:"3,keyasint"`
	}

	// Ledger holds the last report of each gate, including this node's own. It
	// is safe for concurrent use.
	Ledger struct {
		self Source

		mu      sync.Mutex
		ownRows map[kqname.Route]*Row
		serial  uint64
		changed bool
		reports map[Source]Report
		// lastSums are the sums over all gates at the last Take.
		lastSums map[kqname.Route]*Row
		// takenCalls holds, for each gate, the number of calls with a latency that its
		// report had at the last Take, of the old version and of the new one.
		takenCalls map[Source][2]float64
	}
)

// New returns an empty ledger for the gate self.
func New(self Source) *Ledger {
	return &Ledger{
		self: self, ownRows: make(map[kqname.Route]*Row),
		reports: make(map[Source]Report), lastSums: make(map[kqname.Route]*Row), takenCalls: make(map[Source][2]float64),
	}
}

// CellOf returns the cell of the new version if next is set, or else of the old one.
func (r *Row) CellOf(next bool) *kqevidence.Cell {
	if next {
		return &r.New
	}
	return &r.Old
}

// Count calls f to count a call in this gate's own row of a route. Once there are
// kqevidence.MaxRoutes-1 rows, calls of further routes count under kqevidence.OtherRoutes;
// kqevidence.ColdUpstreams is no exception.
func (l *Ledger) Count(route kqname.Route, f func(*Row)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.ownRows[route]
	if !ok {
		if len(l.ownRows) >= kqevidence.MaxRoutes-1 {
			route = kqevidence.OtherRoutes
		}
		if r, ok = l.ownRows[route]; !ok {
			r = &Row{Route: route}
			l.ownRows[route] = r
		}
	}
	f(r)
	l.changed = true
}

// Report returns this gate's own report, or false if nothing was counted since the
// last one.
func (l *Ledger) Report() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed {
		return Report{}, false
	}
	l.changed = false
	l.serial++
	r := Report{Source: l.self, Serial: l.serial}
	for _, row := range l.ownRows {
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return cmp.Compare(a.Route, b.Route) })
	l.reports[l.self] = r
	return r, true
}

// Merge adds another gate's report. It returns false if it ignored the report because it is
// not newer, is this gate's own or would exceed maxSources.
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

// Take returns what all gates counted since the last Take, by their latest reports. This
// gate's own counts are included up to its last Report.
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
		before, ok := l.lastSums[route]
		if !ok {
			before = &Row{}
		}
		sample = append(sample, kqevidence.Pair{Route: route, Old: sum.Old.Since(&before.Old), New: sum.New.Since(&before.New), LogMargin: margin})
	}
	l.lastSums = sums
	slices.SortFunc(sample, func(a, b kqevidence.Pair) int { return cmp.Compare(a.Route, b.Route) })
	return sample
}

// margin returns by how much, as a log, the new version's upstreams may be slower because
// of their servers, for the calls since the last Take. Each gate stands for one upstream.
func (l *Ledger) margin() float64 {
	var lists [2][]kqmargin.Upstream
	var all kqevidence.Cell
	for source, r := range l.reports {
		before := l.takenCalls[source]
		var current [2]float64
		for version := range lists {
			cell := r.cell(version == 1)
			u := upstreamStats(&cell)
			if version == 0 {
				all.Add(&cell)
			}
			current[version] = u.Calls
			u.ComparedCalls = u.Calls - before[version]
			lists[version] = append(lists[version], u)
		}
		l.takenCalls[source] = current
	}
	return kqmargin.Allowed(lists[0], lists[1], all.Quantile(lowerQuartile))
}

// cell returns the counts of one version over all routes. It leaves out
// kqevidence.ColdUpstreams, whose calls also count under their own routes.
func (r *Report) cell(next bool) kqevidence.Cell {
	var c kqevidence.Cell
	for i := range r.Rows {
		if r.Rows[i].Route != kqevidence.ColdUpstreams {
			c.Add(r.Rows[i].CellOf(next))
		}
	}
	return c
}

// upstreamStats returns the statistics of a cell for kqmargin.
func upstreamStats(c *kqevidence.Cell) kqmargin.Upstream {
	u := kqmargin.Upstream{LowerQuartile: c.Quantile(lowerQuartile)}
	u.Calls, u.LogSum, u.LogSquares = c.LogSums()
	return u
}
