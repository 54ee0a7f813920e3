package kqcommand

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
)

const requestsPath = kqapi.Prefix + "/suspect-requests"

func (c *Command) addRequests() {
	parent := c.app.Command("requests", "Show and clear requests under which upstreams ended.")
	list := parent.Command("list", "List the requests with the upstreams that ended.")
	listAccess := addAccessFlags(list)
	asJSON := list.Flag("json", "Print JSON.").Bool()
	c.register(list, func(ctx context.Context) error {
		client, err := kqclient.New(*listAccess)
		if err != nil {
			return fmt.Errorf("list requests: %w", err)
		}
		var answer kqapi.SuspectRequests
		if err := client.Get(ctx, requestsPath, &answer); err != nil {
			return fmt.Errorf("list requests: %w", err)
		}
		if *asJSON {
			return c.printJSON(answer)
		}
		return c.printRequests(answer.Requests)
	})
	clearance := parent.Command("clear", "Make all nodes send a request again.")
	clearAccess := addAccessFlags(clearance)
	name := clearance.Arg("request", "The request as list and log lines name it.").Required().String()
	c.register(clearance, func(ctx context.Context) error {
		found, err := kqfingerprint.Parse(*name)
		if err != nil {
			return fmt.Errorf("clear request: %w", err)
		}
		client, err := kqclient.New(*clearAccess)
		if err != nil {
			return fmt.Errorf("clear request: %w", err)
		}
		var answer kqapi.ClearedRequest
		if err := client.Do(ctx, http.MethodDelete, requestsPath+"/"+found.String(), nil, &answer); err != nil {
			return fmt.Errorf("clear request: %w", err)
		}
		fmt.Fprintf(c.out, "request %s is cleared\n", answer.Request)
		return nil
	})
}

func (c *Command) printRequests(list []kqview.SuspectRequest) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST\tSTATE\tSERVICE\tROUTE\tUPSTREAMS THAT ENDED BESIDE")
	for _, r := range list {
		state, nodes := "suspected", make([]string, 0, len(r.Ends))
		if r.Refused {
			state = "refused"
		}
		for _, e := range r.Ends {
			nodes = append(nodes, string(e.Node))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", r.Request, state, r.Service, r.Route, strings.Join(nodes, ", "))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print requests: %w", err)
	}
	return nil
}
