package kqsoakrun

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
)

// versionInterval is the pause between two commits of commitSeries, and between two
// attempts to commit a rollout.
const versionInterval = 300 * time.Millisecond

// runPlan injects the faults of the plan and then checks that the fleet recovers. It
// returns the first error of an injection instead, if there is one.
func (s *Soak) runPlan(ctx context.Context, plan kqsoak.Plan) error {
	began := s.now()
	var group conc.WaitGroup
	errs := make(chan error, len(plan))
	for _, f := range plan {
		if !sleep(ctx, began+f.At-s.now()) {
			break
		}
		group.Go(func() {
			if err := s.injectFault(ctx, f); err != nil && ctx.Err() == nil {
				errs <- fmt.Errorf("inject %s: %w", f.Kind, err)
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	// This is also logged if ctx ended before the last fault.
	s.logEvent(event{Event: "last fault ended"})
	from := s.now() + recoveryTime
	if !sleep(ctx, recoveryTime+recoveryWindow) {
		return nil
	}
	// The last second is left out, since calls are recorded only at their end.
	s.checker.CheckRecovery(from, s.now()-time.Second, minAnsweredShare)
	return nil
}

// injectFault injects one fault and returns at its end.
func (s *Soak) injectFault(ctx context.Context, f kqsoak.Fault) error {
	n := s.nodes[f.Target]
	s.logEvent(event{Event: "fault", Target: n.name, Fault: &f})
	switch f.Kind {
	case kqsoak.Leave:
		return s.restartNode(ctx, n, f)
	case kqsoak.Drain:
		return s.replaceUpstream(ctx, n, f)
	case kqsoak.Versions:
		return s.commitSeries(ctx, f.For)
	case kqsoak.KillNode, kqsoak.KillUpstream:
		return s.kill(ctx, n, f)
	case kqsoak.PauseNode, kqsoak.PauseUpstream, kqsoak.PauseStore:
		return s.pause(ctx, n, f)
	case kqsoak.NodeNetwork, kqsoak.StoreNetwork:
		return s.disrupt(ctx, n, f)
	case kqsoak.Rollout:
		return s.rollout(ctx, n, f)
	case kqsoak.Limit:
		return s.limitUpstream(ctx, n, f)
	case kqsoak.DeadlyRequest:
		return s.repeatDeadly(ctx, f)
	case kqsoak.Evacuate:
		return s.evacuate(ctx, n, f)
	case kqsoak.QuietLeave:
		return s.leaveQuietly(ctx, n, f)
	case kqsoak.Settings:
		return n.changeSettings()
	case kqsoak.Reload:
		if f.Changed {
			if err := n.changeSettings(); err != nil {
				return err
			}
		}
		n.reload(n.process())
	}
	return nil
}

// restartNode stops a node with SIGTERM and starts it again f.For after it has exited. A
// node that does not exit within exitTimeout is recorded as a wrong exit and killed.
func (s *Soak) restartNode(ctx context.Context, n *node, f kqsoak.Fault) error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	c := n.process()
	s.checker.NodeRestarted(n.number)
	// A younger process may not have installed its signal handlers.
	time.Sleep(kqsoak.MinSignalAge - c.Age())
	if err := c.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-c.Ended():
	case <-time.After(exitTimeout):
		s.checker.RecordWrongExit(n.name, fmt.Sprintf("still running %v after SIGTERM", exitTimeout), s.now())
		s.children.kill(c)
	}
	if !sleep(ctx, f.For) {
		return nil
	}
	return n.start(f.AfterStart)
}

// replaceUpstream stops an upstream with SIGTERM, or kills it after exitTimeout, and
// starts another in its place f.For after it has exited.
func (s *Soak) replaceUpstream(ctx context.Context, n *node, f kqsoak.Fault) error {
	n.upstream.lifecycle.Lock()
	defer n.upstream.lifecycle.Unlock()
	c := n.upstream.process()
	if err := c.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-c.Ended():
	case <-time.After(exitTimeout):
		s.children.kill(c)
	}
	if !sleep(ctx, f.For) {
		return nil
	}
	return n.startUpstream()
}

// commitSeries commits versions one after another for a given time. A failed commit is
// logged only.
func (s *Soak) commitSeries(ctx context.Context, duration time.Duration) error {
	for end := s.now() + duration; s.now() < end; {
		if err := s.commit(ctx); err != nil {
			// An operator would retry; the store may be unavailable during a fault.
			s.logEvent(event{Event: "not committed", Text: err.Error()})
		}
		if !sleep(ctx, versionInterval) {
			return nil
		}
	}
	return nil
}

// sleep waits for a duration and reports false if ctx ended first.
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
