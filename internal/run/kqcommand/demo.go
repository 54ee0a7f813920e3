package kqcommand

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqdemo"
)

func (c *Command) addDemo() {
	clause := c.app.Command("demo", "Run a small deployment on loopback, in one process.")
	c.add(clause, func(ctx context.Context) error { return kqdemo.New(c.out).Run(ctx) })
}
