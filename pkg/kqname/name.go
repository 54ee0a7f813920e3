package kqname

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxLength is the length of the longest usable name, in bytes: that of the longest host name
// (RFC 1035, section 2.3.4).
const maxLength = 253

// reserved are the visible ASCII characters that no usable name contains: nodes separate
// fields of headers by the first one, and the others begin escapes and quoted strings.
const reserved = ";\"\\"

type (
	// Node names a kumquatgw node. It is unique in the fleet and stays the same when the
	// node's process restarts.
	Node string
	// Server identifies the VM that a node and its upstream run on.
	Server string
	// Domain names a failure domain: a group of servers that can fail together.
	Domain string
	// Region names a group of failure domains in one network.
	Region string
	// Service names a set of upstreams that answer the same calls.
	Service string
	// UpstreamVersion names one build of a service's upstream.
	UpstreamVersion string
	// Host is the lower-case host name in the Host header of a request.
	Host string
	// Route names a rule that directs matching calls to services.
	Route string
	// Rollout names a planned shift of traffic from one upstream version to another.
	Rollout string
	// Policy names a set of rules by which rollouts are evaluated.
	Policy string
	// Team names a group of operators that owns services.
	Team string
	// Workspace names a tenant of the fleet, whose callers identify themselves by API keys.
	Workspace string
	// Instance distinguishes an upstream from others that used the same address. It
	// can have several processes, one after the other.
	Instance string
	// Address is a TCP address in the form "ip:port".
	Address string
	// Caller identifies the sender of calls for fair sharing. It is a service name
	// for calls from inside the fleet, and an IP address for calls from outside.
	Caller string
	// ConfigVersion is the version of a configuration: the number of the document or, if
	// the configuration is built from a platform's keys, a revision of the store. It never
	// decreases. 0 means none.
	ConfigVersion uint64
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Valid reports whether name consists of 1 to 64 lower-case letters, digits, dots,
// dashes and underscores, and begins and ends with a letter or digit. Such names
// need no escaping in URLs, keys, headers and metric labels.
func Valid[T ~string](name T) bool {
	return validName.MatchString(string(name))
}

// UsableAddress reports whether a node can connect to an address that somebody else has
// chosen: an IP address or a valid name, and a port from 1 to 65535.
func UsableAddress(a Address) bool {
	host, port, err := net.SplitHostPort(string(a))
	if err != nil || len(a) > maxLength {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil && !Valid(host) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Usable reports whether nodes can work with a name that somebody else has chosen: 1 to 253
// bytes of letters, digits and visible ASCII characters other than semicolons, double quotes
// and backslashes. Such a name can stand in headers and logs as it is, but may need escaping
// in URLs and keys.
func Usable[T ~string](name T) bool {
	if name == "" || len(name) > maxLength || !utf8.ValidString(string(name)) {
		return false
	}
	return !strings.ContainsFunc(string(name), func(r rune) bool {
		if r > unicode.MaxASCII {
			return !unicode.In(r, unicode.L, unicode.M, unicode.N)
		}
		return r <= ' ' || r == unicode.MaxASCII || strings.ContainsRune(reserved, r)
	})
}
