package kqdemo

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// rolloutDelay is the time from the start of the new versions to the start of
	// the rollouts, rolloutWindow the time from then to their deadline.
	rolloutDelay  = 1500 * time.Millisecond
	rolloutWindow = 16 * time.Second
	// rolloutGrace is how long the script waits for rollouts after their deadline.
	rolloutGrace        = 4 * time.Second
	rolloutPollInterval = 20 * time.Millisecond
)

// observedRollout is the state of a rollout as read from the nodes.
type observedRollout struct {
	dep             deployment
	start, deadline time.Time
	// detected is when a node first showed that the new version gets no more
	// calls; ended is when a node first showed a final state.
	detected, ended time.Time
	state           kqtracker.State
	reason          string
}

func (s *script) startRollouts(ctx context.Context) error {
	for _, t := range s.demo.targetPool.targets() {
		for _, dep := range deployments {
			if dep.service != t.server.Spec.Service {
				continue
			}
			if err := s.startNewVersion(t.server, dep); err != nil {
				return err
			}
		}
	}
	st := &s.demo.documentState
	st.hasRollouts, st.start = true, time.Now().Add(rolloutDelay)
	st.deadline = st.start.Add(rolloutWindow)
	for _, dep := range deployments {
		s.observedRollout = append(s.observedRollout, &observedRollout{dep: dep, start: st.start, deadline: st.deadline})
	}
	if err := s.commitProbe(ctx); err != nil {
		return err
	}
	s.loadGroup.Go(func() { s.watchRollouts(ctx) })
	return nil
}

// watchRollouts polls the rollouts of every node until all have ended, the grace
// period is over or ctx ends.
func (s *script) watchRollouts(ctx context.Context) {
	until := s.demo.documentState.deadline.Add(rolloutGrace)
	for ctx.Err() == nil && time.Now().Before(until) && !s.allRolloutsEnded() {
		var group conc.WaitGroup
		for _, t := range s.demo.targetPool.targets() {
			group.Go(func() { s.readRollouts(t) })
		}
		group.Wait()
		time.Sleep(rolloutPollInterval)
	}
}

func (s *script) readRollouts(t *target) {
	list := t.server.Node.Rollouts()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range list {
		for _, o := range s.observedRollout {
			if o.dep.rolloutName() == status.Rollout {
				o.update(status, now)
			}
		}
	}
}

func (o *observedRollout) update(status kqtracker.Status, now time.Time) {
	// Before step 1, the new version gets no calls yet. From then on, a share of 0
	// means that it gets no more.
	newVersionStopped := status.State == kqtracker.Running && status.Step > 0 && status.Share == 0
	if o.detected.IsZero() && (newVersionStopped || status.State == kqtracker.FinalRollback) {
		o.detected = now
	}
	if o.ended.IsZero() && (status.State == kqtracker.Done || status.State == kqtracker.FinalRollback) {
		o.ended, o.state, o.reason = now, status.State, status.Why
	}
	if o.ended.IsZero() {
		o.state, o.reason = status.State, status.Why
	}
}

func (s *script) allRolloutsEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.observedRollout {
		if o.ended.IsZero() {
			return false
		}
	}
	return true
}

func (s *script) awaitRollouts(ctx context.Context) error {
	until := s.demo.documentState.deadline.Add(rolloutGrace)
	for ctx.Err() == nil && time.Now().Before(until) && !s.allRolloutsEnded() {
		time.Sleep(rolloutPollInterval)
	}
	return ctx.Err()
}

// doneOnTime reports whether the rollout was done by its deadline.
func (o *observedRollout) doneOnTime() bool {
	return o.state == kqtracker.Done && !o.ended.IsZero() && !o.ended.After(o.deadline)
}

// maxNewShare returns the largest share of its service's calls that the new
// version began in any second. The seconds are counted from start, and the last
// one starts before end.
func (l *runLog) maxNewShare(service kqname.Service, start, end time.Time) float64 {
	most := 0.0
	for at := start; at.Before(end); at = at.Add(time.Second) {
		if all, newRuns := l.countBetween(service, at, at.Add(time.Second)); all > 0 {
			most = max(most, float64(newRuns)/float64(all))
		}
	}
	return most
}
