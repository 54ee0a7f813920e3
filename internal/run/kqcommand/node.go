package kqcommand

import (
	"context"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
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
		s, store, adapter, err := c.join(s)
		if err != nil {
			return fmt.Errorf("start node: %w", err)
		}
		n, err := kqnode.New(s, store, kqnode.WithLogger(logger), kqnode.WithAdapter(adapter))
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

// join returns the store of the platform that settings name, and what else the
// platform needs.
func (c *Command) join(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	if s.Platform.Adapter == "" {
		return s, kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout)), kqnode.Adapter{}, nil
	}
	join, ok := c.adapters[s.Platform.Adapter]
	if !ok {
		return s, nil, kqnode.Adapter{}, fmt.Errorf("[platform] adapter: %.64q is not one of this program's: %w", s.Platform.Adapter, kqsettings.ErrSettings)
	}
	return join(s)
}
