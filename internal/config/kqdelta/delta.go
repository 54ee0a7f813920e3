package kqdelta

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// ErrWrongBase means that a delta was computed from another root.
var ErrWrongBase = errors.New("delta was computed from another root")

// Delta is the difference between a root and a newer one.
type Delta struct {
	// Base and Result are the digests of the older and the newer root.
	Base   kqresource.Digest `cbor:"1,keyasint"`
	Result kqresource.Digest `cbor:"2,keyasint"`
	// Changed is the newer root, reduced to the hosts and services that were added or
	// changed. Its workspaces are complete.
	Changed         kqresource.Root  `cbor:"3,keyasint"`
	RemovedHosts    []kqname.Host    `cbor:"4,keyasint,omitempty"`
	RemovedServices []kqname.Service `cbor:"5,keyasint,omitempty"`
}

// Between returns the delta from old to next, whose digests are oldDigest and
// nextDigest.
func Between(old, next kqresource.Root, oldDigest, nextDigest kqresource.Digest) Delta {
	d := Delta{Base: oldDigest, Result: nextDigest, Changed: next}
	d.Changed.Hosts, d.RemovedHosts = diffMaps(old.Hosts, next.Hosts, equalParts)
	d.Changed.Services, d.RemovedServices = diffMaps(old.Services, next.Services, equalDigests)
	return d
}

// Apply returns the newer root and its encoding. digest is that of old. Apply returns
// ErrWrongBase if the delta was computed from another root, and
// kqresource.ErrDigestMismatch if the result does not have the digest Result, so that no
// node can hold a mixture of roots.
func (d Delta) Apply(old kqresource.Root, digest kqresource.Digest) (kqresource.Root, []byte, error) {
	if digest != d.Base {
		return kqresource.Root{}, nil, fmt.Errorf("apply delta that yields version %d: %w", d.Changed.Version, ErrWrongBase)
	}
	next := d.Changed
	next.Hosts = mergeMaps(old.Hosts, d.Changed.Hosts, d.RemovedHosts)
	next.Services = mergeMaps(old.Services, d.Changed.Services, d.RemovedServices)
	data, err := kqresource.Encode(next)
	if err != nil {
		return kqresource.Root{}, nil, fmt.Errorf("apply delta that yields version %d: %w", next.Version, err)
	}
	if kqresource.DigestOf(data) != d.Result {
		return kqresource.Root{}, nil, fmt.Errorf("apply delta that yields version %d: %w", next.Version, kqresource.ErrDigestMismatch)
	}
	return next, data, nil
}

func equalParts(a, b kqresource.Parts) bool { return slices.Equal(a, b) }

func equalDigests(a, b kqresource.Digest) bool { return a == b }

// diffMaps returns the entries of next that are new or changed, and the keys of old that
// next lacks.
func diffMaps[K comparable, V any](old, next map[K]V, same func(a, b V) bool) (changed map[K]V, removed []K) {
	changed = make(map[K]V)
	for k, d := range next {
		if !same(old[k], d) {
			changed[k] = d
		}
	}
	for k := range old {
		if _, ok := next[k]; !ok {
			removed = append(removed, k)
		}
	}
	return changed, removed
}

// mergeMaps returns old without the removed keys and with the new and changed entries.
func mergeMaps[K comparable, V any](old, changed map[K]V, removed []K) map[K]V {
	result := make(map[K]V, len(old)+len(changed))
	maps.Copy(result, old)
	for _, k := range removed {
		delete(result, k)
	}
	maps.Copy(result, changed)
	return result
}
