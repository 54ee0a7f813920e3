package kqconsole

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqrollouthistory"
)

// The drawing area in units of the SVG's viewBox in pages/parts.html.
const (
	plotWidth  = 600.0
	plotTop    = 8.0
	plotBottom = 132.0
)

// plot holds a rollout's history as point lists of SVG polylines.
type plot struct {
	Share, OldFailed, NewFailed, Nats string
	Began, Ended                      time.Time
	MostNats, LastShare               float64
	Empty                             bool
}

// newPlot scales points to the drawing area: shares from 0 to 1, evidence from 0
// to its maximum, which is at least 1.
func newPlot(points []kqrollouthistory.Point) plot {
	if len(points) < 2 {
		return plot{Empty: true}
	}
	last := points[len(points)-1]
	p := plot{Began: points[0].At, Ended: last.At, LastShare: last.Share, MostNats: 1}
	for _, point := range points {
		p.MostNats = max(p.MostNats, point.Nats)
	}
	span := max(last.At.Sub(points[0].At).Seconds(), 1)
	line := func(value func(kqrollouthistory.Point) float64) string {
		var b strings.Builder
		for _, point := range points {
			x := point.At.Sub(points[0].At).Seconds() / span * plotWidth
			y := plotBottom - min(max(value(point), 0), 1)*(plotBottom-plotTop)
			fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
		}
		return b.String()
	}
	p.Share = line(func(point kqrollouthistory.Point) float64 { return point.Share })
	p.OldFailed = line(func(point kqrollouthistory.Point) float64 { return point.OldFailed })
	p.NewFailed = line(func(point kqrollouthistory.Point) float64 { return point.NewFailed })
	p.Nats = line(func(point kqrollouthistory.Point) float64 { return point.Nats / p.MostNats })
	return p
}
