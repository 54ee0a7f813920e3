package kqcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
)

const watchEvery = time.Second

func (c *Command) addRollout() {
	parent := c.app.Command("rollout", "Show moves of traffic between upstream versions.")
	status := parent.Command("status", "Tell each move's state, why, and on which evidence.")
	access := accessFlags(status)
	watch := status.Flag("watch", "Print each change until all moves have ended.").Bool()
	asJSON := status.Flag("json", "Print JSON.").Bool()
	c.add(status, func(ctx context.Context) error {
		client, err := kqclient.New(*access)
		if err != nil {
			return fmt.Errorf("show rollouts: %w", err)
		}
		last := ""
		for {
			list, err := rollouts(ctx, client)
			if err != nil {
				return err
			}
			if text := states(list); text != last {
				last = text
				if err := c.printRollouts(list, *asJSON); err != nil {
					return err
				}
			}
			if !*watch || ended(list) {
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(watchEvery):
			}
		}
	})
}

func rollouts(ctx context.Context, client *kqclient.Client) ([]kqboard.Status, error) {
	var answer kqapi.RolloutStates
	if err := client.Get(ctx, kqapi.Prefix+"/rollout-states", &answer); err != nil {
		return nil, fmt.Errorf("ask for rollouts: %w", err)
	}
	return answer.Rollouts, nil
}

func (c *Command) printRollouts(list []kqboard.Status, asJSON bool) error {
	if asJSON {
		return c.print(list)
	}
	for _, s := range list {
		e := s.Evidence
		fmt.Fprintf(c.out, "%s: %s %s to %s, %s, step %d, share %.2f; %s; new %d calls, %d failed; old %d calls, %d failed\n",
			s.Rollout, s.Service, s.From, s.To, s.State, s.Step, s.Share, s.Why, e.NewCalls, e.NewFailed, e.OldCalls, e.OldFailed)
	}
	return nil
}

// states is what a watcher wants to hear of: not each further call.
func states(list []kqboard.Status) string {
	text := ""
	for _, s := range list {
		text += fmt.Sprintf("%s %s %d;", s.Rollout, s.State, s.Step)
	}
	return text
}

func ended(list []kqboard.Status) bool {
	for _, s := range list {
		if s.State == kqboard.Pending || s.State == kqboard.Running {
			return false
		}
	}
	return true
}
