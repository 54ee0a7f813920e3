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

const standardInput = "-"

// itemFlags are the flags of a command that changes an item.
type itemFlags struct {
	access           *kqclient.Access
	kind, name       *string
	id, reason, base *string
	dryRun           *bool
}

// addItem adds the commands that change one item of the document with an
// operator's token; the document commands need the platform itself.
func (c *Command) addItem() {
	parent := c.app.Command("item", "List, show, put and delete services, routes, rollouts, policies and teams by the administration API.")
	c.addItemShow(parent)
	c.addItemPut(parent)
	c.addItemDelete(parent)
}

func (c *Command) addItemShow(parent *kingpin.CmdClause) {
	clause := parent.Command("show", "Print the items of a kind, or one of them.")
	access := accessFlags(clause)
	kind := kindArgument(clause)
	name := clause.Arg("name", "Its name; without one all are printed.").String()
	c.add(clause, func(ctx context.Context) error {
		path := kqapi.Prefix + "/" + *kind
		if *name != "" {
			path += "/" + url.PathEscape(*name)
		}
		var answer any
		if err := c.ask(ctx, *access, http.MethodGet, path, nil, &answer); err != nil {
			return err
		}
		return c.print(answer)
	})
}

func (c *Command) addItemPut(parent *kingpin.CmdClause) {
	clause := parent.Command("put", "Add or replace an item.")
	f := changeFlags(clause)
	file := clause.Arg("file", "JSON of the item; - reads the standard input.").Default(standardInput).String()
	c.add(clause, func(ctx context.Context) error {
		data, err := readInput(*file)
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
	f := changeFlags(clause)
	c.add(clause, func(ctx context.Context) error {
		query := url.Values{"request_id": {*f.id}, "reason": {*f.reason}}
		if *f.base != "" {
			query.Set("base", *f.base)
		}
		return c.changeItem(ctx, f, http.MethodDelete, query, nil)
	})
}

func (c *Command) changeItem(ctx context.Context, f itemFlags, method string, query url.Values, body any) error {
	if *f.dryRun {
		query.Set("dry_run", "true")
	}
	path := kqapi.Prefix + "/" + *f.kind + "/" + url.PathEscape(*f.name)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var result kqchange.Result
	if err := c.ask(ctx, *f.access, method, path, body, &result); err != nil {
		return err
	}
	return c.print(result)
}

// ask asks the API and prints every fault of a refusal.
func (c *Command) ask(ctx context.Context, access kqclient.Access, method, path string, body, value any) error {
	client, err := kqclient.New(access)
	if err != nil {
		return fmt.Errorf("ask API: %w", err)
	}
	err = client.Do(ctx, method, path, body, value)
	var p *kqproblem.Problem
	if errors.As(err, &p) {
		for _, f := range p.Errors {
			fmt.Fprintf(c.errors, "%s: %s\n", f.Pointer, f.Detail)
		}
	}
	if err != nil {
		return fmt.Errorf("ask API: %w", err)
	}
	return nil
}

func changeFlags(clause *kingpin.CmdClause) itemFlags {
	return itemFlags{
		access: accessFlags(clause),
		id:     clause.Flag("request-id", "Name of this change; the same name is committed once.").Default(uuid.NewString()).String(),
		reason: clause.Flag("reason", "Why; it stands in the history.").Required().String(),
		base:   clause.Flag("base", "Version that was edited; the change fails if another is in force.").String(),
		dryRun: clause.Flag("dry-run", "Only tell what would change.").Bool(),
		kind:   kindArgument(clause),
		name:   clause.Arg("name", "The item's name.").Required().String(),
	}
}

func kindArgument(clause *kingpin.CmdClause) *string {
	return clause.Arg("kind", "services, routes, rollouts, policies or teams.").Required().
		Enum("services", "routes", "rollouts", "policies", "teams")
}

func readInput(file string) (json.RawMessage, error) {
	if file == standardInput {
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
