package kqcommand

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrolloutsim"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsurvey"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// tracesPerKind is how many rollouts of each kind are simulated to find the one with
// the shortest trace.
const tracesPerKind = 40

func (c *Command) addMeasureRollouts() {
	clause := c.measureCommand.Command("rollouts", "Simulate seeded rollouts of good and bad versions in virtual time.")
	seed := clause.Flag("seed", "Seed of the simulation; the same seed gives the same report.").Default("1").Uint64()
	count := clause.Flag("count", "Rollouts for each policy.").Default("1000").Int()
	workers := clause.Flag("workers", "Rollouts simulated concurrently.").Default("4").Int()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	file := addPlotFlag(clause)
	record := clause.Flag("record", "Directory to write a short trace of each kind to, instead of printing a report.").String()
	c.register(clause, func(context.Context) error {
		if *record != "" {
			return recordTraces(*record, *seed)
		}
		report := kqsurvey.New(*seed, kqsurvey.WithCount(*count), kqsurvey.WithWorkers(*workers)).Run()
		if err := c.writePlot(*file, rolloutsPlot(report)); err != nil {
			return err
		}
		if *asJSON {
			return c.printJSON(report)
		}
		c.printSurvey(report)
		return nil
	})
}

// recordTraces simulates tracesPerKind rollouts of each kind and writes the shortest
// trace of those that ended as they should. If none of a kind did, its file is empty.
func recordTraces(directory string, seed uint64) error {
	for _, kind := range kqrolloutsim.Kinds {
		var shortest []byte
		for index := range uint64(tracesPerKind) {
			var trace bytes.Buffer
			asExpected, err := kqsurvey.Record(&trace, kind, seed, index, kqdocument.PreferTakingBack)
			if err != nil {
				return err
			}
			if asExpected && (shortest == nil || trace.Len() < len(shortest)) {
				shortest = trace.Bytes()
			}
		}
		name := filepath.Join(directory, "rollout_"+strings.ReplaceAll(string(kind), ".", "_")+".jsonl")
		if err := os.WriteFile(name, shortest, 0o644); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

// printSurvey prints one line per policy and, below it, one per kind of rollout.
func (c *Command) printSurvey(report kqsurvey.Report) {
	for _, p := range report.Policies {
		fmt.Fprintf(c.out, "%s by %s: %.1f%% of %d good versions on time, %.1f%% of %d bad versions taken back, largest share of a bad version %.1f%%, %.0f s from detectable to no traffic (p99)\n",
			p.Policy, p.Decider, 100*p.GoodOnTimeShare, p.Good, 100*p.BadRolledBackShare, p.Bad, 100*p.BadShareMax, p.SecondsAfterDetection)
		for _, k := range p.Kinds {
			fmt.Fprintf(c.out, "  %-22s %4d  right %5.1f%%  share %5.1f%%  over 5%%: %2d  from detectable to no traffic (p99) %5.0f s %6.0f calls\n",
				k.Kind, k.Count, 100*k.CorrectShare, 100*k.ShareMax, k.OverShareBound, k.SecondsP99, k.CallsP99)
		}
	}
}
