// Package kqlocal holds the upstreams that have announced themselves to this node, and
// reports each change of the list that other nodes must learn of. An upstream that says
// goodbye or stops renewing its announcement is removed.
//
// The package does not connect to upstreams: the gate, which sends them calls, withdraws
// those that accept no connections.
package kqlocal
