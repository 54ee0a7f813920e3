package kqfetch

import (
	"context"
	"math/rand/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodHosts = "c.h"
	// hostsAsked peers tell their hosts, and at most mostHosts are taken over.
	hostsAsked = 2
	mostHosts  = 64
)

type (
	hostsRequest struct{}

	hostsAnswer struct {
		Hosts []kqname.Host `cbor:"1,keyasint"`
	}
)

// PeerHosts returns the hosts that peers of the same service hold, the last used
// first, for a starting node whose traffic will need the same.
func (f *Fetcher) PeerHosts(ctx context.Context) []kqname.Host {
	self := f.table.Self()
	var peers []kqname.Address
	for _, m := range f.table.Members() {
		if m.Node != self.Node && m.State == kqmember.Alive && shares(self, m) {
			peers = append(peers, m.Control)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var hosts []kqname.Host
	seen := make(map[kqname.Host]bool)
	for _, to := range peers[:min(hostsAsked, len(peers))] {
		asking, cancel := context.WithTimeout(ctx, peerTimeout)
		a, err := kqpeer.Call[hostsRequest, hostsAnswer](asking, f.client, to, methodHosts, hostsRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, h := range a.Hosts {
			if !seen[h] && len(hosts) < mostHosts {
				seen[h] = true
				hosts = append(hosts, h)
			}
		}
	}
	return hosts
}

func (f *Fetcher) answerHosts(context.Context, kqname.Node, hostsRequest) (hostsAnswer, error) {
	hosts := f.held.Hosts()
	return hostsAnswer{Hosts: hosts[:min(len(hosts), mostHosts)]}, nil
}
