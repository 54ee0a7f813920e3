package kqresource

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxAverageRoutes is the largest average number of routes per part of a host. With
// all routes of a host in one object, a change of one of 800 routes would send some
// 90 KB to each node: on links of 10 Mbit/s and with versions 0.2 s apart, nodes would
// stay versions behind for as long as the changes last. With parts, the same change
// sends some 4 KB, and the root holds one digest of 32 bytes per 16 to 32 routes.
const maxAverageRoutes = 32

// addHost adds the objects of a host. A route's part depends only on its name and the
// number of parts, so that a change of one route leaves all other parts unchanged. The
// number of parts is a power of two, so that it rarely changes.
func (o Objects) addHost(name kqname.Host, routes []kqdocument.Route) (Parts, error) {
	count := 1
	if len(routes) > maxAverageRoutes {
		count = 1 << bits.Len(uint((len(routes)-1)/maxAverageRoutes))
	}
	routesByPart := make([][]kqdocument.Route, count)
	for _, r := range routes {
		i := int(xxhash.Sum64String(string(r.Name)) % uint64(count))
		routesByPart[i] = append(routesByPart[i], r)
	}
	var parts Parts
	for _, part := range routesByPart {
		if len(part) == 0 {
			continue
		}
		digest, err := o.Add(Host{Name: name, Routes: part})
		if err != nil {
			return nil, err
		}
		parts = append(parts, digest)
	}
	return parts, nil
}
