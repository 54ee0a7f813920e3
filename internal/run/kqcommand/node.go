package kqcommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// settingsEvery is the pause between two looks at the settings file.
const settingsEvery = 2 * time.Second

func (c *Command) addNode() {
	clause := c.app.Command("node", "Run the node beside an upstream.")
	file := clause.Flag("settings", "INI file with the node's settings.").Required().String()
	c.add(clause, func(ctx context.Context) error {
		// They are taken for as long as the process lives: by default each ends a
		// process, and would cut the calls in flight of a node that starts or leaves.
		signals := make(chan os.Signal, 8)
		signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
		// Else the first line after the log's reader has gone would end the process.
		// The write fails instead, and the line is counted as left out.
		signal.Ignore(syscall.SIGPIPE)
		if dropsReload {
			context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGHUP) })
		}
		s, err := kqsettings.Read(*file)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		limitMemory(s.Node.Memory)
		output := kqlog.NewAsyncWriter(c.out)
		defer output.Close()
		logger, err := kqlog.New(output, s.Log.Level, s.Log.Format)
		if err != nil {
			return fmt.Errorf("start node: %w", err)
		}
		s, store, adapter, err := c.join(s)
		if err != nil {
			return fmt.Errorf("start node: %w", err)
		}
		n, err := kqnode.New(s, store, kqnode.WithLogger(logger), kqnode.WithUnwritten(output.Dropped), kqnode.WithAdapter(adapter))
		if err != nil {
			return err
		}
		tellAddresses(n, s.Log.Format, output, logger)
		var group conc.WaitGroup
		defer group.Wait()
		watching, stop := context.WithCancel(context.WithoutCancel(ctx))
		defer stop()
		group.Go(func() {
			n.Keep(watching, "settings", func() { watchSettings(watching, signals, *file, n, logger) })
		})
		return n.Run(ctx)
	})
}

// tellAddresses tells where the node listens: in plain words to whoever reads text, as one
// structured line to what reads structured lines only.
func tellAddresses(n *kqnode.Node, format string, output io.Writer, logger *kqlog.Logger) {
	addresses := []struct {
		name    string
		address kqname.Address
	}{{"entry", n.EntryAddress()}, {"local", n.LocalAddress()}, {"control", n.ControlAddress()}, {"gate", n.GateAddress()}, {"admin", n.AdminAddress()}}
	fields := logrus.Fields{"event": "listening"}
	for _, a := range addresses {
		if format != kqlog.JSON {
			fmt.Fprintf(output, "%s %s\n", a.name, a.address)
		}
		fields[a.name] = a.address
	}
	if format == kqlog.JSON {
		logger.Part("node").WithFields(fields).Info("Listening.")
	}
}

// watchSettings notes the signals that come, reads the settings again on SIGHUP, and
// when their file changes without it. A file that cannot be read changes nothing.
func watchSettings(ctx context.Context, signals <-chan os.Signal, file string, n *kqnode.Node, logger *kqlog.Logger) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last, _ := os.ReadFile(file)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			n.Signalled(s)
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		var s kqsettings.Settings
		if err == nil {
			s, err = kqsettings.Read(file)
		}
		if err == nil {
			err = n.Reload(s)
		}
		if err != nil {
			logger.Part("settings").WithError(err).Warn("Changed settings are not taken over.")
		}
	}
}

// join returns the store of the platform that settings name, and what else the
// platform needs.
func (c *Command) join(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	if s.Platform.Adapter == "" {
		return s, kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout)), kqnode.Adapter{}, nil
	}
	join, ok := c.adapters[s.Platform.Adapter]
	if !ok {
		return s, nil, kqnode.Adapter{}, fmt.Errorf("[platform] adapter: %.64q is not one of this program's: %w", s.Platform.Adapter, kqsettings.ErrInvalid)
	}
	return join(s)
}
