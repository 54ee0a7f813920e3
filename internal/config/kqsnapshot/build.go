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
	// BuildOption configures a Build.
	BuildOption func(*builder)

	builder struct {
		objects  kqresource.Objects
		previous *Snapshot
		snapshot *Snapshot
		missing  []kqresource.Digest
	}
)

// WithPrevious reuses the decoded objects that s has in common with the new
// snapshot.
func WithPrevious(s *Snapshot) BuildOption { return func(b *builder) { b.previous = s } }

// Build builds the snapshot of a root, which names every object of one version, for the
// given hosts and services, the services that the hosts' routes name, and all workspaces. If objects are
// missing, it returns ErrIncomplete and the digests of those known to be missing; while
// a host's routes are missing, these lack the services that the routes name. It returns
// ErrInvalid if an object is malformed or belongs to another host or service, if a route
// names a service that the root lacks, or if the content violates the rules of
// kqdocument.Validate. Given hosts and services that the root lacks are skipped.
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
		if err := b.addHost(h); err != nil {
			return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
		}
	}
	for _, s := range services {
		if _, ok := root.Services[s]; !ok {
			continue
		}
		if err := b.addService(s); err != nil {
			return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
		}
	}
	if err := b.addWorkspaces(); err != nil {
		return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
	}
	if len(b.missing) > 0 {
		return nil, b.missing, fmt.Errorf("build version %d, %d objects missing: %w", root.Version, len(b.missing), ErrIncomplete)
	}
	if err := b.snapshot.validate(); err != nil {
		return nil, nil, fmt.Errorf("build version %d: %w", root.Version, err)
	}
	return b.snapshot, nil, nil
}

// addHost adds a host's index, or the digests of its missing objects to b.missing. It
// skips a host that the root lacks.
func (b *builder) addHost(name kqname.Host) error {
	parts, ok := b.snapshot.root.Hosts[name]
	if !ok {
		return nil
	}
	previousIndex := b.previous.hosts[name]
	if previousIndex != nil && slices.Equal(b.previous.root.Hosts[name], parts) {
		return b.index(name, previousIndex)
	}
	decoded := make(map[kqresource.Digest][]kqdocument.Route, len(parts))
	for _, digest := range parts {
		if previousIndex != nil && previousIndex.parts[digest] != nil {
			decoded[digest] = previousIndex.parts[digest]
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

// decodePart decodes an object that holds some of a host's routes, and checks that it
// belongs to that host.
func decodePart(name kqname.Host, data []byte) ([]kqdocument.Route, error) {
	var h kqresource.Host
	if err := kqresource.Decode(data, &h); err != nil {
		return nil, fmt.Errorf("host %s: %w", name, errors.Join(ErrInvalid, err))
	}
	if h.Name != name {
		return nil, fmt.Errorf("object of host %s holds host %s: %w", name, h.Name, ErrInvalid)
	}
	for _, r := range h.Routes {
		if r.Host != name {
			return nil, fmt.Errorf("route %s of host %s is in the object of host %s: %w", r.Name, r.Host, name, ErrInvalid)
		}
	}
	return h.Routes, nil
}

// index adds a host's index and the services that its routes name.
func (b *builder) index(name kqname.Host, x *index) error {
	for _, routes := range x.prefixes {
		for _, r := range routes {
			for _, s := range r.Services() {
				if err := b.addService(s); err != nil {
					return fmt.Errorf("route %s: %w", r.Name, err)
				}
			}
		}
	}
	b.snapshot.hosts[name] = x
	return nil
}

// addService adds a service, or the digest of its missing object to b.missing.
func (b *builder) addService(name kqname.Service) error {
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
		return fmt.Errorf("object of service %s holds service %s: %w", name, s.Service.Name, ErrInvalid)
	}
	b.snapshot.services[name] = s
	return nil
}

// addWorkspaces adds all workspaces of the root, or the digests of their missing objects to
// b.missing. Every node holds all, since a workspace's callers may come to any node.
func (b *builder) addWorkspaces() error {
	parts := b.snapshot.root.Workspaces
	if len(parts) == 0 {
		return nil
	}
	previous := b.previous.workspaces
	if previous != nil && slices.Equal(b.previous.root.Workspaces, parts) {
		b.snapshot.workspaces = previous
		return nil
	}
	decoded := make(map[kqresource.Digest][]kqdocument.Workspace, len(parts))
	for _, digest := range parts {
		if previous != nil && previous.parts[digest] != nil {
			decoded[digest] = previous.parts[digest]
			continue
		}
		data, ok := b.objects[digest]
		if !ok {
			b.missing = append(b.missing, digest)
			continue
		}
		var w kqresource.Workspaces
		if err := kqresource.Decode(data, &w); err != nil {
			return fmt.Errorf("workspaces: %w", errors.Join(ErrInvalid, err))
		}
		decoded[digest] = w.Workspaces
	}
	if len(decoded) < len(parts) {
		return nil
	}
	var err error
	b.snapshot.workspaces, err = newWorkspaceIndex(decoded)
	return err
}

// compareRoutes orders the more specific route first: by the length of the prefix, the
// number of headers and the length of the method, which is 0 for a route that matches
// every method. Ties are ordered by name.
func compareRoutes(a, b kqdocument.Route) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(len(b.Method), len(a.Method)),
		cmp.Compare(a.Name, b.Name),
	)
}
