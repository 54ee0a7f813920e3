package kqcommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqcallbench"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqloadbench"
)

// addMeasureCalls adds "measure calls" and "measure load".
func (c *Command) addMeasureCalls() {
	calls := c.measureCommand.Command("calls", "Measure what one and two nodes on the path add to a call.")
	asJSON := calls.Flag("json", "Print JSON on one line.").Bool()
	rates := calls.Flag("rate", "Calls per second; repeatable.").Default("1000", "5000").Float64List()
	callsFile := addPlotFlag(calls)
	slice := calls.Flag("slice", "Duration of one of the three measurements of each path.").Default("3s").Duration()
	c.register(calls, func(ctx context.Context) error {
		report, err := kqcallbench.New(*slice, *rates...).Run(ctx)
		if err != nil {
			return fmt.Errorf("measure calls: %w", err)
		}
		if err := c.writePlot(*callsFile, callsPlot(report)); err != nil {
			return err
		}
		return c.printReport(report, *asJSON)
	})

	load := c.measureCommand.Command("load", "Measure what callers receive from a saturated fleet, compared with a baseline.")
	loadJSON := load.Flag("json", "Print JSON on one line.").Bool()
	loadFile := addPlotFlag(load)
	pattern := load.Flag("pattern", "Load pattern.").Required().Enum(kqloadbench.Patterns()...)
	policies := load.Flag("policy", "Policy to measure; repeatable.").Default("kumquatgw", "baseline").Enums("kumquatgw", "baseline")
	c.register(load, func(ctx context.Context) error {
		report, err := kqloadbench.New(*pattern, *policies...).Run(ctx)
		if err != nil {
			return fmt.Errorf("measure load: %w", err)
		}
		if err := c.writePlot(*loadFile, loadPlot(report)); err != nil {
			return err
		}
		return c.printReport(report, *loadJSON)
	})
}

// printReport prints a report as JSON, on one line or indented.
func (c *Command) printReport(report any, line bool) error {
	encoder := json.NewEncoder(c.out)
	if !line {
		encoder.SetIndent("", "  ")
	}
	if err := encoder.Encode(report); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}
