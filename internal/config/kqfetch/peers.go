package kqfetch

import (
	"math/rand/v2"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// peers returns whom to ask, in turn: the own domain's readers, the others'
// readers, and a few peers in random order, which may hold the same hosts.
func (f *Fetcher) peers(self kqmember.Member) []kqname.Address {
	var near, others, peers []kqname.Address
	for _, m := range f.table.Members() {
		switch {
		case m.Node == self.Node || m.State == kqmember.Dead:
		case m.Reader && m.Domain == self.Domain:
			near = append(near, m.Control)
		case m.Reader:
			others = append(others, m.Control)
		case shares(self, m):
			peers = append(peers, m.Control)
		}
	}
	for _, list := range [][]kqname.Address{near, others, peers} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return slices.Concat(near, others[:min(len(others), peersOfService)], peers[:min(len(peers), peersOfService)])
}

func (f *Fetcher) readers() []kqmember.Member {
	var list []kqmember.Member
	for _, m := range f.table.Members() {
		if m.Reader && m.State != kqmember.Dead {
			list = append(list, m)
		}
	}
	return list
}

// shares reports whether two nodes stand beside upstreams of one service, and so
// are likely to need the same hosts.
func shares(a, b kqmember.Member) bool {
	return a.Service != "" && a.Service == b.Service || slices.ContainsFunc(a.Upstreams, func(u kqmember.Upstream) bool {
		return slices.ContainsFunc(b.Upstreams, func(v kqmember.Upstream) bool { return u.Service == v.Service })
	})
}

func missing(wanted []kqresource.Digest, found kqresource.Objects) []kqresource.Digest {
	var list []kqresource.Digest
	for _, d := range wanted {
		if _, ok := found[d]; !ok {
			list = append(list, d)
		}
	}
	return list
}
