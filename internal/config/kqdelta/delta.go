package kqdelta

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// ErrBase tells that a delta was made from another root.
var ErrBase = errors.New("delta is from another root")

// Delta leads from one root to a newer one.
type Delta struct {
	// Base and Result are the digests of the two roots.
	Base   kqresource.Digest `cbor:"1,keyasint"`
	Result kqresource.Digest `cbor:"2,keyasint"`
	// Changed is the newer root with only the hosts and services that differ.
	Changed      kqresource.Root  `cbor:"3,keyasint"`
	GoneHosts    []kqname.Host    `cbor:"4,keyasint,omitempty"`
	GoneServices []kqname.Service `cbor:"5,keyasint,omitempty"`
}

// Between returns the delta from old to next, whose digests are given.
func Between(old, next kqresource.Root, oldDigest, nextDigest kqresource.Digest) Delta {
	d := Delta{Base: oldDigest, Result: nextDigest, Changed: next}
	d.Changed.Hosts, d.GoneHosts = difference(old.Hosts, next.Hosts, sameParts)
	d.Changed.Services, d.GoneServices = difference(old.Services, next.Services, sameDigest)
	return d
}

// Apply returns the newer root and its bytes. It returns ErrBase if old is not
// the root that the delta was made from, and kqresource.ErrDigest if the result
// is not the root that was meant, so that no node can end up with a mixture.
func (d Delta) Apply(old kqresource.Root, digest kqresource.Digest) (kqresource.Root, []byte, error) {
	if digest != d.Base {
		return kqresource.Root{}, nil, fmt.Errorf("apply delta to version %d: %w", d.Changed.Version, ErrBase)
	}
	next := d.Changed
	next.Hosts = merged(old.Hosts, d.Changed.Hosts, d.GoneHosts)
	next.Services = merged(old.Services, d.Changed.Services, d.GoneServices)
	data, err := kqresource.Encode(next)
	if err != nil {
		return kqresource.Root{}, nil, fmt.Errorf("apply delta to version %d: %w", next.Version, err)
	}
	if kqresource.DigestOf(data) != d.Result {
		return kqresource.Root{}, nil, fmt.Errorf("apply delta to version %d: %w", next.Version, kqresource.ErrDigest)
	}
	return next, data, nil
}

func sameParts(a, b kqresource.Parts) bool { return slices.Equal(a, b) }

func sameDigest(a, b kqresource.Digest) bool { return a == b }

func difference[K comparable, V any](old, next map[K]V, same func(a, b V) bool) (changed map[K]V, gone []K) {
	changed = make(map[K]V)
	for k, d := range next {
		if !same(old[k], d) {
			changed[k] = d
		}
	}
	for k := range old {
		if _, ok := next[k]; !ok {
			gone = append(gone, k)
		}
	}
	return changed, gone
}

func merged[K comparable, V any](old, changed map[K]V, gone []K) map[K]V {
	result := make(map[K]V, len(old)+len(changed))
	maps.Copy(result, old)
	for _, k := range gone {
		delete(result, k)
	}
	maps.Copy(result, changed)
	return result
}
