package kqcommand

import (
	"context"
	"errors"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqdemo"
)

func (c *Command) addDemo() {
	clause := c.app.Command("demo", "Run a small deployment on loopback, in one process.")
	once := clause.Flag("once", "Run it through a script of changes and faults, then exit; the exit status is 1 if an expected outcome is missed.").Bool()
	asJSON := clause.Flag("json", "With --once, print one JSON object.").Bool()
	c.register(clause, func(ctx context.Context) error {
		switch {
		case *once:
			return c.demoOnce(ctx, *asJSON)
		case *asJSON:
			return errors.New("demo: --json needs --once")
		default:
			return kqdemo.New(c.out).Run(ctx)
		}
	})
}

func (c *Command) demoOnce(ctx context.Context, asJSON bool) error {
	report, err := kqdemo.New(c.out, kqdemo.WithProgress(c.errors)).RunScript(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		if err := c.printJSON(report); err != nil {
			return err
		}
		return report.Check()
	}
	for _, o := range report.Outcomes {
		verdict := "held  "
		if !o.Held {
			verdict = "MISSED"
		}
		fmt.Fprintf(c.out, "%s %s: %s\n", verdict, o.Name, o.Observed)
	}
	fmt.Fprintf(c.out, "convergence p99 %.0f ms; calls %+v; rollouts %+v\n", report.Convergence.P99, report.Calls, report.Rollouts)
	return report.Check()
}
