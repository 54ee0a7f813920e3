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
	spareService   kqname.Service = "tuning"
	spareServers                  = 2
	spareSlots                    = 6
	sparePause                    = 20 * time.Millisecond
	spareFailShare                = 0.5
)

// spareVersions are the upstream versions of spareService. The demo's document does
// not have that service, so that a user can add a service, a route and a rollout.
var spareVersions = map[kqname.UpstreamVersion]kqupstream.Behaviour{
	oldVersion: {Work: 4 * time.Millisecond},
	newVersion: {Work: 4 * time.Millisecond},
	"v3":       {Work: 4 * time.Millisecond, FailShare: spareFailShare},
}

// runSpare starts an upstream of each of the spareVersions and a caller on each of
// the first spareServers servers. They run in group until ctx ends.
func (d *Demo) runSpare(ctx context.Context, group *conc.WaitGroup) error {
	for _, s := range d.fleet.Servers()[:spareServers] {
		for version, behaviour := range spareVersions {
			u, err := kqupstream.New(spareService, version, spareSlots, s.Node.LocalAddress(), behaviour)
			if err != nil {
				return fmt.Errorf("start spare upstream: %w", err)
			}
			// An incomplete drain breaks calls, which are not counted here.
			group.Go(func() { _ = u.Run(ctx) })
		}
		group.Go(func() { callSpare(ctx, client(s.Node.EntryAddress())) })
	}
	return nil
}

// callSpare sends calls at a low rate and ignores the answers. Until a route
// exists, they are refused with reason "no_route".
func callSpare(ctx context.Context, httpClient *fasthttp.HostClient) {
	ticker := time.NewTicker(sparePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + string(spareService) + "/")
			_ = httpClient.DoTimeout(req, resp, callTimeout)
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}
	}
}
