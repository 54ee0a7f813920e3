package kqcommand

import (
	"fmt"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqcallbench"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqloadbench"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqnodes"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqplot"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsurvey"
)

func addPlotFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("plot", "SVG file to write a plot of the result to.").PlaceHolder("FILE.svg").String()
}

// writePlot writes the plot to the file, if one was given.
func (c *Command) writePlot(file string, p kqplot.Plot) error {
	if file == "" {
		return nil
	}
	if err := p.Write(file); err != nil {
		return fmt.Errorf("plot result: %w", err)
	}
	fmt.Fprintf(c.errors, "wrote %s\n", file)
	return nil
}

func nodesPlot(result kqnodes.Result) kqplot.Plot {
	p50, p99 := kqplot.Series{Name: "p50"}, kqplot.Series{Name: "p99"}
	for _, r := range result.Runs {
		p50.Points = append(p50.Points, kqplot.Point{X: float64(r.Nodes), Y: r.Convergence.P50})
		p99.Points = append(p99.Points, kqplot.Point{X: float64(r.Nodes), Y: r.Convergence.P99})
	}
	return kqplot.Plot{
		Title: "Convergence, " + result.Strategy + ", fault " + result.Fault, X: "nodes", Y: "ms",
		Series: []kqplot.Series{p50, p99},
	}
}

func callsPlot(report kqcallbench.Report) kqplot.Plot {
	byPath := make(map[string][]kqplot.Point)
	for _, r := range report.Runs {
		byPath[r.Path] = append(byPath[r.Path], kqplot.Point{X: r.Rate, Y: float64(r.Latency.P99)})
	}
	return kqplot.Plot{Title: "Latency of a call (p99)", X: "calls a second", Y: "µs", Series: sortedSeries(byPath)}
}

func loadPlot(report kqloadbench.Report) kqplot.Plot {
	p := kqplot.Plot{Title: "Latency of answered calls, pattern " + report.Pattern, X: "percentile", Y: "ms"}
	for _, r := range report.Runs {
		names := slices.Sorted(maps.Keys(r.Latency))
		s := kqplot.Series{Name: r.Policy}
		for i, name := range names {
			s.Points = append(s.Points, kqplot.Point{X: float64(i), Y: r.Latency[name]})
		}
		p.Categories, p.Series = names, append(p.Series, s)
	}
	return p
}

func rolloutsPlot(report kqsurvey.Report) kqplot.Plot {
	good, bad := kqplot.Series{Name: "good on time"}, kqplot.Series{Name: "bad taken back"}
	p := kqplot.Plot{Title: "Rollouts that ended right", X: "policy and decider", Y: "%"}
	for i, one := range report.Policies {
		p.Categories = append(p.Categories, string(one.Policy)+" "+one.Decider)
		good.Points = append(good.Points, kqplot.Point{X: float64(i), Y: 100 * one.GoodOnTimeShare})
		bad.Points = append(bad.Points, kqplot.Point{X: float64(i), Y: 100 * one.BadRolledBackShare})
	}
	p.Series = []kqplot.Series{good, bad}
	return p
}

// sortedSeries returns the series in order of their names.
func sortedSeries(series map[string][]kqplot.Point) []kqplot.Series {
	var list []kqplot.Series
	for _, name := range slices.Sorted(maps.Keys(series)) {
		list = append(list, kqplot.Series{Name: name, Points: series[name]})
	}
	return list
}
