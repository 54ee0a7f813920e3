package kqsnapshot

import (
	"maps"
	"slices"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqpath"
)

// index finds a host's routes by path prefix. Instead of a comparison with each of
// possibly hundreds of routes, a call costs one map lookup per distinct prefix length
// and a comparison with the routes of the prefixes that match.
type index struct {
	// parts holds the decoded routes by the digest of the object that contains them:
	// a host's routes may be split over several objects. The next version reuses
	// most of them.
	parts map[kqresource.Digest][]kqdocument.Route
	// lengths are the distinct lengths of the normalized prefixes, longest first.
	lengths []int
	// prefixes holds the routes by their normalized prefix, the most specific first.
	prefixes map[string][]kqdocument.Route
}

// newIndex returns the index of a host whose routes are in the given parts.
func newIndex(parts map[kqresource.Digest][]kqdocument.Route) *index {
	x := &index{parts: parts, prefixes: make(map[string][]kqdocument.Route)}
	routes := slices.Concat(slices.Collect(maps.Values(parts))...)
	slices.SortFunc(routes, compareRoutes)
	for _, r := range routes {
		prefix := kqpath.Normalize(r.PathPrefix)
		x.prefixes[prefix] = append(x.prefixes[prefix], r)
		if !slices.Contains(x.lengths, len(prefix)) {
			x.lengths = append(x.lengths, len(prefix))
		}
	}
	slices.SortFunc(x.lengths, func(a, b int) int { return b - a })
	return x
}

// match returns the most specific route that matches the request. A prefix matches every
// path that it begins once both are normalized.
func (x *index) match(r Request) (kqdocument.Route, bool) {
	path := kqpath.Normalize(r.Path)
	for _, n := range x.lengths {
		if n > len(path) {
			continue
		}
		if route := mostSpecific(x.prefixes[path[:n]], r); route != nil {
			return *route, true
		}
	}
	return kqdocument.Route{}, false
}

// mostSpecific returns the first of the routes that matches a request or, if their prefixes
// are written in several ways, the first whose prefix begins the path as it was sent. It
// returns nil if there is none. All prefixes begin the normalized path.
func mostSpecific(routes []kqdocument.Route, r Request) *kqdocument.Route {
	var first *kqdocument.Route
	for i := range routes {
		route := &routes[i]
		if !matchesRequest(route, r) {
			continue
		}
		if strings.HasPrefix(r.Path, route.PathPrefix) {
			return route
		}
		if first == nil {
			first = route
		}
	}
	return first
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
