package kqconsole

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqtrail"
)

const (
	plotWidth  = 600.0
	plotTop    = 8.0
	plotBottom = 132.0
)

// plot is a rollout's course as the points of SVG lines.
type plot struct {
	Share, OldFailed, NewFailed, Nats string
	Began, Ended                      time.Time
	MostNats, LastShare               float64
	Empty                             bool
}

// plotOf scales points to the drawing: shares from 0 to 1, evidence from 0 to
// the most that was seen.
func plotOf(points []kqtrail.Point) plot {
	if len(points) < 2 {
		return plot{Empty: true}
	}
	last := points[len(points)-1]
	p := plot{Began: points[0].At, Ended: last.At, LastShare: last.Share, MostNats: 1}
	for _, one := range points {
		p.MostNats = max(p.MostNats, one.Nats)
	}
	span := max(last.At.Sub(points[0].At).Seconds(), 1)
	line := func(value func(kqtrail.Point) float64) string {
		var b strings.Builder
		for _, one := range points {
			x := one.At.Sub(points[0].At).Seconds() / span * plotWidth
			y := plotBottom - min(max(value(one), 0), 1)*(plotBottom-plotTop)
			fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
		}
		return b.String()
	}
	p.Share = line(func(one kqtrail.Point) float64 { return one.Share })
	p.OldFailed = line(func(one kqtrail.Point) float64 { return one.OldFailed })
	p.NewFailed = line(func(one kqtrail.Point) float64 { return one.NewFailed })
	p.Nats = line(func(one kqtrail.Point) float64 { return one.Nats / p.MostNats })
	return p
}
