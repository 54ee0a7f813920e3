package kqfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqresetlistener"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Server is one simulated VM: a node and its upstreams.
	Server struct {
		Spec Spec
		Node *kqnode.Node
		// Upstream is the upstream that Fleet.Start started; nil without a service.
		Upstream *kqupstream.Upstream

		fleet     *Fleet
		listeners []*kqresetlistener.Listener
		stopNode  context.CancelCauseFunc
		nodeDone  chan struct{}
		// err is the result of Node.Run, or nil if Kill ended the node.
		err error

		mu sync.Mutex
		// running holds all upstreams that were started, including stopped ones.
		running []*runningUpstream
	}

	// runningUpstream is an upstream that was started on a server. stop makes it drain,
	// and done is closed once it has ended.
	runningUpstream struct {
		upstream *kqupstream.Upstream
		stop     context.CancelFunc
		done     chan struct{}
	}
)

// StartUpstream starts another upstream of the server's service on this server.
func (s *Server) StartUpstream(version kqname.UpstreamVersion, slots int, b kqupstream.Behaviour) (*kqupstream.Upstream, error) {
	u, err := kqupstream.New(s.Spec.Service, version, slots, s.Node.LocalAddress(), b)
	if err != nil {
		return nil, fmt.Errorf("start upstream %s %s on server %s: %w", s.Spec.Service, version, s.Spec.Node, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningUpstream{upstream: u, stop: stop, done: make(chan struct{})}
	s.fleet.group.Go(func() {
		defer close(r.done)
		// The error is ignored: the callers count the calls that an incomplete drain breaks.
		_ = u.Run(ctx)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = append(s.running, r)
	return u, nil
}

// Stop drains the upstreams one after the other, then the node, and waits for them. It
// has no effect on a server that has already stopped.
func (s *Server) Stop() {
	for _, r := range s.upstreams() {
		r.stop()
		<-r.done
	}
	s.stopNode(nil)
	<-s.nodeDone
}

// Kill simulates the loss of the VM: nothing is drained, no departure is announced, and
// every connection that the node or an upstream accepted is reset. It must be called at
// most once.
func (s *Server) Kill() {
	s.stopNode(kqnode.ErrKilled)
	for _, l := range s.listeners {
		l.ResetAll()
	}
	for _, r := range s.upstreams() {
		r.upstream.Kill()
	}
	<-s.nodeDone
}

func (s *Server) runNode() {
	var ctx context.Context
	ctx, s.stopNode = context.WithCancelCause(context.Background())
	s.fleet.group.Go(func() {
		defer close(s.nodeDone)
		err := s.Node.Run(ctx)
		if !errors.Is(context.Cause(ctx), kqnode.ErrKilled) {
			s.err = err
		}
	})
}

func (s *Server) wrapListener(role kqnode.Role, l net.Listener) net.Listener {
	transferred := new(atomic.Int64)
	if role == kqnode.RoleControl {
		transferred = &s.fleet.controlBytes
	}
	wrapped := kqresetlistener.New(l, transferred)
	s.listeners = append(s.listeners, wrapped)
	if s.fleet.tap != nil {
		return tapListener{wrapped, role, s.fleet.tap}
	}
	return wrapped
}

func (s *Server) upstreams() []*runningUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*runningUpstream(nil), s.running...)
}

func (s *Server) isStopped() bool {
	select {
	case <-s.nodeDone:
		return true
	default:
		return false
	}
}
