// Package kqexchange keeps the member tables of nodes alike: every heartbeat a
// node swaps tables with one random peer.
package kqexchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	method          = "member.exchange"
	exchangeTimeout = time.Second
)

type (
	// Exchanger swaps member tables with peers.
	Exchanger struct {
		client *kqpeer.Client
		table  *kqmember.Table
		seeds  []kqname.Address
		every  time.Duration
	}

	records struct {
		Members []kqmember.Member `cbor:"1,keyasint"`
	}
)

// New returns an exchanger that answers on server and sends through client.
func New(server *kqpeer.Server, client *kqpeer.Client, table *kqmember.Table, seeds []kqname.Address, every time.Duration) *Exchanger {
	e := &Exchanger{client: client, table: table, seeds: seeds, every: every}
	kqpeer.Handle(server, method, func(_ context.Context, _ kqname.Node, q records) (records, error) {
		e.merge(q)
		return records{Members: table.Members()}, nil
	})
	return e
}

// Run exchanges with a random peer every heartbeat until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(e.every)
	defer ticker.Stop()
	for {
		e.once(ctx, e.choose())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce tells every member that is not dead at once; a leaving node and a
// changed upstream cannot wait for the next heartbeats.
func (e *Exchanger) Announce(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	self := e.table.Self().Node
	for _, m := range e.table.Members() {
		if m.Node != self && m.State != kqmember.Dead {
			group.Go(func() { e.once(ctx, m.Control) })
		}
	}
}

func (e *Exchanger) once(ctx context.Context, to kqname.Address) {
	if to == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	a, err := kqpeer.Call[records, records](ctx, e.client, to, method, records{Members: e.table.Members()})
	if err == nil {
		e.merge(a)
	}
}

func (e *Exchanger) merge(r records) {
	for _, m := range r.Members {
		e.table.Merge(m)
	}
}

func (e *Exchanger) choose() kqname.Address {
	self := e.table.Self().Node
	known := append([]kqname.Address(nil), e.seeds...)
	for _, m := range e.table.Members() {
		if m.Node != self && m.State != kqmember.Dead {
			known = append(known, m.Control)
		}
	}
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}
