package kqcommand

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsurvey"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqworld"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// recordTries is how many rollouts of a kind are played for its trace.
const recordTries = 40

func (c *Command) addMeasureRollouts() {
	clause := c.measure.Command("rollouts", "Play seeded rollouts of good and bad versions in virtual time.")
	seed := clause.Flag("seed", "Seed; equal seeds give equal reports.").Default("1").Uint64()
	count := clause.Flag("count", "Rollouts for each policy.").Default("1000").Int()
	workers := clause.Flag("workers", "Rollouts played at a time.").Default("4").Int()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	file := plotFlag(clause)
	record := clause.Flag("record", "Write a short trace of each kind into this directory instead.").String()
	c.add(clause, func(context.Context) error {
		if *record != "" {
			return recordRollouts(*record, *seed)
		}
		report := kqsurvey.New(*seed, kqsurvey.WithCount(*count), kqsurvey.WithWorkers(*workers)).Run()
		if err := c.draw(*file, rolloutsPlot(report)); err != nil {
			return err
		}
		if *asJSON {
			return c.print(report)
		}
		c.printSurvey(report)
		return nil
	})
}

// recordRollouts writes, of a few rollouts of each kind that ended as they
// should, the one with the shortest trace.
func recordRollouts(directory string, seed uint64) error {
	for _, kind := range kqworld.Kinds {
		var shortest []byte
		for index := range uint64(recordTries) {
			var trace bytes.Buffer
			right, err := kqsurvey.Record(&trace, kind, seed, index, kqdocument.PreferTakingBack)
			if err != nil {
				return err
			}
			if right && (shortest == nil || trace.Len() < len(shortest)) {
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

func (c *Command) printSurvey(report kqsurvey.Report) {
	for _, p := range report.Policies {
		fmt.Fprintf(c.out, "%s by %s: %.1f%% of %d good on time, %.1f%% of %d bad taken back, largest bad share %.1f%%, %.0f s after showing (p99)\n",
			p.Policy, p.Decider, 100*p.GoodOnTime, p.Good, 100*p.BadTakenBack, p.Bad, 100*p.BadShareMax, p.SecondsAfterShowing)
		for _, k := range p.Kinds {
			fmt.Fprintf(c.out, "  %-22s %4d  right %5.1f%%  share %5.1f%%  over 5%%: %2d  after showing (p99) %5.0f s %6.0f calls\n",
				k.Kind, k.Count, 100*k.Right, 100*k.ShareMax, k.Over, k.SecondsP99, k.CallsP99)
		}
	}
}
