package kqsoakrun

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqchild"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqproxy"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

// faultProxy is a proxy whose mode faults set; of overlapping faults, the last to begin
// determines the mode.
type faultProxy struct {
	proxy      *kqproxy.Proxy
	mu         sync.Mutex
	generation int
}

// openProxies opens proxies in front of the store and the nodes if the plan has
// unplanned faults.
func (s *Soak) openProxies() error {
	if s.options.PlannedOnly {
		return nil
	}
	p, err := kqproxy.New(s.address(proxySubnet, 0), strings.TrimPrefix(s.storeURL, "http://"))
	if err != nil {
		return fmt.Errorf("open proxy for the store: %w", err)
	}
	s.storeProxy = &faultProxy{proxy: p}
	for _, n := range s.nodes {
		n.proxies = make(map[kqsoak.Role]*faultProxy)
		for _, role := range []kqsoak.Role{kqsoak.RoleControl, kqsoak.RoleGate} {
			if role == kqsoak.RoleGate && !s.options.HasGateProxy(n.number) {
				continue
			}
			if p, err = kqproxy.New(s.address(proxySubnet, 0), ""); err != nil {
				return fmt.Errorf("open proxy for %s: %w", n.name, err)
			}
			n.proxies[role] = &faultProxy{proxy: p}
		}
	}
	return nil
}

func (s *Soak) closeProxies() {
	if s.storeProxy != nil {
		s.storeProxy.proxy.Close()
	}
	for _, n := range s.nodes {
		for _, fp := range n.proxies {
			fp.proxy.Close()
		}
	}
}

// storeURLForNodes returns the URL under which nodes reach the store.
func (s *Soak) storeURLForNodes() string {
	if s.storeProxy == nil {
		return s.storeURL
	}
	return "http://" + s.storeProxy.proxy.Address()
}

// kill kills a node or an upstream and starts it again after f.For, an upstream at a new
// address.
func (s *Soak) kill(ctx context.Context, n *node, f kqsoak.Fault) error {
	lifecycle := &n.lifecycle
	if f.Kind == kqsoak.KillUpstream {
		lifecycle = &n.upstream.lifecycle
	}
	lifecycle.Lock()
	defer lifecycle.Unlock()
	ended := s.checker.Disruption(n.number, s.now())
	if f.Kind == kqsoak.KillUpstream {
		s.children.kill(n.upstream.process())
	} else {
		s.children.kill(n.process())
	}
	if !sleep(ctx, f.For) {
		return nil
	}
	start := n.startUpstream
	if f.Kind == kqsoak.KillNode {
		start = func() error { return n.start(nil) }
	}
	if err := start(); err != nil {
		return err
	}
	ended(s.now())
	s.logEvent(event{Event: "fault ended", Target: n.name, Fault: &f})
	return nil
}

// pause suspends a process for the fault's duration. Suspending the store excuses no
// lost call.
func (s *Soak) pause(ctx context.Context, n *node, f kqsoak.Fault) error {
	var c *kqchild.Child
	switch f.Kind {
	case kqsoak.PauseStore:
		c = s.store
	case kqsoak.PauseUpstream:
		c = n.upstream.process()
	default:
		c = n.process()
	}
	disrupted := n.number
	if f.Kind == kqsoak.PauseStore {
		disrupted = kqsoakcheck.Store
	}
	ended := s.checker.Disruption(disrupted, s.now())
	defer func() { ended(s.now()) }()
	err := c.Signal(syscall.SIGSTOP)
	sleep(ctx, f.For)
	s.logEvent(event{Event: "fault ended", Target: n.name, Fault: &f})
	return errors.Join(err, c.Signal(syscall.SIGCONT))
}

// disrupt sets the mode of a proxy for the fault's duration. Disrupting the store's
// connections excuses no lost call.
func (s *Soak) disrupt(ctx context.Context, n *node, f kqsoak.Fault) error {
	fp, disrupted := s.storeProxy, kqsoakcheck.Store
	if f.Kind == kqsoak.NodeNetwork {
		fp, disrupted = n.proxies[f.Role], n.number
	}
	ended := s.checker.Disruption(disrupted, s.now())
	defer func() { ended(s.now()) }()
	fp.mu.Lock()
	fp.generation++
	generation := fp.generation
	err := fp.proxy.SetMode(f.Mode)
	fp.mu.Unlock()
	if err != nil {
		return fmt.Errorf("disrupt connections: %w", err)
	}
	sleep(ctx, f.For)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.generation != generation {
		return nil
	}
	if err := fp.proxy.SetMode(kqproxy.Pass); err != nil {
		return fmt.Errorf("restore connections: %w", err)
	}
	s.logEvent(event{Event: "fault ended", Target: n.name, Fault: &f})
	return nil
}

// process returns the upstream's process, which may have exited.
func (u *upstream) process() *kqchild.Child {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.child
}
