package kqcommand

import (
	"context"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
)

func (c *Command) addSettings() {
	parent := c.app.Command("settings", "Check a settings file, or print an example.")
	check := parent.Command("check", "Read a settings file and report every error in it.")
	file := check.Arg("file", "INI file.").Required().String()
	c.register(check, func(context.Context) error {
		if _, err := kqsettings.Read(*file); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s is sound.\n", *file)
		return nil
	})
	example := parent.Command("example", "Print a settings file with every key, its default and its bounds.")
	c.register(example, func(context.Context) error {
		fmt.Fprint(c.out, kqsettings.Example())
		return nil
	})
}
