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

// maxAverageWorkspaces is the largest average number of workspaces per part. A workspace
// with two keys takes some 200 bytes, so that a change of one sends some 3 KB to each node.
const maxAverageWorkspaces = 16

// addHost adds the objects of a host. A route's part depends only on its name and the
// number of parts, so that a change of one route leaves all other parts unchanged. The
// number of parts is a power of two, so that it rarely changes.
func (o Objects) addHost(name kqname.Host, routes []kqdocument.Route) (Parts, error) {
	return addParts(o, routes, maxAverageRoutes, func(r kqdocument.Route) string { return string(r.Name) },
		func(part []kqdocument.Route) any { return Host{Name: name, Routes: part} })
}

// addWorkspaces adds the objects that hold the workspaces.
func (o Objects) addWorkspaces(list []kqdocument.Workspace) (Parts, error) {
	return addParts(o, list, maxAverageWorkspaces, func(w kqdocument.Workspace) string { return string(w.Name) },
		func(part []kqdocument.Workspace) any { return Workspaces{part} })
}

// addParts divides items by the hash of their names into parts of at most maxAverage items
// on average, and adds the object of each part that has any. The number of parts is a power
// of two.
func addParts[T any](o Objects, items []T, maxAverage int, name func(T) string, object func([]T) any) (Parts, error) {
	count := 1
	if len(items) > maxAverage {
		count = 1 << bits.Len(uint((len(items)-1)/maxAverage))
	}
	divided := make([][]T, count)
	for _, item := range items {
		i := int(xxhash.Sum64String(name(item)) % uint64(count))
		divided[i] = append(divided[i], item)
	}
	var parts Parts
	for _, part := range divided {
		if len(part) == 0 {
			continue
		}
		digest, err := o.Add(object(part))
		if err != nil {
			return nil, err
		}
		parts = append(parts, digest)
	}
	return parts, nil
}
