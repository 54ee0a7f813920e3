package kqcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/kumquatgw/kumquatgw/internal/run/kqexplain"
)

func (c *Command) addExplain() {
	clause := c.app.Command("explain", "Tell one request's way through nodes' logs, and the cause of its end.")
	id := clause.Arg("request_id", "The request's id, as its caller sent it.").Required().String()
	files := clause.Arg("file", "Logs of any number of nodes.").Required().Strings()
	c.add(clause, func(context.Context) error {
		var log kqexplain.Log
		for _, name := range *files {
			if err := readLog(&log, name); err != nil {
				return err
			}
		}
		for _, text := range log.Skipped() {
			fmt.Fprintln(c.errors, text)
		}
		told, err := log.Explain(*id)
		if err != nil {
			return err
		}
		for _, text := range told {
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
