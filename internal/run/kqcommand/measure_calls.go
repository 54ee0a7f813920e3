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
	calls := c.measure.Command("calls", "Measure what one and two nodes add to a call.")
	asJSON := calls.Flag("json", "Print JSON on one line.").Bool()
	rates := calls.Flag("rate", "Calls a second; may be given again.").Default("1000", "5000").Float64List()
	callsFile := plotFlag(calls)
	slice := calls.Flag("slice", "How long each path is measured at a time, three times.").Default("3s").Duration()
	c.add(calls, func(ctx context.Context) error {
		report, err := kqcallbench.New(*slice, *rates...).Run(ctx)
		if err != nil {
			return fmt.Errorf("measure calls: %w", err)
		}
		if err := c.draw(*callsFile, callsPlot(report)); err != nil {
			return err
		}
		return c.printReport(report, *asJSON)
	})

	load := c.measure.Command("load", "Measure what callers receive when the fleet is full, beside a baseline.")
	loadJSON := load.Flag("json", "Print JSON on one line.").Bool()
	loadFile := plotFlag(load)
	pattern := load.Flag("pattern", "Load pattern.").Required().Enum(kqloadbench.Patterns()...)
	policies := load.Flag("policy", "Policy; may be given again.").Default("kumquatgw", "baseline").Enums("kumquatgw", "baseline")
	c.add(load, func(ctx context.Context) error {
		report, err := kqloadbench.New(*pattern, *policies...).Run(ctx)
		if err != nil {
			return fmt.Errorf("measure load: %w", err)
		}
		if err := c.draw(*loadFile, loadPlot(report)); err != nil {
			return err
		}
		return c.printReport(report, *loadJSON)
	})
}

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
