package kqname

import "regexp"

type (
	// Node identifies one kumquatgw process; it is unique in the fleet.
	Node string
	// Server identifies the VM that a node and its upstream run on.
	Server string
	// Domain names a failure domain: servers that are lost together.
	Domain string
	// Region names a group of failure domains that one network joins.
	Region string
	// Service names a set of upstreams that answer the same calls.
	Service string
	// UpstreamVersion names one build of a service's upstream.
	UpstreamVersion string
	// Host is the lower-case name that callers put into a request's Host header.
	Host string
	// Route names one rule that leads calls to a service.
	Route string
	// Rollout names one planned move of traffic between two upstream versions.
	Rollout string
	// Policy names the rules by which rollouts are judged.
	Policy string
	// Team names a group of operators that owns services.
	Team string
	// Instance names one upstream process among those that had its address.
	Instance string
	// Address is a TCP address in the form "ip:port".
	Address string
	// Caller identifies whoever sends calls, for fair sharing; it is a service
	// name for calls from inside and a key or address for calls from outside.
	Caller string
	// ConfigVersion numbers committed documents from 1; it only grows.
	ConfigVersion uint64
)

var plain = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Valid reports whether name is 1 to 64 lower-case letters, digits, dots,
// dashes and underscores that begin and end with a letter or digit. Names of
// this form stand unescaped in URLs, keys, headers and metric labels.
func Valid[T ~string](name T) bool {
	return plain.MatchString(string(name))
}
