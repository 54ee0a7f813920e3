package kqcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// stdinFile is the file name that means the standard input.
const stdinFile = "-"

// changeOptions holds the flags and arguments of a command that changes an item.
type changeOptions struct {
	access           *kqclient.Access
	kind, name       *string
	id, reason, base *string
	dryRun           *bool
}

// addItem adds the commands that read or change single items of the document through
// the administration API, with an operator's token. The document commands instead
// access the platform directly.
func (c *Command) addItem() {
	parent := c.app.Command("item", "List, show, put and delete services, routes, rollouts, policies, teams, evacuations and workspaces by the administration API.")
	c.addItemShow(parent)
	c.addItemPut(parent)
	c.addItemDelete(parent)
}

func (c *Command) addItemShow(parent *kingpin.CmdClause) {
	clause := parent.Command("show", "Print the items of a kind, or one of them.")
	access := addAccessFlags(clause)
	kind := addKindArgument(clause)
	name := clause.Arg("name", "Name of the item; if omitted, all items of the kind are printed.").String()
	c.register(clause, func(ctx context.Context) error {
		path := kqapi.Prefix + "/" + *kind
		if *name != "" {
			path += "/" + url.PathEscape(*name)
		}
		var answer any
		if err := c.callAPI(ctx, *access, http.MethodGet, path, nil, &answer); err != nil {
			return err
		}
		return c.printJSON(answer)
	})
}

func (c *Command) addItemPut(parent *kingpin.CmdClause) {
	clause := parent.Command("put", "Add or replace an item.")
	f := addChangeFlags(clause)
	file := clause.Arg("file", "JSON file with the item; - reads the standard input.").Default(stdinFile).String()
	c.register(clause, func(ctx context.Context) error {
		data, err := readItem(*file)
		if err != nil {
			return err
		}
		change := kqapi.ItemChange{Change: kqapi.Change{RequestID: *f.id, Reason: *f.reason}, Item: data}
		if *f.base != "" {
			base, err := strconv.ParseUint(*f.base, 10, 64)
			if err != nil {
				return fmt.Errorf("read base: %w", err)
			}
			version := kqname.ConfigVersion(base)
			change.Base = &version
		}
		return c.changeItem(ctx, f, http.MethodPut, url.Values{}, change)
	})
}

func (c *Command) addItemDelete(parent *kingpin.CmdClause) {
	clause := parent.Command("delete", "Remove an item.")
	f := addChangeFlags(clause)
	c.register(clause, func(ctx context.Context) error {
		query := url.Values{"request_id": {*f.id}, "reason": {*f.reason}}
		if *f.base != "" {
			query.Set("base", *f.base)
		}
		return c.changeItem(ctx, f, http.MethodDelete, query, nil)
	})
}

// changeItem sends a change of an item and prints its result.
func (c *Command) changeItem(ctx context.Context, f changeOptions, method string, query url.Values, body any) error {
	if *f.dryRun {
		query.Set("dry_run", "true")
	}
	path := kqapi.Prefix + "/" + *f.kind + "/" + url.PathEscape(*f.name)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var result kqchange.Result
	if err := c.callAPI(ctx, *f.access, method, path, body, &result); err != nil {
		return err
	}
	return c.printJSON(result)
}

// callAPI calls the administration API, and prints every error of a request that it
// refuses.
func (c *Command) callAPI(ctx context.Context, access kqclient.Access, method, path string, body, value any) error {
	client, err := kqclient.New(access)
	if err != nil {
		return fmt.Errorf("call administration API: %w", err)
	}
	err = client.Do(ctx, method, path, body, value)
	var p *kqproblem.Problem
	if errors.As(err, &p) {
		for _, f := range p.Errors {
			fmt.Fprintf(c.errors, "%s: %s\n", f.Pointer, f.Detail)
		}
	}
	if err != nil {
		return fmt.Errorf("call administration API: %w", err)
	}
	return nil
}

// addChangeFlags adds the flags and arguments that put and delete share.
func addChangeFlags(clause *kingpin.CmdClause) changeOptions {
	return changeOptions{
		access: addAccessFlags(clause),
		id:     clause.Flag("request-id", "Id of this change; a change repeated with the same id takes effect once.").Default(uuid.NewString()).String(),
		reason: clause.Flag("reason", "Reason of the change, shown in the history.").Required().String(),
		base:   clause.Flag("base", "Version that was edited; the change fails if another is in force.").String(),
		dryRun: clause.Flag("dry-run", "Only show what would change.").Bool(),
		kind:   addKindArgument(clause),
		name:   clause.Arg("name", "The item's name.").Required().String(),
	}
}

func addKindArgument(clause *kingpin.CmdClause) *string {
	return clause.Arg("kind", "services, routes, rollouts, policies, teams, evacuations or workspaces.").Required().
		Enum("services", "routes", "rollouts", "policies", "teams", "evacuations", "workspaces")
}

func readItem(file string) (json.RawMessage, error) {
	if file == stdinFile {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read item: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read item: %w", err)
	}
	return data, nil
}
