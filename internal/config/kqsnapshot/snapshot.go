package kqsnapshot

import (
	"github.com/joomcode/errorx"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	// namespace holds the package's error types. The errors are package-level
	// sentinels, so they carry no stack trace.
	namespace = errorx.NewNamespace("kqsnapshot").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrIncomplete means that objects of the configuration are missing.
	ErrIncomplete = namespace.NewType("incomplete").New("configuration is incomplete")
	// ErrInvalid means that the objects are malformed, inconsistent or violate the
	// rules for documents.
	ErrInvalid = namespace.NewType("invalid").New("configuration is invalid")
)

type (
	// Snapshot is one configuration version, reduced to some hosts and services. It
	// is immutable.
	Snapshot struct {
		root     kqresource.Root
		hosts    map[kqname.Host]*index
		services map[kqname.Service]kqresource.Service
		// workspaces is nil if the version has no workspaces.
		workspaces *workspaceIndex
	}

	// Request holds the properties of a call that routes are matched against.
	Request struct {
		Host   kqname.Host
		Path   string
		Method string
		// Header returns a header's value, or "" if the call has none.
		Header func(name string) string
	}
)

// Version returns the snapshot's configuration version, which is 0 for an empty one.
func (s *Snapshot) Version() kqname.ConfigVersion { return s.root.Version }

// Root returns the root that the snapshot was built from.
func (s *Snapshot) Root() kqresource.Root { return s.root }

// Digests returns the digests of the objects that the snapshot was built from.
func (s *Snapshot) Digests() []kqresource.Digest {
	list := make([]kqresource.Digest, 0, len(s.hosts)+len(s.services))
	for h := range s.hosts {
		list = append(list, s.root.Hosts[h]...)
	}
	for n := range s.services {
		list = append(list, s.root.Services[n])
	}
	return append(list, s.root.Workspaces...)
}

// HostStatus reports whether the configuration version has routes for the host, and
// whether this snapshot, which is reduced to some hosts, holds them.
func (s *Snapshot) HostStatus(host kqname.Host) (exists, held bool) {
	_, exists = s.root.Hosts[host]
	_, held = s.hosts[host]
	return exists, held
}

// Service returns a service that the snapshot holds.
func (s *Snapshot) Service(name kqname.Service) (kqresource.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Evacuated returns the evacuated failure domains. The caller must not change the slice.
func (s *Snapshot) Evacuated() []kqname.Domain {
	if ignoresEvacuations {
		return nil
	}
	return s.root.Evacuated
}

// Services returns the services that the snapshot holds, by name. The caller must
// not change the map.
func (s *Snapshot) Services() map[kqname.Service]kqresource.Service { return s.services }

// Match returns the most specific route that matches the request.
func (s *Snapshot) Match(r Request) (kqdocument.Route, bool) {
	x, ok := s.hosts[r.Host]
	if !ok {
		return kqdocument.Route{}, false
	}
	return x.match(r)
}
