package kqcommand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
)

const readHeaderTimeout = 5 * time.Second

func (c *Command) addPlatform() {
	parent := c.app.Command("platform", "Serve a stand-in for the platform's key-value service, or inject faults into it.")
	serve := parent.Command("serve", "Serve the stand-in, which keeps its data in memory.").Default()
	listen := serve.Flag("listen", "Address to listen on.").Default("127.0.0.1:7070").String()
	c.register(serve, func(ctx context.Context) error { return c.servePlatform(ctx, *listen) })
	c.addFault(parent)
	c.addCounts(parent)
}

func (c *Command) servePlatform(ctx context.Context, listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	server := &http.Server{Handler: kqfakestore.New().Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(c.out, "platform listens on http://%s\n", l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve platform: %w", err)
	}
	return nil
}

// addFault adds the command that replaces the faults of a running stand-in. Faults
// whose flag is not given are switched off.
func (c *Command) addFault(parent *kingpin.CmdClause) {
	clause := parent.Command("fault", "Replace the faults of a running stand-in; without flags, remove all of them.")
	url := clause.Flag("url", "URL of the stand-in.").Default(defaultPlatformURL).String()
	var f kqfakestore.Faults
	clause.Flag("down", "Refuse every call.").BoolVar(&f.Down)
	clause.Flag("slow", "Delay each call by this duration.").DurationVar(&f.Slow)
	clause.Flag("lose-answers", "Apply this many writes, but lose their answers.").IntVar(&f.LoseResponses)
	clause.Flag("silent-watch", "Do not answer watches when their key changes.").BoolVar(&f.SilentWatch)
	clause.Flag("stale-reads", "Answer reads and watches with the state before the last write.").BoolVar(&f.StaleReads)
	clause.Flag("lapse-leases", "Expire every lease now, as if its holder had been paused.").BoolVar(&f.LapseLeases)
	clause.Flag("max-reads", "Refuse reads beyond this many per second; 0 sets no limit.").IntVar(&f.MaxReads)
	clause.Flag("max-writes", "Refuse writes beyond this many per second; 0 sets no limit.").IntVar(&f.MaxWrites)
	c.register(clause, func(ctx context.Context) error {
		if f.Slow < 0 || f.LoseResponses < 0 || f.MaxReads < 0 || f.MaxWrites < 0 {
			return errors.New("set faults: --slow, --lose-answers, --max-reads and --max-writes must not be negative")
		}
		set, err := kqstoreclient.New(*url).SetFaults(ctx, f)
		if err != nil {
			return err
		}
		return c.printJSON(set)
	})
}

func (c *Command) addCounts(parent *kingpin.CmdClause) {
	clause := parent.Command("counts", "Print how many calls a running stand-in has received.")
	url := clause.Flag("url", "URL of the stand-in.").Default(defaultPlatformURL).String()
	c.register(clause, func(ctx context.Context) error {
		counts, err := kqstoreclient.New(*url).Counts(ctx)
		if err != nil {
			return err
		}
		return c.printJSON(counts)
	})
}
