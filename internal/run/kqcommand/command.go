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

// Command is the command line of the program, with its output streams.
type Command struct {
	app    *kingpin.Application
	out    io.Writer
	errors io.Writer
	// measureCommand is the parent of the commands that measure.
	measureCommand *kingpin.CmdClause
	// runner holds the function that runs each command, by its full name.
	runner map[string]func(context.Context) error
	// adapters holds the adapters to platforms by the name that settings use.
	adapters map[string]Connector
}

type (
	// Connector connects a node to a platform. It returns the settings with the limits of
	// the platform applied, the platform's store, and the node's adapter to it.
	Connector func(kqsettings.Settings) (kqsettings.Settings, kqstore.Store, kqnode.Adapter, error)

	// Option configures a Command.
	Option func(*Command)
)

// WithAdapter registers an adapter to a platform under the name that settings use.
func WithAdapter(name string, connect Connector) Option {
	return func(c *Command) { c.adapters[name] = connect }
}

// New returns the command line of the program.
func New(out, errors io.Writer, options ...Option) *Command {
	c := &Command{
		app:    kingpin.New("kumquatgw", "Distributes a service mesh's configuration and shifts its traffic between upstream versions."),
		out:    out,
		errors: errors,
		runner: make(map[string]func(context.Context) error),

		adapters: make(map[string]Connector),
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
	c.addRequests()
	c.addItem()
	c.addWorkspaces()
	c.addMeasureRollouts()
	c.addReplay()
	c.addExplain()
	c.addMeasureNodes()
	c.addMeasureCalls()
	c.addSoak()
	return c
}

// Run runs the command that the arguments name and returns the exit status: 2 if the
// arguments cannot be parsed, 1 if the command refuses them or fails, else 0. An interrupt
// or SIGTERM cancels the command's context; a command that does not use it runs to its end.
func (c *Command) Run(arguments []string) int {
	if len(arguments) > 0 && strings.HasPrefix(arguments[0], "--completion-script-") {
		// The shell evaluates the completion script from the standard output.
		c.app.UsageWriter(c.out)
	}
	name, err := c.app.Parse(arguments)
	if err != nil {
		fmt.Fprintf(c.errors, "kumquatgw: %v\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runner := c.runner[name]
	if strings.HasPrefix(name, "measure ") {
		runner = func(ctx context.Context) error { return withProgress(ctx, c.errors, name, c.runner[name]) }
	}
	if err := runner(ctx); err != nil {
		fmt.Fprintf(c.errors, "kumquatgw: %v\n", err)
		return 1
	}
	return 0
}

// register sets the function that runs a command.
func (c *Command) register(clause *kingpin.CmdClause, runner func(context.Context) error) {
	c.runner[clause.FullCommand()] = runner
}
