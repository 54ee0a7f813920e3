package kqcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// Command is the whole command line with its streams.
type Command struct {
	app    *kingpin.Application
	out    io.Writer
	errors io.Writer
	// measure is the parent of the commands that measure.
	measure *kingpin.CmdClause
	run     map[string]func(context.Context) error
	// adapters join nodes to platforms by the name that settings give.
	adapters map[string]Joiner
}

type (
	// Joiner returns the store of a platform and the adapter that joins a node
	// to it, and the settings as that platform bounds them.
	Joiner func(kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error)

	// Option sets up a Command.
	Option func(*Command)
)

// WithAdapter lets settings name an adapter to a platform.
func WithAdapter(name string, join Joiner) Option {
	return func(c *Command) { c.adapters[name] = join }
}

// New returns the command line of the program.
func New(out, errors io.Writer, options ...Option) *Command {
	c := &Command{
		app:    kingpin.New("kumquatgw", "Distributes a service mesh's configuration, and moves its traffic."),
		out:    out,
		errors: errors,
		run:    make(map[string]func(context.Context) error),

		adapters: make(map[string]Joiner),
	}
	for _, o := range options {
		o(c)
	}
	c.app.UsageWriter(errors).ErrorWriter(errors)
	c.addPlatform()
	c.addNode()
	c.addUpstream()
	c.addDocument()
	c.addSettings()
	c.addKeys()
	c.addDemo()
	c.addMeasure()
	c.addRollout()
	c.addStatus()
	c.addItem()
	c.addMeasureRollouts()
	c.addReplay()
	c.addExplain()
	c.addMeasureNodes()
	c.addMeasureCalls()
	c.addSoak()
	return c
}

// Run runs the command that the arguments name, until it ends or the process
// is told to stop, and returns the exit status.
func (c *Command) Run(arguments []string) int {
	if len(arguments) > 0 && strings.HasPrefix(arguments[0], "--completion-script-") {
		// A shell evaluates the script from the standard output.
		c.app.UsageWriter(c.out)
	}
	name, err := c.app.Parse(arguments)
	if err != nil {
		fmt.Fprintf(c.errors, "kumquatgw: %v\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	run := c.run[name]
	if strings.HasPrefix(name, "measure ") {
		run = func(ctx context.Context) error { return withProgress(ctx, c.errors, name, c.run[name]) }
	}
	if err := run(ctx); err != nil {
		fmt.Fprintf(c.errors, "kumquatgw: %v\n", err)
		return 1
	}
	return 0
}

// add registers what a command runs.
func (c *Command) add(clause *kingpin.CmdClause, run func(context.Context) error) {
	c.run[clause.FullCommand()] = run
}
