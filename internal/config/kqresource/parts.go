package kqresource

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// partRoutes is how many routes a part holds, on average, at the most. With all
// routes of a host in one object, a change of one of 800 routes sends some 90 KB to
// each node: on links of 10 Mbit/s and versions 0.2 s apart, nodes then stay versions
// behind for as long as the changes last. In parts the same change sends some 4 KB,
// and the root names a host by one digest of 32 bytes for 16 to 32 routes.
const partRoutes = 32

// addHost adds the objects of a host. A route's part depends on its name and on the
// number of parts alone, so that a change of one route leaves all other parts as
// they are; the number is a power of two, so that it changes seldom.
func (o Objects) addHost(name kqname.Host, routes []kqdocument.Route) (Parts, error) {
	count := 1
	if len(routes) > partRoutes {
		count = 1 << bits.Len(uint((len(routes)-1)/partRoutes))
	}
	buckets := make([][]kqdocument.Route, count)
	for _, r := range routes {
		i := int(xxhash.Sum64String(string(r.Name)) % uint64(count))
		buckets[i] = append(buckets[i], r)
	}
	var parts Parts
	for _, bucket := range buckets {
		if len(bucket) == 0 {
			continue
		}
		digest, err := o.Add(Host{Name: name, Routes: bucket})
		if err != nil {
			return nil, err
		}
		parts = append(parts, digest)
	}
	return parts, nil
}
