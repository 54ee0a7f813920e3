package kqsnapshot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// BuildOption sets up a Build.
	BuildOption func(*builder)

	builder struct {
		objects  kqresource.Objects
		previous *Snapshot
		snapshot *Snapshot
		missing  []kqresource.Digest
	}
)

// WithPrevious takes over what another snapshot has decoded of objects that are
// the same in both.
func WithPrevious(s *Snapshot) BuildOption { return func(b *builder) { b.previous = s } }

// Build makes the snapshot of a root for the given hosts and services. It
// returns ErrIncomplete, and the digests that are missing, unless the objects
// hold the whole closure, and ErrInvalid if what they hold is not valid by the
// rules of kqdocument.Validate; hosts that the root does not name are passed
// over.
func Build(root kqresource.Root, objects kqresource.Objects, hosts []kqname.Host, services []kqname.Service, options ...BuildOption) (*Snapshot, []kqresource.Digest, error) {
	b := &builder{
		objects:  objects,
		previous: &Snapshot{},
		snapshot: &Snapshot{
			root:     root,
			hosts:    make(map[kqname.Host]*index),
			services: make(map[kqname.Service]kqresource.Service),
		},
	}
	for _, o := range options {
		o(b)
	}
	for _, h := range hosts {
		if err := b.host(h); err != nil {
			return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
		}
	}
	for _, s := range services {
		if _, ok := root.Services[s]; !ok {
			continue
		}
		if err := b.service(s); err != nil {
			return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
		}
	}
	if len(b.missing) > 0 {
		return nil, b.missing, fmt.Errorf("build version %d, %d objects missing: %w", root.Version, len(b.missing), ErrIncomplete)
	}
	if err := b.snapshot.check(); err != nil {
		return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
	}
	return b.snapshot, nil, nil
}

func (b *builder) host(name kqname.Host) error {
	parts, ok := b.snapshot.root.Hosts[name]
	if !ok {
		return nil
	}
	before := b.previous.hosts[name]
	if before != nil && slices.Equal(b.previous.root.Hosts[name], parts) {
		return b.index(name, before)
	}
	decoded := make(map[kqresource.Digest][]kqdocument.Route, len(parts))
	for _, digest := range parts {
		if before != nil && before.parts[digest] != nil {
			decoded[digest] = before.parts[digest]
			continue
		}
		data, ok := b.objects[digest]
		if !ok {
			b.missing = append(b.missing, digest)
			continue
		}
		routes, err := decodePart(name, data)
		if err != nil {
			return err
		}
		decoded[digest] = routes
	}
	if len(decoded) < len(parts) {
		return nil
	}
	return b.index(name, newIndex(decoded))
}

func decodePart(name kqname.Host, data []byte) ([]kqdocument.Route, error) {
	var h kqresource.Host
	if err := kqresource.Decode(data, &h); err != nil {
		return nil, fmt.Errorf("host %s: %w", name, errors.Join(ErrInvalid, err))
	}
	if h.Name != name {
		return nil, fmt.Errorf("host %s is called %s: %w", name, h.Name, ErrInvalid)
	}
	for _, r := range h.Routes {
		if r.Host != name {
			return nil, fmt.Errorf("route %s of host %s is in host %s: %w", r.Name, r.Host, name, ErrInvalid)
		}
	}
	return h.Routes, nil
}

func (b *builder) index(name kqname.Host, x *index) error {
	for _, routes := range x.prefixes {
		for _, r := range routes {
			for _, s := range r.Services() {
				if err := b.service(s); err != nil {
					return fmt.Errorf("route %s: %w", r.Name, err)
				}
			}
		}
	}
	b.snapshot.hosts[name] = x
	return nil
}

func (b *builder) service(name kqname.Service) error {
	if _, ok := b.snapshot.services[name]; ok {
		return nil
	}
	digest, ok := b.snapshot.root.Services[name]
	if !ok {
		return fmt.Errorf("service %s is not in the root: %w", name, ErrInvalid)
	}
	if s, ok := b.previous.services[name]; ok && b.previous.root.Services[name] == digest {
		b.snapshot.services[name] = s
		return nil
	}
	data, ok := b.objects[digest]
	if !ok {
		if !slices.Contains(b.missing, digest) {
			b.missing = append(b.missing, digest)
		}
		return nil
	}
	var s kqresource.Service
	if err := kqresource.Decode(data, &s); err != nil {
		return fmt.Errorf("service %s: %w", name, errors.Join(ErrInvalid, err))
	}
	if s.Service.Name != name {
		return fmt.Errorf("service %s is called %s: %w", name, s.Service.Name, ErrInvalid)
	}
	b.snapshot.services[name] = s
	return nil
}

// precedence puts the more exact route first.
func precedence(a, b kqdocument.Route) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(len(b.Method), len(a.Method)),
		cmp.Compare(a.Name, b.Name),
	)
}
