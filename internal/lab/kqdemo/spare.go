package kqdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	spareService kqname.Service = "tuning"
	spareServers                = 2
	spareSlots                  = 6
	sparePause                  = 20 * time.Millisecond
	badShare                    = 0.5
)

// spareVersions are a service's upstreams that nobody has configured yet, so
// that a newcomer has something to make a service, a route and a rollout for.
var spareVersions = map[kqname.UpstreamVersion]kqupstream.Behaviour{
	oldVersion: {Work: 4 * time.Millisecond},
	newVersion: {Work: 4 * time.Millisecond},
	"v3":       {Work: 4 * time.Millisecond, FailShare: badShare},
}

// runSpare runs those upstreams, and calls for them, until ctx ends.
func (d *Demo) runSpare(ctx context.Context, group *conc.WaitGroup) error {
	for _, s := range d.fleet.Servers()[:spareServers] {
		for version, behaviour := range spareVersions {
			u, err := kqupstream.New(spareService, version, spareSlots, s.Node.LocalAddress(), behaviour)
			if err != nil {
				return fmt.Errorf("start spare upstream: %w", err)
			}
			// One that cannot drain has calls cut; nobody counts those here.
			group.Go(func() { _ = u.Run(ctx) })
		}
		group.Go(func() { callSpare(ctx, client(s.Node.EntryAddress())) })
	}
	return nil
}

// callSpare calls at a low rate whatever the answer: before there is a route it
// is "no_route".
func callSpare(ctx context.Context, caller *fasthttp.HostClient) {
	ticker := time.NewTicker(sparePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			q.SetRequestURI("http://" + string(spareService) + "/")
			_ = caller.DoTimeout(q, a, callTimeout)
			fasthttp.ReleaseRequest(q)
			fasthttp.ReleaseResponse(a)
		}
	}
}
