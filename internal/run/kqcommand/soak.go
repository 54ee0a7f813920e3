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

// mostSoakNodes keeps a run within one machine: two processes a node.
const mostSoakNodes = 200

func (c *Command) addSoak() {
	clause := c.app.Command("soak", "Run a fleet of processes on this machine through faults, and check what callers and upstreams see; exit 1 if anything that must hold did not.")
	seed := clause.Flag("seed", "Seed of the faults; the same one plays the same faults. 0 draws one.").Default("0").Uint64()
	length := clause.Flag("for", "Time in which faults begin; start, the last faults and recovery come on top.").Default("30s").Duration()
	nodes := clause.Flag("nodes", "Nodes, each with an upstream.").Default("4").Int()
	planned := clause.Flag("planned", "Play planned work only.").Bool()
	folder := clause.Flag("folder", "Folder for the time line, the report and each process's output; without one, they are kept only if something did not hold.").String()
	asJSON := clause.Flag("json", "Print one JSON object.").Bool()
	c.add(clause, func(ctx context.Context) error {
		if *nodes < 2 || *nodes > mostSoakNodes {
			return fmt.Errorf("soak: --nodes %d is not from 2 to %d", *nodes, mostSoakNodes)
		}
		if *length < time.Second {
			return fmt.Errorf("soak: --for %v is under 1s", *length)
		}
		if *seed == 0 {
			*seed = rand.Uint64N(1 << 32)
		}
		o := kqsoak.Options{Seed: *seed, Nodes: *nodes, For: *length, Planned: *planned}
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
	again := fmt.Sprintf("kumquatgw soak --seed %d --for %v --nodes %d", o.Seed, o.For, o.Nodes)
	if o.Planned {
		again += " --planned"
	}
	s, err := kqsoakrun.New(o, folder, again)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	report, err := s.Run(ctx)
	if err == nil && !kept {
		err = os.RemoveAll(folder)
		report.Folder = ""
	}
	if err != nil {
		err = fmt.Errorf("soak with seed %d, kept in %s: %w", o.Seed, folder, err)
	}
	if asJSON {
		return errors.Join(err, c.print(report))
	}
	for _, v := range report.Violations {
		fmt.Fprintf(c.out, "%s at %.3f s: %s\n", v.Kind, v.At.Seconds(), v.Text)
	}
	fmt.Fprintf(c.out, "%s: %.0f s, faults %v, calls %+v\n", again, report.Seconds, report.Faults, report.Calls)
	return err
}
