package kqcommand

import (
	"context"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func (c *Command) addNode() {
	clause := c.app.Command("node", "Run the node beside an upstream.")
	file := clause.Flag("settings", "INI file with the node's settings.").Required().String()
	c.add(clause, func(ctx context.Context) error {
		s, err := kqsettings.Read(*file)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		logger, err := kqlog.New(c.errors, s.Log.Level, s.Log.Format)
		if err != nil {
			return fmt.Errorf("start node: %w", err)
		}
		store := kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout))
		n, err := kqnode.New(s, store, kqnode.WithLogger(logger))
		if err != nil {
			return err
		}
		for _, a := range []struct {
			name    string
			address kqname.Address
		}{{"entry", n.EntryAddress()}, {"local", n.LocalAddress()}, {"control", n.ControlAddress()}, {"admin", n.AdminAddress()}} {
			fmt.Fprintf(c.out, "%s %s\n", a.name, a.address)
		}
		return n.Run(ctx)
	})
}
