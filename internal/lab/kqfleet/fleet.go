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
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	loopback = "127.0.0.1:0"
	seeds    = 3
)

type (
	// Fleet is a set of running servers and the platform that they share.
	Fleet struct {
		Platform *kqstandin.Standin

		logger  *kqlog.Logger
		store   kqstore.Store
		adapt   func(*kqsettings.Settings)
		mu      sync.Mutex
		servers []*Server
		group   conc.WaitGroup
		control atomic.Int64
	}

	// Spec says what a server runs.
	Spec struct {
		Node      kqname.Node
		Domain    kqname.Domain
		Region    kqname.Region
		Service   kqname.Service
		Version   kqname.UpstreamVersion
		Slots     int
		Behaviour kqupstream.Behaviour
		// Admin switches the node's admin server on.
		Admin bool
	}

	// Option sets up a Fleet.
	Option func(*Fleet)
)

// WithLogger sets where the nodes log.
func WithLogger(l *kqlog.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithSettings lets adapt change each node's settings before its start.
func WithSettings(adapt func(*kqsettings.Settings)) Option { return func(f *Fleet) { f.adapt = adapt } }

// New returns a fleet without servers.
func New(options ...Option) *Fleet {
	f := &Fleet{Platform: kqstandin.New(), logger: kqlog.Discard(), adapt: func(*kqsettings.Settings) {}}
	for _, o := range options {
		o(f)
	}
	f.store = f.Platform
	return f
}

// Start adds a server and runs it.
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
	f.adapt(&s)
	f.mu.Unlock()
	server := &Server{Spec: spec, fleet: f, nodeDone: make(chan struct{})}
	var err error
	server.Node, err = kqnode.New(s, f.store, kqnode.WithLogger(f.logger), kqnode.WithListener(server.wrap))
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", spec.Node, err)
	}
	server.runNode()
	if spec.Service != "" {
		server.Upstream, err = server.StartBeside(spec.Version, spec.Slots, spec.Behaviour)
		if err != nil {
			return nil, fmt.Errorf("start server %s: %w", spec.Node, err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, server)
	return server, nil
}

// Restart puts a new server in the place of one that was stopped or killed. It
// has the same name and nothing else of it.
func (f *Fleet) Restart(old *Server) (*Server, error) {
	f.mu.Lock()
	f.servers = slices.DeleteFunc(f.servers, func(s *Server) bool { return s == old })
	f.mu.Unlock()
	return f.Start(old.Spec)
}

// ControlBytes returns the bytes that nodes have exchanged on their control
// listeners, each counted once, where it was received.
func (f *Fleet) ControlBytes() int64 { return f.control.Load() }

// Servers returns the servers that were started, stopped ones included unless
// they were restarted.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Server(nil), f.servers...)
}

// Close stops every server and returns their errors.
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

func (f *Fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, s := range f.servers {
		if len(list) < seeds && !s.ended() {
			list = append(list, string(s.Node.ControlAddress()))
		}
	}
	return list
}
