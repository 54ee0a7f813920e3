package kqcommand

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
)

// status holds the content of the status command; its JSON form is for scripts.
type status struct {
	Convergence kqview.Convergence `json:"convergence"`
	Fleet       kqview.Fleet       `json:"fleet"`
	Rollouts    []kqtracker.Status `json:"rollouts"`
	Platform    kqview.Platform    `json:"platform"`
}

func (c *Command) addStatus() {
	clause := c.app.Command("status", "Show the fleet, its versions and its rollouts.")
	access := addAccessFlags(clause)
	watch := clause.Flag("watch", "Show the status again every second.").Bool()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	c.register(clause, func(ctx context.Context) error {
		client, err := kqclient.New(*access)
		if err != nil {
			return fmt.Errorf("show status: %w", err)
		}
		for {
			s, err := fetchStatus(ctx, client)
			if err != nil {
				return fmt.Errorf("show status: %w", err)
			}
			if err := c.printStatus(s, *asJSON); err != nil {
				return err
			}
			if !*watch {
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

func fetchStatus(ctx context.Context, client *kqclient.Client) (status, error) {
	var s status
	if err := client.Get(ctx, kqapi.Prefix+"/fleet", &s.Fleet); err != nil {
		return s, err
	}
	if err := client.Get(ctx, kqapi.Prefix+"/platform", &s.Platform); err != nil {
		return s, err
	}
	if s.Platform.Reachable {
		if err := client.Get(ctx, kqapi.Prefix+"/convergence", &s.Convergence); err != nil {
			return s, err
		}
	}
	var rollouts kqapi.RolloutStates
	err := client.Get(ctx, kqapi.Prefix+"/rollout-states", &rollouts)
	s.Rollouts = rollouts.Rollouts
	return s, err
}

func (c *Command) printStatus(s status, asJSON bool) error {
	if asJSON {
		return c.printJSON(s)
	}
	v := s.Convergence
	if s.Platform.Reachable {
		fmt.Fprintf(c.out, "version %d by %s (%s): %d of %d nodes have it\n", v.Version, v.Author, v.Reason, v.Have, v.Nodes)
	} else {
		fmt.Fprintf(c.out, "the platform's service does not answer: %s\n", s.Platform.Error)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nNODE\tSTATE\tVERSION\tBEHIND\tDOMAIN\tUPSTREAMS")
	for _, m := range s.Fleet.Members {
		var upstreams []string
		for _, u := range m.Upstreams {
			upstreams = append(upstreams, fmt.Sprintf("%s %s", u.Service, u.Version))
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\n", m.Node, m.State, m.Version, m.Behind, m.Domain, strings.Join(upstreams, ", "))
	}
	if len(s.Rollouts) > 0 {
		fmt.Fprintln(table, "\nMOVE\tSTATE\tSHARE\tSERVICE\tFROM\tTO\tWHY")
	}
	for _, r := range s.Rollouts {
		fmt.Fprintf(table, "%s\t%s\t%.0f%%\t%s\t%s\t%s\t%s\n", r.Rollout, r.State, 100*r.Share, r.Service, r.From, r.To, r.Why)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	return nil
}
