package kqcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/kumquatgw/kumquatgw/internal/run/kqexplain"
)

func (c *Command) addExplain() {
	clause := c.app.Command("explain", "Show from nodes' logs how one request was handled, and the cause of its outcome.")
	id := clause.Arg("request_id", "The request's id, as its caller sent it.").Required().String()
	files := clause.Arg("file", "Log files of one or more nodes.").Required().Strings()
	c.register(clause, func(context.Context) error {
		var log kqexplain.Log
		for _, name := range *files {
			if err := readLog(&log, name); err != nil {
				return err
			}
		}
		for _, text := range log.Skipped() {
			fmt.Fprintln(c.errors, text)
		}
		sentences, err := log.Explain(*id)
		if err != nil {
			return err
		}
		for _, text := range sentences {
			fmt.Fprintln(c.out, text)
		}
		return nil
	})
}

func readLog(log *kqexplain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	return log.Read(name, file)
}
