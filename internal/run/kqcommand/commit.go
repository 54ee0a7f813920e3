package kqcommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// minCollectAge is the least time after which objects of a replaced version may be
// deleted: nodes may still be fetching those of a version that was just replaced.
const minCollectAge = time.Hour

func (c *Command) addCommit(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("commit", "Commit a document, which puts it in force.")
	file := clause.Arg("file", "JSON file.").Required().String()
	base := clause.Flag("base", "Version that was edited; the commit fails if another is in force.").Required().Uint64()
	author := clause.Flag("author", "Author of the commit, shown in the history.").Default(os.Getenv("USER")).String()
	reason := clause.Flag("reason", "Reason of the commit, shown in the history.").Required().String()
	id := clause.Flag("request-id", "Id of this commit; a commit repeated with the same id takes effect once.").String()
	c.register(clause, func(ctx context.Context) error {
		d, err := c.readDocument(*file)
		if err != nil {
			return err
		}
		if *id == "" {
			// Printed before the request is sent, so that the outcome can be queried
			// if the connection is lost.
			*id = uuid.NewString()
			fmt.Fprintf(c.errors, "request id %s\n", *id)
		}
		outcome, err := newCommitter(*url).Commit(ctx, kqcommit.Request{
			ID: *id, Base: kqname.ConfigVersion(*base), Author: *author, Reason: *reason, At: time.Now(), Document: d,
		})
		if errors.Is(err, kqcommit.ErrInvalidRequest) || errors.Is(err, kqcommit.ErrRequestIDReused) {
			return err
		}
		if err != nil {
			return fmt.Errorf("nothing was put in force by this call; to ask again, commit with --request-id %s: %w", *id, err)
		}
		return c.printOutcome(outcome)
	})
}

func (c *Command) addSettle(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("settle", "Show the outcome of a commit whose answer was lost.")
	id := clause.Arg("request-id", "The commit's request id.").Required().String()
	c.register(clause, func(ctx context.Context) error {
		outcome, err := newCommitter(*url).ResolveOutcome(ctx, *id)
		if err != nil {
			return err
		}
		return c.printOutcome(outcome)
	})
}

func (c *Command) addHistory(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("history", "List the committed versions with time, author and reason, newest first.")
	limit := clause.Flag("most", "Largest number of versions to print.").Default("20").Int()
	c.register(clause, func(ctx context.Context) error {
		list, err := newCommitter(*url).History(ctx, *limit)
		for _, p := range list {
			r := p.Root
			fmt.Fprintf(c.out, "%d\t%s\t%s\t%q\t%s\n", r.Version, r.At.Format(time.RFC3339), r.Author, r.Reason, r.RequestID)
		}
		return err
	})
}

func (c *Command) addCollect(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("collect", "Delete objects that neither the version in force nor a recently replaced one refers to.")
	minAge := clause.Flag("older-than", "Minimum time since a version was replaced, 1h or more.").Default("24h").Duration()
	c.register(clause, func(ctx context.Context) error {
		if *minAge < minCollectAge {
			return fmt.Errorf("collect: --older-than %v is under %v", *minAge, minCollectAge)
		}
		store := kqstoreclient.New(*url)
		result, err := kqcommit.New(store).CollectGarbage(ctx, store, time.Now().Add(-*minAge))
		if err != nil {
			return err
		}
		return c.printJSON(result)
	})
}

// printOutcome prints the outcome of a commit, and returns an error unless the
// document was committed.
func (c *Command) printOutcome(o kqcommit.Outcome) error {
	if err := c.printJSON(o); err != nil {
		return err
	}
	if o.Status != kqcommit.Committed {
		return fmt.Errorf("outcome of commit %s: %s", o.RequestID, o.Status)
	}
	return nil
}
