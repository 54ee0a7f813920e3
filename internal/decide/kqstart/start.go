package kqstart

import "github.com/kumquatgw/kumquatgw/pkg/kqname"

const (
	// enough answers come from that many peers, in that many failure domains: a
	// single peer, or a domain that was cut off, may lag behind the fleet.
	enoughPeers   = 3
	enoughDomains = 2
)

// Evidence is what a starting node has gathered.
//
// It answers replaced servers: a node that keeps nothing and asks one lagging
// peer would serve from an older version than the fleet's, and callers would see
// accepted configuration go back. It holds the node's first version until the
// platform has answered, or enough peers have.
type Evidence struct {
	// Platform tells that the platform's answer has been taken in.
	Platform bool
	// Answered are the peers that told their version, Known all live peers.
	Answered, Known map[kqname.Node]kqname.Domain
}

// Enough reports whether the highest version among the answers may be served.
// Where the fleet is smaller than what is asked for, all of it must answer; a
// node that knows nobody waits for the platform.
func (e Evidence) Enough() bool {
	if e.Platform {
		return true
	}
	if len(e.Known) == 0 {
		return false
	}
	live := make(map[kqname.Node]kqname.Domain)
	for n, d := range e.Answered {
		if _, ok := e.Known[n]; ok {
			live[n] = d
		}
	}
	return len(live) >= min(enoughPeers, len(e.Known)) && domains(live) >= min(enoughDomains, domains(e.Known))
}

func domains(peers map[kqname.Node]kqname.Domain) int {
	seen := make(map[kqname.Domain]bool)
	for _, d := range peers {
		seen[d] = true
	}
	return len(seen)
}
