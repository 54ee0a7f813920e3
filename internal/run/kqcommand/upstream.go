package kqcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func (c *Command) addUpstream() {
	clause := c.app.Command("upstream", "Run a fake upstream that announces itself to its node.")
	service := clause.Flag("service", "Service that the upstream serves.").Required().String()
	version := clause.Flag("upstream-version", "Version of the upstream.").Default("v1").String()
	// The slots are announced to the node. The upstream itself enforces them only with
	// --shed.
	slots := clause.Flag("slots", "Largest number of calls that run concurrently.").Default("6").Int()
	listen := clause.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	node := clause.Flag("node", "The node's local address.").Default("127.0.0.1:8081").String()
	work := clause.Flag("work", "Duration of a call.").Default("5ms").Duration()
	cold := clause.Flag("cold-for", "Duration of the cold start.").Default("0s").Duration()
	coldWork := clause.Flag("cold-work", "Additional duration of a call during the cold start.").Default("0s").Duration()
	fail := clause.Flag("fail-share", "Share of calls that fail, from 0 to 1.").Default("0").Float64()
	servesOn := clause.Flag("serves-on", "How long it keeps serving after it has begun to say goodbye to its node.").Default("300ms").Duration()
	instance := clause.Flag("instance", "Instance that the upstream announces; none if empty.").String()
	stateCold := clause.Flag("state-cold", "Announce the cold start.").Bool()
	printEvents := clause.Flag("tell", "Print a JSON line when the upstream listens, when a call begins or ends, and when the goodbye is acknowledged.").Bool()
	deadly := clause.Flag("deadly", "End without an answer at each call whose target or body contains this text; none if empty.").String()
	shed := clause.Flag("shed", "Answer calls beyond the slots with 503.").Bool()
	c.register(clause, func(ctx context.Context) error {
		host, port, err := net.SplitHostPort(*node)
		switch {
		case !kqname.Valid(*service) || !kqname.Valid(*version):
			return fmt.Errorf("upstream: service %q and version %q must be plain names", *service, *version)
		case *slots < 1 || *slots > kqlocal.MaxSlots:
			return fmt.Errorf("upstream: --slots %d is not from 1 to %d", *slots, kqlocal.MaxSlots)
		case !(*fail >= 0 && *fail <= 1):
			return fmt.Errorf("upstream: --fail-share %v is not from 0 to 1", *fail)
		case *work < 0 || *cold < 0 || *coldWork < 0 || *servesOn < 0:
			return errors.New("upstream: --work, --cold-for, --cold-work and --serves-on must not be negative")
		case err != nil || host == "" || port == "":
			return fmt.Errorf("upstream: --node %q is not an address like 127.0.0.1:8081", *node)
		}
		options := append(c.upstreamOptions(kqname.Instance(*instance), *servesOn, *printEvents), kqupstream.WithListenAddress(*listen))
		if *stateCold {
			options = append(options, kqupstream.WithStatedColdStart())
		}
		u, err := kqupstream.New(kqname.Service(*service), kqname.UpstreamVersion(*version), *slots, kqname.Address(*node),
			kqupstream.Behaviour{Work: *work, ColdFor: *cold, ColdWork: *coldWork, FailShare: *fail, Shed: *shed, Deadly: *deadly},
			options...)
		if err != nil {
			return err
		}
		return u.Run(ctx)
	})
}

// upstreamOptions returns the options of the fake upstream. With printEvents, each event
// is written as one line before the call proceeds, so that the output is complete even
// if the upstream is killed.
func (c *Command) upstreamOptions(instance kqname.Instance, servesOn time.Duration, printEvents bool) []kqupstream.Option {
	options := []kqupstream.Option{kqupstream.WithDrainPeriod(servesOn)}
	if instance != "" {
		options = append(options, kqupstream.WithInstance(instance))
	}
	if !printEvents {
		return options
	}
	var mu sync.Mutex
	return append(options, kqupstream.WithEventHandler(func(e kqupstream.Event) {
		line, err := json.Marshal(e)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(c.out, "%s\n", line)
	}))
}
