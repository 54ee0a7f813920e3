package kqcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// defaultPlatformURL is the URL of the stand-in for the platform at its default listen
// address.
const defaultPlatformURL = "http://127.0.0.1:7070"

var errInvalidDocument = errors.New("document has problems")

func (c *Command) addDocument() {
	parent := c.app.Command("document", "Validate, compare, commit and show the configuration document.")
	url := parent.Flag("platform", "URL of the platform's key-value service.").Default(defaultPlatformURL).String()
	c.addValidate(parent)
	c.addSchema(parent)
	c.addDiff(parent, url)
	c.addCommit(parent, url)
	c.addSettle(parent, url)
	c.addShow(parent, url)
	c.addHistory(parent, url)
	c.addCollect(parent, url)
}

func (c *Command) addValidate(parent *kingpin.CmdClause) {
	clause := parent.Command("validate", "Report every problem of a document.")
	file := clause.Arg("file", "JSON file.").Required().String()
	c.register(clause, func(context.Context) error {
		if _, err := c.readDocument(*file); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s is sound.\n", *file)
		return nil
	})
}

func (c *Command) addSchema(parent *kingpin.CmdClause) {
	clause := parent.Command("schema", "Print the JSON schema of a document.")
	c.register(clause, func(context.Context) error {
		if _, err := c.out.Write(kqdocument.Schema()); err != nil {
			return fmt.Errorf("print schema: %w", err)
		}
		return nil
	})
}

func (c *Command) addDiff(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("diff", "Show what a document would change; the exit status is 1 if it would change anything.")
	file := clause.Arg("file", "JSON file.").Required().String()
	base := clause.Arg("base", "JSON file to compare with; if omitted, the document in force.").String()
	c.register(clause, func(ctx context.Context) error {
		d, err := c.readDocument(*file)
		if err != nil {
			return err
		}
		before, err := c.baseDocument(ctx, *base, *url)
		if err != nil {
			return err
		}
		changes := kqdocument.Diff(before, d)
		for _, ch := range changes {
			fmt.Fprintf(c.out, "%s %s\n", ch.Kind, ch.Item)
			printItem(c.out, "-", ch.Before)
			printItem(c.out, "+", ch.After)
		}
		if len(changes) > 0 {
			return fmt.Errorf("%s: %d items differ", *file, len(changes))
		}
		return nil
	})
}

// baseDocument reads the document to compare with, from the file or, without one,
// from the platform.
func (c *Command) baseDocument(ctx context.Context, file, url string) (kqdocument.Document, error) {
	if file != "" {
		return c.readDocument(file)
	}
	d, _, err := newCommitter(url).Document(ctx)
	return d, err
}

func (c *Command) addShow(parent *kingpin.CmdClause, url *string) {
	clause := parent.Command("show", "Print the document in force or a past version of it.")
	version := clause.Flag("config-version", "Version to print; 0 prints the one in force.").Default("0").Uint64()
	c.register(clause, func(ctx context.Context) error {
		d, root, err := newCommitter(*url).Document(ctx)
		if *version != 0 {
			root.Version = kqname.ConfigVersion(*version)
			d, err = newCommitter(*url).DocumentAt(ctx, root.Version)
		}
		if err != nil {
			return err
		}
		return c.printJSON(struct {
			Version  kqname.ConfigVersion `json:"version"`
			Document kqdocument.Document  `json:"document"`
		}{root.Version, d})
	})
}

// readDocument reads and validates a document, and prints its problems.
func (c *Command) readDocument(file string) (kqdocument.Document, error) {
	f, err := os.Open(file)
	if err != nil {
		return kqdocument.Document{}, fmt.Errorf("read document: %w", err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, kqdocument.MaxBytes+1))
	if err != nil {
		return kqdocument.Document{}, fmt.Errorf("read document: %w", err)
	}
	d, err := kqdocument.Parse(data)
	if err != nil {
		return d, fmt.Errorf("%s: %w", file, err)
	}
	return d, c.printProblems(file, kqdocument.Validate(d))
}

// printProblems prints a document's problems and returns an error with their number if
// there are any.
func (c *Command) printProblems(file string, problems []kqdocument.Problem) error {
	for _, p := range problems {
		fmt.Fprintf(c.errors, "%s: %v\n", file, p)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%s, %d: %w", file, len(problems), errInvalidDocument)
	}
	return nil
}

func (c *Command) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// printItem prints one side of a changed item, if it has that side.
func printItem(w io.Writer, sign string, item json.RawMessage) {
	if item != nil {
		fmt.Fprintf(w, "%s %s\n", sign, item)
	}
}

func newCommitter(url string) *kqcommit.Committer { return kqcommit.New(kqstoreclient.New(url)) }
