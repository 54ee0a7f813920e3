package kqcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
)

// watchInterval is the interval at which --watch fetches the state again.
const watchInterval = time.Second

func (c *Command) addRollout() {
	parent := c.app.Command("rollout", "Show rollouts, which shift traffic between upstream versions.")
	status := parent.Command("status", "Show each rollout's state, the reason for it and the evidence.")
	access := addAccessFlags(status)
	watch := status.Flag("watch", "Print each change of state or step until all rollouts have ended.").Bool()
	asJSON := status.Flag("json", "Print JSON.").Bool()
	c.register(status, func(ctx context.Context) error {
		client, err := kqclient.New(*access)
		if err != nil {
			return fmt.Errorf("show rollouts: %w", err)
		}
		last := ""
		for {
			list, err := fetchRollouts(ctx, client)
			if err != nil {
				return err
			}
			if text := stateSummary(list); text != last {
				last = text
				if err := c.printRollouts(list, *asJSON); err != nil {
					return err
				}
			}
			if !*watch || allEnded(list) {
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(watchInterval):
			}
		}
	})
}

func fetchRollouts(ctx context.Context, client *kqclient.Client) ([]kqtracker.Status, error) {
	var answer kqapi.RolloutStates
	if err := client.Get(ctx, kqapi.Prefix+"/rollout-states", &answer); err != nil {
		return nil, fmt.Errorf("get rollouts: %w", err)
	}
	return answer.Rollouts, nil
}

func (c *Command) printRollouts(list []kqtracker.Status, asJSON bool) error {
	if asJSON {
		return c.printJSON(list)
	}
	for _, s := range list {
		e := s.Evidence
		fmt.Fprintf(c.out, "%s: %s %s to %s, %s, step %d, share %.2f; %s; new %d calls, %d failed; old %d calls, %d failed\n",
			s.Rollout, s.Service, s.From, s.To, s.State, s.Step, s.Share, s.Why, e.NewCalls, e.NewFailed, e.OldCalls, e.OldFailed)
	}
	return nil
}

// stateSummary returns the states and steps of all rollouts. --watch prints the
// rollouts again only if this summary changes, not when only the counts of calls do.
func stateSummary(list []kqtracker.Status) string {
	text := ""
	for _, s := range list {
		text += fmt.Sprintf("%s %s %d;", s.Rollout, s.State, s.Step)
	}
	return text
}

// allEnded reports whether no rollout is pending or running.
func allEnded(list []kqtracker.Status) bool {
	for _, s := range list {
		if s.State == kqtracker.Pending || s.State == kqtracker.Running {
			return false
		}
	}
	return true
}
