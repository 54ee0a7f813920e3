package kqfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqcut"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Server is one VM: a node and its upstreams.
	Server struct {
		Spec Spec
		Node *kqnode.Node
		// Upstream is the one that the server started with; nil without one.
		Upstream *kqupstream.Upstream

		fleet     *Fleet
		listeners []*kqcut.Listener
		stopNode  context.CancelCauseFunc
		nodeDone  chan struct{}
		err       error

		mu     sync.Mutex
		beside []*running
	}

	// running is an upstream that runs beside a node.
	running struct {
		upstream *kqupstream.Upstream
		stop     context.CancelFunc
		done     chan struct{}
	}
)

// StartBeside starts one more upstream of the server's service on it.
func (s *Server) StartBeside(version kqname.UpstreamVersion, slots int, b kqupstream.Behaviour) (*kqupstream.Upstream, error) {
	u, err := kqupstream.New(s.Spec.Service, version, slots, s.Node.LocalAddress(), b)
	if err != nil {
		return nil, fmt.Errorf("start %s %s beside %s: %w", s.Spec.Service, version, s.Spec.Node, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{upstream: u, stop: stop, done: make(chan struct{})}
	s.fleet.group.Go(func() {
		defer close(r.done)
		// A fake upstream that cannot drain has calls cut; its callers count those.
		_ = u.Run(ctx)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beside = append(s.beside, r)
	return u, nil
}

// Stop drains the upstreams and then the node, and waits for them. It does
// nothing to a server that has ended.
func (s *Server) Stop() {
	for _, r := range s.upstreams() {
		r.stop()
		<-r.done
	}
	s.stopNode(nil)
	<-s.nodeDone
}

// Kill ends the server the way a lost VM does: nothing is drained, nobody is
// told, and every connection breaks.
func (s *Server) Kill() {
	s.stopNode(kqnode.ErrKilled)
	for _, l := range s.listeners {
		l.Cut()
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

func (s *Server) wrap(role kqnode.Role, l net.Listener) net.Listener {
	bytes := new(atomic.Int64)
	if role == kqnode.RoleControl {
		bytes = &s.fleet.control
	}
	wrapped := kqcut.New(l, bytes)
	s.listeners = append(s.listeners, wrapped)
	return wrapped
}

func (s *Server) upstreams() []*running {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*running(nil), s.beside...)
}

func (s *Server) ended() bool {
	select {
	case <-s.nodeDone:
		return true
	default:
		return false
	}
}
