package kqcommand

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqnodes"
)

func (c *Command) addMeasureNodes() {
	clause := c.measureCommand.Command("nodes", "Measure how configuration reaches real nodes on loopback, with a stand-in for the platform.")
	counts := clause.Flag("counts", "Fleet sizes, separated by commas.").Default("25,50").String()
	strategy := clause.Flag("strategy", "How configuration versions reach the nodes.").Default("overlay").Enum("direct", "overlay")
	fault := clause.Flag("fault", "Fault during the measurement: tenth_and_domain kills a tenth of the nodes and a failure domain, platform_down makes the platform unavailable and replaces a tenth, herd_restart restarts all nodes at once.").Default("none").
		Enum("none", "tenth_and_domain", "platform_down", "herd_restart")
	// With platform_down, no changes are committed and this flag has no effect.
	changes := clause.Flag("changes", "Changes per fleet.").Default("50").Int()
	idle := clause.Flag("idle", "How long the fleet is observed without changes.").Default("20s").Duration()
	gap := clause.Flag("gap", "Pause between two changes.").Default("200ms").Duration()
	prefetch := clause.Flag("prefetch", "Whether starting nodes prefetch the configuration of the hosts that peers of the same service hold.").Default("true").Bool()
	asJSON := clause.Flag("json", "Print the result as JSON.").Bool()
	file := addPlotFlag(clause)
	c.register(clause, func(ctx context.Context) error {
		plan := kqnodes.Plan{Strategy: *strategy, Fault: kqnodes.Fault(*fault), Changes: *changes, Prefetch: *prefetch, Idle: *idle, Gap: *gap}
		for _, text := range strings.Split(*counts, ",") {
			n, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil || n < 1 {
				return fmt.Errorf("measure nodes: --counts: %q is not a whole number above 0", text)
			}
			plan.Counts = append(plan.Counts, n)
		}
		// With platform_down, the convergence and the bytes per change are 0.
		result, err := kqnodes.New(plan).Run(ctx, func(r kqnodes.Run) {
			fmt.Fprintf(c.errors, "%d nodes: convergence p50 %.0f ms, p99 %.0f ms; per node %.0f B/s idle, %.0f B per change\n",
				r.Nodes, r.Convergence.P50, r.Convergence.P99, r.Bytes.Idle, r.BytesPerChange)
		})
		if err != nil {
			return err
		}
		if err := c.writePlot(*file, nodesPlot(result)); err != nil {
			return err
		}
		if *asJSON {
			return c.printJSON(result)
		}
		return nil
	})
}
