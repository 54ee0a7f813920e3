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

// settingsInterval is the interval at which the settings file is checked for changes.
const settingsInterval = 2 * time.Second

func (c *Command) addNode() {
	clause := c.app.Command("node", "Run a node as the sidecar of an upstream.")
	file := clause.Flag("settings", "INI file with the node's settings.").Required().String()
	c.register(clause, func(ctx context.Context) error {
		// The signals are handled until the process ends. The default action of each
		// would end a node that starts or drains and cut off its calls in flight.
		signals := make(chan os.Signal, 8)
		signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
		// With SIGPIPE ignored, a write after the log collector has closed the output
		// fails, and the line is counted as dropped. By default the first such write
		// would end the process.
		signal.Ignore(syscall.SIGPIPE)
		if stopsHandlingReload {
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
		s, store, adapter, err := c.connect(s)
		if err != nil {
			return fmt.Errorf("start node: %w", err)
		}
		n, err := kqnode.New(s, store, kqnode.WithLogger(logger), kqnode.WithUnwrittenLines(output.Dropped), kqnode.WithAdapter(adapter))
		if err != nil {
			return err
		}
		printAddresses(n, s.Log.Format, output, logger)
		var group conc.WaitGroup
		defer group.Wait()
		watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
		defer stop()
		group.Go(func() {
			n.RunWithRestart(watchCtx, "settings", func() { watchSettings(watchCtx, signals, *file, n, logger) })
		})
		return n.Run(ctx)
	})
}

// printAddresses writes the addresses that the node listens on, without that for
// readiness probes: as "name address" lines in the text format, or as one log line in
// the JSON format, whose readers may accept JSON only.
func printAddresses(n *kqnode.Node, format string, output io.Writer, logger *kqlog.Logger) {
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

// watchSettings logs the signals that arrive. It reloads the settings when their file
// has changed, which it checks on each signal, such as SIGHUP, and every
// settingsInterval. Only the settings that Node.Reload covers change. A file that cannot
// be read or is invalid changes nothing.
func watchSettings(ctx context.Context, signals <-chan os.Signal, file string, n *kqnode.Node, logger *kqlog.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(file)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			n.LogSignal(s)
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

// connect returns the settings with the limits of the platform applied, the platform's
// store, and the node's adapter to the platform. Without an adapter in the settings, it
// returns them unchanged with a client of the platform's key-value service.
func (c *Command) connect(s kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error) {
	if s.Platform.Adapter == "" {
		return s, kqstoreclient.New(s.Platform.URL, kqstoreclient.WithTimeout(s.Platform.Timeout)), kqnode.Adapter{}, nil
	}
	connect, ok := c.adapters[s.Platform.Adapter]
	if !ok {
		return s, nil, kqnode.Adapter{}, fmt.Errorf("[platform] adapter: %.64q is not an adapter of this program: %w", s.Platform.Adapter, kqsettings.ErrInvalid)
	}
	return connect(s)
}
