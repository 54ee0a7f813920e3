package kqfetch

import (
	"math/rand/v2"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// peers returns the control addresses to call, in this order: the readers of this node's
// failure domain, some readers of other domains, and some peers of the same service,
// which may hold the same hosts. Each group is in random order.
func (f *Fetcher) peers(self kqmember.Member) []kqname.Address {
	var localReaders, remoteReaders, peers []kqname.Address
	for _, m := range f.table.Members() {
		switch {
		case m.Node == self.Node || m.State == kqmember.Dead:
		case m.Reader && m.Domain == self.Domain:
			localReaders = append(localReaders, m.Control)
		case m.Reader:
			remoteReaders = append(remoteReaders, m.Control)
		case haveCommonService(self, m):
			peers = append(peers, m.Control)
		}
	}
	for _, list := range [][]kqname.Address{localReaders, remoteReaders, peers} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return slices.Concat(localReaders, remoteReaders[:min(len(remoteReaders), maxOtherPeers)], peers[:min(len(peers), maxOtherPeers)])
}

// readers returns the readers that are not dead, including this node if it is one.
func (f *Fetcher) readers() []kqmember.Member {
	var list []kqmember.Member
	for _, m := range f.table.Members() {
		if m.Reader && m.State != kqmember.Dead {
			list = append(list, m)
		}
	}
	return list
}

// haveCommonService reports whether two nodes are configured for the same service or have
// upstreams of a common one, and so are likely to need the same hosts.
func haveCommonService(a, b kqmember.Member) bool {
	return a.Service != "" && a.Service == b.Service || slices.ContainsFunc(a.Upstreams, func(u kqmember.Upstream) bool {
		return slices.ContainsFunc(b.Upstreams, func(v kqmember.Upstream) bool { return u.Service == v.Service })
	})
}

// missing returns the wanted digests that are not among the objects found.
func missing(wanted []kqresource.Digest, found kqresource.Objects) []kqresource.Digest {
	var list []kqresource.Digest
	for _, d := range wanted {
		if _, ok := found[d]; !ok {
			list = append(list, d)
		}
	}
	return list
}
