package kqfetch

import (
	"context"
	"math/rand/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodHosts = "c.h"
	// A starting node calls up to maxHostPeers peers and prefetches at most maxHosts
	// of the hosts that they return. One answer has at most maxHosts, too.
	maxHostPeers = 2
	maxHosts     = 64
)

type (
	hostsRequest struct{}

	hostsAnswer struct {
		Hosts []kqname.Host `cbor:"1,keyasint"`
	}
)

// PeerHosts returns up to maxHosts hosts that the traffic of some peers of the same
// service uses, each peer's most recently used first, so that a starting node can
// prefetch what its traffic will likely need.
func (f *Fetcher) PeerHosts(ctx context.Context) []kqname.Host {
	self := f.table.Self()
	var peers []kqname.Address
	for _, m := range f.table.Members() {
		if m.Node != self.Node && m.State == kqmember.Alive && haveCommonService(self, m) {
			peers = append(peers, m.Control)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var hosts []kqname.Host
	seen := make(map[kqname.Host]bool)
	for _, to := range peers[:min(maxHostPeers, len(peers))] {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		a, err := kqrpc.Call[hostsRequest, hostsAnswer](callCtx, f.client, to, methodHosts, hostsRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, h := range a.Hosts {
			if !seen[h] && len(hosts) < maxHosts {
				seen[h] = true
				hosts = append(hosts, h)
			}
		}
	}
	return hosts
}

// answerHosts returns the hosts that this node's traffic uses, at most maxHosts.
func (f *Fetcher) answerHosts(context.Context, kqname.Node, hostsRequest) (hostsAnswer, error) {
	hosts := f.local.Hosts()
	return hostsAnswer{Hosts: hosts[:min(len(hosts), maxHosts)]}, nil
}
