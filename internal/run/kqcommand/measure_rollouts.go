package kqcommand

import (
	"context"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsurvey"
)

func (c *Command) addMeasureRollouts() {
	clause := c.measure.Command("rollouts", "Play seeded rollouts of good and bad versions in virtual time.")
	seed := clause.Flag("seed", "Seed; equal seeds give equal reports.").Default("1").Uint64()
	count := clause.Flag("count", "Rollouts for each policy.").Default("1000").Int()
	workers := clause.Flag("workers", "Rollouts played at a time.").Default("4").Int()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	file := plotFlag(clause)
	c.add(clause, func(context.Context) error {
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

func (c *Command) printSurvey(report kqsurvey.Report) {
	for _, p := range report.Policies {
		fmt.Fprintf(c.out, "%s by %s: %.1f%% of %d good on time, %.1f%% of %d bad taken back, largest bad share %.1f%%, %.0f s after showing (p99)\n",
			p.Policy, p.Decider, 100*p.GoodOnTime, p.Good, 100*p.BadTakenBack, p.Bad, 100*p.BadShareMax, p.SecondsAfterShowing)
		for _, k := range p.Kinds {
			fmt.Fprintf(c.out, "  %-22s %4d  right %5.1f%%  share %5.1f%%  after showing (p99) %5.0f s %6.0f calls\n",
				k.Kind, k.Count, 100*k.Right, 100*k.ShareMax, k.SecondsP99, k.CallsP99)
		}
	}
}
