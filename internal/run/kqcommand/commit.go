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

// leastAge is the youngest that collection may take: nodes may still be
// fetching what a root named that was replaced just now.
const leastAge = time.Hour

func (c *Command) addCommit(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("commit", "Put a document in force.")
	file := clause.Arg("file", "JSON file.").Required().String()
	base := clause.Flag("base", "Version that was edited; the commit fails if another is in force.").Required().Uint64()
	author := clause.Flag("author", "Who commits.").Default(os.Getenv("USER")).String()
	reason := clause.Flag("reason", "Why.").Required().String()
	id := clause.Flag("request-id", "Name of this change; the same name is committed once.").String()
	c.add(clause, func(ctx context.Context) error {
		d, err := c.readDocument(*file)
		if err != nil {
			return err
		}
		if *id == "" {
			// Told before anything is sent: whoever is cut off can still ask.
			*id = uuid.NewString()
			fmt.Fprintf(c.errors, "request id %s\n", *id)
		}
		o, err := committer(*url).Commit(ctx, kqcommit.Request{
			ID: *id, Base: kqname.ConfigVersion(*base), Author: *author, Reason: *reason, At: time.Now(), Document: d,
		})
		if errors.Is(err, kqcommit.ErrRequest) || errors.Is(err, kqcommit.ErrReused) {
			return err
		}
		if err != nil {
			return fmt.Errorf("nothing was put in force by this call; to ask again, commit with --request-id %s: %w", *id, err)
		}
		return c.printOutcome(o)
	})
}

func (c *Command) addSettle(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("settle", "Tell how a commit ended whose answer was lost.")
	id := clause.Arg("request-id", "The commit's request id.").Required().String()
	c.add(clause, func(ctx context.Context) error {
		o, err := committer(*url).Settle(ctx, *id)
		if err != nil {
			return err
		}
		return c.printOutcome(o)
	})
}

func (c *Command) addHistory(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("history", "Tell who committed what, when and why, newest first.")
	most := clause.Flag("most", "Versions to print.").Default("20").Int()
	c.add(clause, func(ctx context.Context) error {
		list, err := committer(*url).History(ctx, *most)
		for _, p := range list {
			r := p.Root
			fmt.Fprintf(c.out, "%d\t%s\t%s\t%q\t%s\n", r.Version, r.At.Format(time.RFC3339), r.Author, r.Reason, r.RequestID)
		}
		return err
	})
}

func (c *Command) addCollect(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("collect", "Delete objects that no version names which is in force or was replaced lately.")
	age := clause.Flag("older-than", "Least time since the version was replaced, 1h or more.").Default("24h").Duration()
	c.add(clause, func(ctx context.Context) error {
		if *age < leastAge {
			return fmt.Errorf("collect: --older-than %v is under %v", *age, leastAge)
		}
		store := kqstoreclient.New(*url)
		done, err := kqcommit.New(store).Collect(ctx, store, time.Now().Add(-*age))
		if err != nil {
			return err
		}
		return c.print(done)
	})
}

func (c *Command) printOutcome(o kqcommit.Outcome) error {
	if err := c.print(o); err != nil {
		return err
	}
	if o.Status != kqcommit.Committed {
		return fmt.Errorf("commit %s ended as %s", o.RequestID, o.Status)
	}
	return nil
}
