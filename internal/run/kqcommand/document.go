package kqcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/platform/kqstoreclient"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const platformFlag = "http://127.0.0.1:7070"

var errProblems = errors.New("document has problems")

func (c *Command) addDocument() {
	parent := c.app.Command("document", "Check, commit and show the operators' document.")
	url := parent.Flag("platform", "URL of the platform's key-value service.").Default(platformFlag).String()

	validate := parent.Command("validate", "Tell every problem of a document.")
	validateFile := validate.Arg("file", "JSON file.").Required().String()
	c.add(validate, func(context.Context) error {
		_, err := c.readDocument(*validateFile)
		return err
	})

	commit := parent.Command("commit", "Put a document in force.")
	commitFile := commit.Arg("file", "JSON file.").Required().String()
	base := commit.Flag("base", "Version that was edited; the commit fails if another is in force.").Required().Uint64()
	author := commit.Flag("author", "Who commits.").Default(os.Getenv("USER")).String()
	reason := commit.Flag("reason", "Why.").Required().String()
	id := commit.Flag("request-id", "Name of this change; the same name is committed once.").Default(uuid.NewString()).String()
	c.add(commit, func(ctx context.Context) error {
		d, err := c.readDocument(*commitFile)
		if err != nil {
			return err
		}
		o, err := kqcommit.New(kqstoreclient.New(*url)).Commit(ctx, kqcommit.Request{
			ID: *id, Base: kqname.ConfigVersion(*base), Author: *author, Reason: *reason, At: time.Now(), Document: d,
		})
		if err != nil {
			return err
		}
		if err := c.print(o); err != nil {
			return err
		}
		if o.Status != kqcommit.Committed {
			return fmt.Errorf("commit %s ended as %s", o.RequestID, o.Status)
		}
		return nil
	})

	show := parent.Command("show", "Print the document in force.")
	c.add(show, func(ctx context.Context) error {
		d, root, err := kqcommit.New(kqstoreclient.New(*url)).Document(ctx)
		if err != nil {
			return err
		}
		return c.print(struct {
			Version  kqname.ConfigVersion `json:"version"`
			Document kqdocument.Document  `json:"document"`
		}{root.Version, d})
	})
}

func (c *Command) readDocument(file string) (kqdocument.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return kqdocument.Document{}, fmt.Errorf("read document: %w", err)
	}
	d, err := kqdocument.Parse(data)
	if err != nil {
		return d, fmt.Errorf("%s: %w", file, err)
	}
	problems := kqdocument.Validate(d)
	for _, p := range problems {
		fmt.Fprintf(c.errors, "%s: %v\n", file, p)
	}
	if len(problems) > 0 {
		return d, fmt.Errorf("%s, %d: %w", file, len(problems), errProblems)
	}
	return d, nil
}

func (c *Command) print(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}
