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
)

// line is a proxy that faults share: the last to begin decides.
type line struct {
	proxy *kqproxy.Proxy
	mu    sync.Mutex
	turn  int
}

// openLines puts proxies before the store and the nodes, where the plan harms lines.
func (s *Soak) openLines() error {
	if s.options.Planned {
		return nil
	}
	p, err := kqproxy.New(strings.TrimPrefix(s.storeURL, "http://"))
	if err != nil {
		return fmt.Errorf("put a line before the store: %w", err)
	}
	s.storeLine = &line{proxy: p}
	for _, n := range s.nodes {
		n.lines = make(map[kqsoak.Role]*line)
		for _, role := range []kqsoak.Role{kqsoak.RoleControl, kqsoak.RoleGate} {
			if role == kqsoak.RoleGate && !s.options.HasGateProxy(n.number) {
				continue
			}
			if p, err = kqproxy.New(""); err != nil {
				return fmt.Errorf("put a line before %s: %w", n.name, err)
			}
			n.lines[role] = &line{proxy: p}
		}
	}
	return nil
}

func (s *Soak) closeLines() {
	if s.storeLine != nil {
		s.storeLine.proxy.Close()
	}
	for _, n := range s.nodes {
		for _, l := range n.lines {
			l.proxy.Close()
		}
	}
}

// nodesStore returns the store's URL as nodes reach it.
func (s *Soak) nodesStore() string {
	if s.storeLine == nil {
		return s.storeURL
	}
	return "http://" + s.storeLine.proxy.Address()
}

// kill ends a process at once, and starts it again.
func (s *Soak) kill(ctx context.Context, n *node, f kqsoak.Fault) error {
	life := &n.life
	if f.Kind == kqsoak.KillUpstream {
		life = &n.upstream.life
	}
	life.Lock()
	defer life.Unlock()
	ended := s.checker.Fault(n.number, s.now())
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
	s.tell(event{Event: "fault ended", Target: n.name, Fault: &f})
	return nil
}

// pause stops a process for a while. The store's pause excuses no call.
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
	if f.Kind != kqsoak.PauseStore {
		ended := s.checker.Fault(n.number, s.now())
		defer func() { ended(s.now()) }()
	}
	err := c.Signal(syscall.SIGSTOP)
	sleep(ctx, f.For)
	s.tell(event{Event: "fault ended", Target: n.name, Fault: &f})
	return errors.Join(err, c.Signal(syscall.SIGCONT))
}

// harm harms a line for a while. That of the store's excuses no call.
func (s *Soak) harm(ctx context.Context, n *node, f kqsoak.Fault) error {
	l := s.storeLine
	if f.Kind == kqsoak.Line {
		l = n.lines[f.Role]
		ended := s.checker.Fault(n.number, s.now())
		defer func() { ended(s.now()) }()
	}
	l.mu.Lock()
	l.turn++
	turn := l.turn
	err := l.proxy.Set(f.Mode)
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("harm line: %w", err)
	}
	sleep(ctx, f.For)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.turn != turn {
		return nil
	}
	if err := l.proxy.Set(kqproxy.Pass); err != nil {
		return fmt.Errorf("mend line: %w", err)
	}
	s.tell(event{Event: "fault ended", Target: n.name, Fault: &f})
	return nil
}

// process returns the upstream's process, which may have ended.
func (u *upstream) process() *kqchild.Child {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.child
}
