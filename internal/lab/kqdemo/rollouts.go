package kqdemo

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	rolloutDelay  = 1500 * time.Millisecond
	rolloutWindow = 16 * time.Second
	// rolloutGrace is how long after a deadline the script waits for an end.
	rolloutGrace = 4 * time.Second
	followEvery  = 20 * time.Millisecond
)

// followed is one rollout as the nodes state it.
type followed struct {
	dep             deployment
	start, deadline time.Time
	// detected is when the first node gave the new version no more calls;
	// ended is when the first node stated the final state.
	detected, ended time.Time
	state           kqboard.State
	why             string
}

func (s *script) startRollouts(ctx context.Context) error {
	for _, e := range s.demo.crowd.entries() {
		for _, dep := range deployments {
			if dep.service != e.server.Spec.Service {
				continue
			}
			if err := s.startNext(e.server, dep); err != nil {
				return err
			}
		}
	}
	st := &s.demo.state
	st.rollouts, st.start = true, time.Now().Add(rolloutDelay)
	st.deadline = st.start.Add(rolloutWindow)
	for _, dep := range deployments {
		s.followed = append(s.followed, &followed{dep: dep, start: st.start, deadline: st.deadline})
	}
	if err := s.changeOnce(ctx); err != nil {
		return err
	}
	s.load.Go(func() { s.follow(ctx) })
	return nil
}

// follow reads from every node how the rollouts go, until all have ended.
func (s *script) follow(ctx context.Context) {
	until := s.demo.state.deadline.Add(rolloutGrace)
	for ctx.Err() == nil && time.Now().Before(until) && !s.allEnded() {
		var group conc.WaitGroup
		for _, e := range s.demo.crowd.entries() {
			group.Go(func() { s.read(e) })
		}
		group.Wait()
		time.Sleep(followEvery)
	}
}

func (s *script) read(e *entry) {
	list := e.server.Node.Rollouts()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range list {
		for _, f := range s.followed {
			if f.dep.rollout() == status.Rollout {
				f.take(status, now)
			}
		}
	}
}

func (f *followed) take(status kqboard.Status, now time.Time) {
	stopped := status.State == kqboard.Running && status.Step > 0 && status.Share == 0
	if f.detected.IsZero() && (stopped || status.State == kqboard.TakenBack) {
		f.detected = now
	}
	if f.ended.IsZero() && (status.State == kqboard.Done || status.State == kqboard.TakenBack) {
		f.ended, f.state, f.why = now, status.State, status.Why
	}
	if f.ended.IsZero() {
		f.state, f.why = status.State, status.Why
	}
}

func (s *script) allEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.followed {
		if f.ended.IsZero() {
			return false
		}
	}
	return true
}

func (s *script) awaitRollouts(ctx context.Context) error {
	until := s.demo.state.deadline.Add(rolloutGrace)
	for ctx.Err() == nil && time.Now().Before(until) && !s.allEnded() {
		time.Sleep(followEvery)
	}
	return ctx.Err()
}

// onTime reports whether a good rollout was done by its deadline.
func (f *followed) onTime() bool {
	return f.state == kqboard.Done && !f.ended.IsZero() && !f.ended.After(f.deadline)
}

// shareMax returns the largest share that the new version had of its service's
// calls in any second from the rollout's start to the end of the load.
func (l *ledger) shareMax(service kqname.Service, from, to time.Time) float64 {
	most := 0.0
	for at := from; at.Before(to); at = at.Add(time.Second) {
		if all, fresh := l.between(service, at, at.Add(time.Second)); all > 0 {
			most = max(most, float64(fresh)/float64(all))
		}
	}
	return most
}
