package kqsnapshot

import (
	"github.com/joomcode/errorx"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	// namespace holds the package's error types; its errors are made once and carry
	// no stack.
	namespace = errorx.NewNamespace("kqsnapshot").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrIncomplete tells that a named object is not at hand.
	ErrIncomplete = namespace.NewType("incomplete").New("configuration is incomplete")
	// ErrInvalid tells that the objects at hand contradict each other.
	ErrInvalid = namespace.NewType("invalid").New("configuration is invalid")
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

// Version returns the snapshot's configuration version; 0 is the empty one.
func (s *Snapshot) Version() kqname.ConfigVersion { return s.root.Version }

// Root returns the root that the snapshot was built from.
func (s *Snapshot) Root() kqresource.Root { return s.root }

// Digests returns the digests of the objects that the snapshot was made from.
func (s *Snapshot) Digests() []kqresource.Digest {
	list := make([]kqresource.Digest, 0, len(s.hosts)+len(s.services))
	for h := range s.hosts {
		list = append(list, s.root.Hosts[h]...)
	}
	for n := range s.services {
		list = append(list, s.root.Services[n])
	}
	return list
}

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
