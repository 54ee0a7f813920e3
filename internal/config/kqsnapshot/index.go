package kqsnapshot

import (
	"maps"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// index finds a host's routes by path prefix. Instead of a comparison with each of
// possibly hundreds of routes, a call costs one map lookup per distinct prefix length
// and a comparison with the routes of the prefixes that match.
type index struct {
	// parts holds the decoded routes by the digest of the object that contains them:
	// a host's routes may be split over several objects. The next version reuses
	// most of them.
	parts map[kqresource.Digest][]kqdocument.Route
	// lengths are the distinct lengths of the prefixes, longest first.
	lengths []int
	// prefixes holds the routes by their prefix, the most specific first.
	prefixes map[string][]kqdocument.Route
}

// newIndex returns the index of a host whose routes are in the given parts.
func newIndex(parts map[kqresource.Digest][]kqdocument.Route) *index {
	x := &index{parts: parts, prefixes: make(map[string][]kqdocument.Route)}
	routes := slices.Concat(slices.Collect(maps.Values(parts))...)
	slices.SortFunc(routes, compareRoutes)
	for _, r := range routes {
		x.prefixes[r.PathPrefix] = append(x.prefixes[r.PathPrefix], r)
		if !slices.Contains(x.lengths, len(r.PathPrefix)) {
			x.lengths = append(x.lengths, len(r.PathPrefix))
		}
	}
	slices.SortFunc(x.lengths, func(a, b int) int { return b - a })
	return x
}

// match returns the most specific route that matches the request.
func (x *index) match(r Request) (kqdocument.Route, bool) {
	for _, n := range x.lengths {
		if n > len(r.Path) {
			continue
		}
		for i := range x.prefixes[r.Path[:n]] {
			if route := &x.prefixes[r.Path[:n]][i]; matchesRequest(route, r) {
				return *route, true
			}
		}
	}
	return kqdocument.Route{}, false
}

// matchesRequest reports whether a route's method and headers match a request.
func matchesRequest(route *kqdocument.Route, r Request) bool {
	if route.Method != "" && route.Method != r.Method {
		return false
	}
	for name, want := range route.Headers {
		if r.Header(name) != want {
			return false
		}
	}
	return true
}
