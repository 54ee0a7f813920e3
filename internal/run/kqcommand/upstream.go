package kqcommand

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

func (c *Command) addUpstream() {
	clause := c.app.Command("upstream", "Run a fake upstream that announces itself to its node.")
	service := clause.Flag("service", "Service that it answers for.").Required().String()
	version := clause.Flag("upstream-version", "Its upstream version.").Default("v1").String()
	slots := clause.Flag("slots", "Calls that it runs at once.").Default("6").Int()
	node := clause.Flag("node", "The node's local address.").Default("127.0.0.1:8081").String()
	work := clause.Flag("work", "How long a call takes.").Default("5ms").Duration()
	cold := clause.Flag("cold-for", "How long it is cold after its start.").Default("0s").Duration()
	coldWork := clause.Flag("cold-work", "What a call takes more while it is cold.").Default("0s").Duration()
	fail := clause.Flag("fail-share", "Share of calls that fail, from 0 to 1.").Default("0").Float64()
	shed := clause.Flag("shed", "Answer 503 to calls over the slots.").Bool()
	c.add(clause, func(ctx context.Context) error {
		u, err := kqupstream.New(kqname.Service(*service), kqname.UpstreamVersion(*version), *slots, kqname.Address(*node),
			kqupstream.Behaviour{Work: *work, ColdFor: *cold, ColdWork: *coldWork, FailShare: *fail, Shed: *shed})
		if err != nil {
			return err
		}
		return u.Run(ctx)
	})
}
