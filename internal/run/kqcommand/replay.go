package kqcommand

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqplayers"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

var errReplayFailed = errors.New("replay failed")

func (c *Command) addReplay() {
	clause := c.app.Command("replay", "Run recorded traces through the decision packages and check their outcomes.")
	files := clause.Arg("file", "Traces as JSON lines; see docs/TRACES.md.").Required().Strings()
	explain := clause.Flag("explain", "Print each decision and its reason.").Bool()
	c.register(clause, func(ctx context.Context) error {
		failed := 0
		for _, file := range *files {
			if ctx.Err() != nil {
				return fmt.Errorf("replay: %w", ctx.Err())
			}
			if err := c.replay(file, *explain); err != nil {
				fmt.Fprintln(c.errors, err)
				failed++
			}
		}
		if failed > 0 {
			return fmt.Errorf("%d of %d traces: %w", failed, len(*files), errReplayFailed)
		}
		return nil
	})
}

func (c *Command) replay(file string, explain bool) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer func() { _ = f.Close() }()
	t, err := kqreplay.Read(file, f)
	if err != nil {
		return err
	}
	players := kqplayers.All()
	maker, ok := players[t.Decision]
	if !ok {
		known := strings.Join(slices.Sorted(maps.Keys(players)), ", ")
		return fmt.Errorf("%s:1: %w: unknown decision %q, known are %s", file, kqreplay.ErrMalformed, t.Decision, known)
	}
	met, err := t.Run(maker, func(line int, at time.Duration, d kqreplay.Decision) {
		if explain {
			fmt.Fprintf(c.out, "%s:%d: %v: %s: %s\n", file, line, at, d.Text, d.Reason)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %d outcomes held\n", file, met)
	return nil
}
