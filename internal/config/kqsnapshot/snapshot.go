// Package kqsnapshot holds one whole, immutable configuration version as a
// node's traffic needs it: the routes of some hosts and every service that
// those routes name.
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

var (
	// ErrIncomplete tells that a named object is not at hand.
	ErrIncomplete = errors.New("configuration is incomplete")
	// ErrInvalid tells that the objects at hand contradict each other.
	ErrInvalid = errors.New("configuration is invalid")
)

type (
	// Snapshot is one whole configuration version, cut to some hosts.
	Snapshot struct {
		root     kqresource.Root
		hosts    map[kqname.Host]*index
		services map[kqname.Service]kqresource.Service
	}

	// Request is what a call is matched by.
	Request struct {
		Host   kqname.Host
		Path   string
		Method string
		// Header returns a header's value, or "" where there is none.
		Header func(name string) string
	}
)

// Build makes the snapshot of a root for the given hosts and services. It
// returns ErrIncomplete, and the digests that are missing, unless the objects
// hold the whole closure; hosts that the root does not name are passed over.
func Build(root kqresource.Root, objects kqresource.Objects, hosts []kqname.Host, services []kqname.Service) (*Snapshot, []kqresource.Digest, error) {
	b := &builder{
		objects: objects,
		snapshot: &Snapshot{
			root:     root,
			hosts:    make(map[kqname.Host]*index),
			services: make(map[kqname.Service]kqresource.Service),
		},
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
	return b.snapshot, nil, nil
}

// Version returns the snapshot's configuration version; 0 is the empty one.
func (s *Snapshot) Version() kqname.ConfigVersion { return s.root.Version }

// Root returns the root that the snapshot was built from.
func (s *Snapshot) Root() kqresource.Root { return s.root }

// Knows reports whether the configuration version has routes for the host at
// all, and whether this snapshot holds them.
func (s *Snapshot) Knows(host kqname.Host) (exists, held bool) {
	_, exists = s.root.Hosts[host]
	_, held = s.hosts[host]
	return exists, held
}

// Service returns a service that the snapshot holds.
func (s *Snapshot) Service(name kqname.Service) (kqresource.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the services that the snapshot holds, by name.
func (s *Snapshot) Services() map[kqname.Service]kqresource.Service { return s.services }

// Match returns the first route that fits the request.
func (s *Snapshot) Match(r Request) (kqdocument.Route, bool) {
	x, ok := s.hosts[r.Host]
	if !ok {
		return kqdocument.Route{}, false
	}
	return x.match(r)
}

type builder struct {
	objects  kqresource.Objects
	snapshot *Snapshot
	missing  []kqresource.Digest
}

func (b *builder) host(name kqname.Host) error {
	digest, ok := b.snapshot.root.Hosts[name]
	if !ok {
		return nil
	}
	data, ok := b.objects[digest]
	if !ok {
		b.missing = append(b.missing, digest)
		return nil
	}
	var h kqresource.Host
	if err := kqresource.Decode(data, &h); err != nil {
		return fmt.Errorf("host %s: %w", name, errors.Join(ErrInvalid, err))
	}
	if h.Name != name {
		return fmt.Errorf("host %s is called %s: %w", name, h.Name, ErrInvalid)
	}
	slices.SortFunc(h.Routes, precedence)
	for _, r := range h.Routes {
		if err := b.service(r.Service); err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
	}
	b.snapshot.hosts[name] = newIndex(h.Routes)
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
