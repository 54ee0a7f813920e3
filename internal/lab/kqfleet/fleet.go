// Package kqfleet runs a platform stand-in, nodes and fake upstreams on
// loopback in one process, for demonstrations, measurements and tests.
package kqfleet

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/platform/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/platform/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
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

	// Server is one VM: a node and its upstream.
	Server struct {
		Spec     Spec
		Node     *kqnode.Node
		Upstream *kqupstream.Upstream

		stopNode, stopUpstream context.CancelFunc
		nodeDone, upstreamDone chan struct{}
		err                    error
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
	f.adapt(&s)
	n, err := kqnode.New(s, f.store, kqnode.WithLogger(f.logger))
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", spec.Node, err)
	}
	server := &Server{Spec: spec, Node: n, nodeDone: make(chan struct{}), upstreamDone: make(chan struct{})}
	if spec.Service != "" {
		server.Upstream, err = kqupstream.New(spec.Service, spec.Version, spec.Slots, n.LocalAddress(), spec.Behaviour)
		if err != nil {
			return nil, fmt.Errorf("start server %s: %w", spec.Node, err)
		}
	}
	f.run(server)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, server)
	return server, nil
}

// Servers returns the servers that were started, stopped ones included.
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

// Stop drains the upstream and then the node, and waits for both.
func (s *Server) Stop() {
	s.stopUpstream()
	<-s.upstreamDone
	s.stopNode()
	<-s.nodeDone
}

func (f *Fleet) run(s *Server) {
	var nodeContext, upstreamContext context.Context
	nodeContext, s.stopNode = context.WithCancel(context.Background())
	upstreamContext, s.stopUpstream = context.WithCancel(context.Background())
	f.group.Go(func() {
		defer close(s.nodeDone)
		s.err = s.Node.Run(nodeContext)
	})
	f.group.Go(func() {
		defer close(s.upstreamDone)
		if s.Upstream != nil {
			// A fake upstream that cannot drain has calls cut; its callers count those.
			_ = s.Upstream.Run(upstreamContext)
		}
	})
}

func (f *Fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, s := range f.servers[:min(seeds, len(f.servers))] {
		list = append(list, string(s.Node.ControlAddress()))
	}
	return list
}
