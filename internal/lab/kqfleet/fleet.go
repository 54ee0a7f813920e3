package kqfleet

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	loopback = "127.0.0.1:0"
	// seeds is the maximum number of seed addresses that a new node gets.
	seeds = 3
)

type (
	// Fleet is a set of servers and the in-memory platform that they share.
	Fleet struct {
		Platform *kqfakestore.Fake

		logger         *kqlog.Logger
		store          kqstore.Store
		adjustSettings func(*kqsettings.Settings)
		// tap is nil if no option sets it.
		tap Tap
		// mu guards servers and serializes the calls of adjustSettings.
		mu           sync.Mutex
		servers      []*Server
		group        conc.WaitGroup
		controlBytes atomic.Int64
	}

	// Spec describes the node and the upstream of a server. A server without a Service
	// has no upstream.
	Spec struct {
		Node      kqname.Node
		Domain    kqname.Domain
		Region    kqname.Region
		Service   kqname.Service
		Version   kqname.UpstreamVersion
		Slots     int
		Behaviour kqupstream.Behaviour
		// Admin enables the node's admin server.
		Admin bool
	}

	// Option configures a Fleet.
	Option func(*Fleet)
)

// WithLogger sets the logger of the nodes.
func WithLogger(l *kqlog.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithSettings sets a function that adjusts each node's settings before it starts. The
// function is never called concurrently.
func WithSettings(adjustSettings func(*kqsettings.Settings)) Option {
	return func(f *Fleet) { f.adjustSettings = adjustSettings }
}

// New returns a fleet without servers.
func New(options ...Option) *Fleet {
	f := &Fleet{Platform: kqfakestore.New(), logger: kqlog.Discard(), adjustSettings: func(*kqsettings.Settings) {}}
	for _, o := range options {
		o(f)
	}
	f.store = f.Platform
	return f
}

// Start adds a server and runs its node and, if it has a service, its upstream. If the
// upstream fails to start, the server is not added but its node keeps running, so that
// Close waits forever.
func (f *Fleet) Start(spec Spec) (*Server, error) {
	s := kqsettings.Default()
	s.Node.Name, s.Node.Domain, s.Node.Region, s.Node.Service = spec.Node, spec.Domain, spec.Region, spec.Service
	s.Node.EntryListen, s.Node.LocalListen = loopback, loopback
	s.Node.GateListen, s.Node.ControlListen = loopback, loopback
	if spec.Admin {
		s.Admin.Listen = loopback
	}
	s.Member.Seeds = f.seeds()
	f.mu.Lock()
	f.adjustSettings(&s)
	f.mu.Unlock()
	server := &Server{Spec: spec, fleet: f, nodeDone: make(chan struct{})}
	var err error
	server.Node, err = kqnode.New(s, f.store, kqnode.WithLogger(f.logger), kqnode.WithListener(server.wrapListener))
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", spec.Node, err)
	}
	server.runNode()
	if spec.Service != "" {
		server.Upstream, err = server.StartUpstream(spec.Version, spec.Slots, spec.Behaviour)
		if err != nil {
			return nil, fmt.Errorf("start server %s: %w", spec.Node, err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, server)
	return server, nil
}

// Restart replaces a stopped or killed server with a new one of the same Spec.
// The new one keeps the node name but no state, addresses or connections. Upstreams that
// StartUpstream added to the old one are not started again.
func (f *Fleet) Restart(old *Server) (*Server, error) {
	f.mu.Lock()
	f.servers = slices.DeleteFunc(f.servers, func(s *Server) bool { return s == old })
	f.mu.Unlock()
	return f.Start(old.Spec)
}

// ControlBytes returns the bytes read and written on connections that the nodes'
// control listeners accepted. The dialing end is not counted, so each byte
// counts once.
func (f *Fleet) ControlBytes() int64 { return f.controlBytes.Load() }

// Servers returns all servers that were started. Stopped ones are included
// unless Restart replaced them.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Server(nil), f.servers...)
}

// Close stops the servers that Servers returns and returns the errors of their nodes.
// Nodes that were killed have none.
func (f *Fleet) Close() error {
	servers := f.Servers()
	var stops conc.WaitGroup
	for _, s := range servers {
		stops.Go(s.Stop)
	}
	stops.Wait()
	f.group.Wait()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.err)
	}
	return errors.Join(errs...)
}

// seeds returns the control addresses of the first servers that have not stopped, as
// many as the constant seeds allows.
func (f *Fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, s := range f.servers {
		if len(list) < seeds && !s.isStopped() {
			list = append(list, string(s.Node.ControlAddress()))
		}
	}
	return list
}
