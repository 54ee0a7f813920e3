package kqcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
)

const (
	adminFlag    = "http://127.0.0.1:8084"
	adminTimeout = 5 * time.Second
	watchEvery   = time.Second
)

func (c *Command) addRollout() {
	parent := c.app.Command("rollout", "Show moves of traffic between upstream versions.")
	status := parent.Command("status", "Tell each move's state, why, and on which evidence.")
	url := status.Flag("admin", "URL of a node's admin server.").Default(adminFlag).String()
	watch := status.Flag("watch", "Print each change until all moves have ended.").Bool()
	asJSON := status.Flag("json", "Print JSON.").Bool()
	c.add(status, func(ctx context.Context) error {
		last := ""
		for {
			list, err := rollouts(ctx, *url)
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

func rollouts(ctx context.Context, url string) ([]kqboard.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/rollouts", nil)
	if err != nil {
		return nil, fmt.Errorf("ask for rollouts: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask for rollouts: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var list []kqboard.Status
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, fmt.Errorf("read rollouts, status %d: %w", resp.StatusCode, err)
	}
	return list, nil
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
