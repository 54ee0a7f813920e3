package kqsoakrun

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
)

// versionsEvery is the pause between two versions of a series.
const versionsEvery = 300 * time.Millisecond

// faults plays the plan, and then watches the fleet recover.
func (s *Soak) faults(ctx context.Context, plan kqsoak.Plan) error {
	began := s.now()
	var group conc.WaitGroup
	errs := make(chan error, len(plan))
	for _, f := range plan {
		if !sleep(ctx, began+f.At-s.now()) {
			break
		}
		group.Go(func() {
			if err := s.fault(ctx, f); err != nil && ctx.Err() == nil {
				errs <- fmt.Errorf("play %s: %w", f.Kind, err)
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	s.tell(event{Event: "last fault ended"})
	from := s.now() + recovery
	if !sleep(ctx, recovery+watched) {
		return nil
	}
	s.checker.CheckRecovery(from, s.now()-time.Second, leastShare)
	return nil
}

// fault plays one fault to its end.
func (s *Soak) fault(ctx context.Context, f kqsoak.Fault) error {
	n := s.nodes[f.Target]
	s.tell(event{Event: "fault", Target: n.name, Fault: &f})
	switch f.Kind {
	case kqsoak.Leave:
		return s.leave(ctx, n, f)
	case kqsoak.Drain:
		return s.drain(ctx, n, f)
	case kqsoak.Versions:
		return s.series(ctx, f.For)
	case kqsoak.KillNode, kqsoak.KillUpstream:
		return s.kill(ctx, n, f)
	case kqsoak.PauseNode, kqsoak.PauseUpstream, kqsoak.PauseStore:
		return s.pause(ctx, n, f)
	case kqsoak.Line, kqsoak.StoreLine:
		return s.harm(ctx, n, f)
	case kqsoak.Rollout:
		return s.rollout(ctx, n, f)
	case kqsoak.Settings:
		return n.change()
	case kqsoak.Reload:
		if f.Changed {
			if err := n.change(); err != nil {
				return err
			}
		}
		n.reload(n.process())
	}
	return nil
}

// leave stops a node and starts it again.
func (s *Soak) leave(ctx context.Context, n *node, f kqsoak.Fault) error {
	n.life.Lock()
	defer n.life.Unlock()
	c := n.process()
	time.Sleep(kqsoak.MinSignalAge - c.Age())
	if err := c.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-c.Ended():
	case <-time.After(endWithin):
		s.checker.Exited(n.name, fmt.Sprintf("not %v after SIGTERM", endWithin), s.now())
		s.children.kill(c)
	}
	if !sleep(ctx, f.For) {
		return nil
	}
	return n.start(f.AfterStart)
}

// drain stops an upstream, and starts another in its place.
func (s *Soak) drain(ctx context.Context, n *node, f kqsoak.Fault) error {
	n.upstream.life.Lock()
	defer n.upstream.life.Unlock()
	c := n.upstream.process()
	if err := c.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-c.Ended():
	case <-time.After(endWithin):
		s.children.kill(c)
	}
	if !sleep(ctx, f.For) {
		return nil
	}
	return n.startUpstream()
}

// series commits versions one after another for a while.
func (s *Soak) series(ctx context.Context, length time.Duration) error {
	for end := s.now() + length; s.now() < end; {
		if err := s.commit(ctx); err != nil {
			// An operator tries again; the store may be away.
			s.tell(event{Event: "not committed", Text: err.Error()})
		}
		if !sleep(ctx, versionsEvery) {
			return nil
		}
	}
	return nil
}

// sleep reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
