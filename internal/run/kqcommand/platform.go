package kqcommand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
)

const headerTimeout = 5 * time.Second

func (c *Command) addPlatform() {
	parent := c.app.Command("platform", "Serve a stand-in for the platform's key-value service, or give it faults.")
	serve := parent.Command("serve", "Serve the stand-in, in memory.").Default()
	listen := serve.Flag("listen", "Address to listen on.").Default("127.0.0.1:7070").String()
	c.add(serve, func(ctx context.Context) error { return c.servePlatform(ctx, *listen) })
	c.addFault(parent)
	c.addCounts(parent)
}

func (c *Command) servePlatform(ctx context.Context, listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	server := &http.Server{Handler: kqstandin.New().Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(c.out, "platform listens on http://%s\n", l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve platform: %w", err)
	}
	return nil
}

// addFault adds the command that replaces the faults of a running stand-in:
// flags that are not given switch their fault off.
func (c *Command) addFault(parent *kingpin.CmdClause) {
	clause := parent.Command("fault", "Replace the faults of a running stand-in; without flags it has none.")
	url := clause.Flag("url", "URL of the stand-in.").Default(platformFlag).String()
	var f kqstandin.Faults
	clause.Flag("down", "Refuse every call.").BoolVar(&f.Down)
	clause.Flag("slow", "Delay each call by this time.").DurationVar(&f.Slow)
	clause.Flag("lose-answers", "Let this many writes take effect and lose their answers.").IntVar(&f.LoseAnswers)
	clause.Flag("silent-watch", "Keep watches waiting although their key changed.").BoolVar(&f.SilentWatch)
	clause.Flag("stale-reads", "Answer reads and watches with what stood before the last write.").BoolVar(&f.StaleReads)
	clause.Flag("lapse-leases", "Let every lease lapse now, as if its holder had been paused.").BoolVar(&f.LapseLeases)
	clause.Flag("max-reads", "Refuse reads over this many a second; 0 sets no limit.").IntVar(&f.MaxReads)
	clause.Flag("max-writes", "Refuse writes over this many a second; 0 sets no limit.").IntVar(&f.MaxWrites)
	c.add(clause, func(ctx context.Context) error {
		if f.Slow < 0 || f.LoseAnswers < 0 || f.MaxReads < 0 || f.MaxWrites < 0 {
			return errors.New("set faults: a time or a count is negative")
		}
		set, err := kqstoreclient.New(*url).SetFaults(ctx, f)
		if err != nil {
			return err
		}
		return c.print(set)
	})
}

func (c *Command) addCounts(parent *kingpin.CmdClause) {
	clause := parent.Command("counts", "Print the calls that a running stand-in has taken.")
	url := clause.Flag("url", "URL of the stand-in.").Default(platformFlag).String()
	c.add(clause, func(ctx context.Context) error {
		counts, err := kqstoreclient.New(*url).Counts(ctx)
		if err != nil {
			return err
		}
		return c.print(counts)
	})
}
