package kqstart

import "github.com/kumquatgw/kumquatgw/pkg/kqname"

const (
	// Answers must come from minPeers peers in minDomains failure domains, since a single
	// peer, or a domain that was partitioned, may lag behind the fleet.
	minPeers   = 3
	minDomains = 2
)

// Evidence is the set of answers that a starting node has received.
//
// It handles replaced servers. A node without stored state that asked a single lagging peer
// would serve an older version than the rest of the fleet, and accepted configuration would
// appear to be reverted. The node therefore does not serve its first version until the
// platform or enough peers have answered.
type Evidence struct {
	// Platform is set once the platform has answered.
	Platform bool
	// Answered holds the peers that reported their version, and Known all live peers.
	Answered, Known map[kqname.Node]kqname.Domain
}

// Enough reports whether the highest version among the answers may be served. In a fleet
// with fewer peers or domains than required, all of them must answer. A node that knows no
// peers waits for the platform.
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
	return len(live) >= min(minPeers, len(e.Known)) && countDomains(live) >= min(minDomains, countDomains(e.Known))
}

func countDomains(peers map[kqname.Node]kqname.Domain) int {
	seen := make(map[kqname.Domain]bool)
	for _, d := range peers {
		seen[d] = true
	}
	return len(seen)
}
