package kqcommand

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakrun"
)

// maxSoakNodes keeps a run small enough for one server: it starts two processes for
// each node.
const maxSoakNodes = 200

func (c *Command) addSoak() {
	clause := c.app.Command("soak", "Run a fleet of processes on this server, inject faults, and check what callers and upstreams observe; the exit status is 1 if an invariant is violated.")
	seed := clause.Flag("seed", "Seed of the faults; the same seed gives the same faults. 0 picks a random seed.").Default("0").Uint64()
	length := clause.Flag("for", "Period in which faults begin; start-up, the last faults and recovery take additional time.").Default("30s").Duration()
	nodes := clause.Flag("nodes", "Number of nodes, each with an upstream.").Default("4").Int()
	planned := clause.Flag("planned", "Run planned operations only, without failures.").Bool()
	folder := clause.Flag("folder", "Directory for the timeline, the report and each process's output; if omitted, they are kept only if the run fails.").String()
	asJSON := clause.Flag("json", "Print one JSON object.").Bool()
	c.register(clause, func(ctx context.Context) error {
		if *nodes < 2 || *nodes > maxSoakNodes {
			return fmt.Errorf("soak: --nodes %d is not from 2 to %d", *nodes, maxSoakNodes)
		}
		if *length < time.Second {
			return fmt.Errorf("soak: --for %v is under 1s", *length)
		}
		if *seed == 0 {
			*seed = rand.Uint64N(1 << 32)
		}
		o := kqsoak.Options{Seed: *seed, Nodes: *nodes, For: *length, PlannedOnly: *planned}
		return c.soak(ctx, o, *folder, *asJSON)
	})
}

func (c *Command) soak(ctx context.Context, o kqsoak.Options, folder string, asJSON bool) error {
	kept := folder != ""
	if !kept {
		var err error
		if folder, err = os.MkdirTemp("", "kumquatgw-soak-"); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	repeatCommand := fmt.Sprintf("kumquatgw soak --seed %d --for %v --nodes %d", o.Seed, o.For, o.Nodes)
	if o.PlannedOnly {
		repeatCommand += " --planned"
	}
	s, err := kqsoakrun.New(o, folder, repeatCommand)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	report, err := s.Run(ctx)
	if err == nil && !kept {
		err = os.RemoveAll(folder)
		report.Folder = ""
	}
	if err != nil {
		err = fmt.Errorf("soak with seed %d, output kept in %s: %w", o.Seed, folder, err)
	}
	if asJSON {
		return errors.Join(err, c.printJSON(report))
	}
	for _, v := range report.Violations {
		fmt.Fprintf(c.out, "%s at %.3f s: %s\n", v.Kind, v.At.Seconds(), v.Text)
	}
	fmt.Fprintf(c.out, "%s: %.0f s, faults %v, calls %+v\n", repeatCommand, report.Seconds, report.Faults, report.Calls)
	return err
}
