package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	outageDuration = 4 * time.Second
	// downDuration is the time from a kill to the restart, including noticeDelay.
	downDuration = 1500 * time.Millisecond
	// noticeDelay is how long callers still choose a node after its kill began.
	noticeDelay       = 300 * time.Millisecond
	restartTimeout    = 14 * time.Second
	callersDuringStop = 10
	loadBeforeStop    = 150 * time.Millisecond
	burstCalls        = 400
)

type (
	// drainedUpstream holds when the drain of an upstream began and when the upstream
	// last began a call.
	drainedUpstream struct {
		node kqname.Node
		at   time.Time
		// lastRun is in Unix nanoseconds.
		lastRun atomic.Int64
	}

	// killPeriod is the time from the kill of a group of servers until their restart
	// begins.
	killPeriod struct{ from, to time.Time }

	// outage describes the platform outage.
	outage struct {
		from, to time.Time
		// commitFailed is set if a commit during the outage returned an error.
		commitFailed bool
	}
)

// drainUpstream drains an upstream and records when it last began a call.
func (s *script) drainUpstream(context.Context) error {
	t, err := s.demo.targetPool.at("woodshed-1")
	if err != nil {
		return err
	}
	d := &s.drainedUpstream
	d.node = t.server.Spec.Node
	t.server.Upstream.OnRun(func(r kqupstream.Run) {
		d.lastRun.Store(r.At.UnixNano())
		s.demo.runLog.ran(r)
	})
	d.at = time.Now()
	t.server.Upstream.Drain()
	return nil
}

// runDelay returns the time from the start of the drain to the last call that
// the upstream began; 0 if it began none after that.
func (d *drainedUpstream) runDelay() time.Duration {
	return max(time.Duration(d.lastRun.Load()-d.at.UnixNano()), 0)
}

// overlaps reports whether a call was in flight during the period.
func (p killPeriod) overlaps(r record) bool { return r.ended.After(p.from) && r.began.Before(p.to) }

// injectPlatformOutage makes the platform unavailable, tries a commit, which
// should fail, and replaces two servers, which can get the configuration only
// from peers. After the outage it commits again.
func (s *script) injectPlatformOutage(ctx context.Context) error {
	platform := s.demo.fleet.Platform
	s.outage.from = time.Now()
	platform.SetFaults(kqfakestore.Faults{Down: true})
	s.demo.documentState.probes++
	_, err := s.demo.commit(ctx, "while the platform is down")
	s.outage.commitFailed = err != nil
	s.demo.documentState.probes--
	s.startTimesInOutage, err = s.killAndRestart(ctx, []kqname.Node{"portail-lecteurs-2", "bureau-redaction-2"})
	if err != nil {
		s.addProblem("replace servers during the platform outage: %v", err)
	}
	s.demo.documentState.probes++
	if rest := outageDuration - time.Since(s.outage.from); rest > 0 {
		time.Sleep(rest)
	}
	platform.SetFaults(kqfakestore.Faults{})
	s.outage.to = time.Now()
	began, err := s.demo.commit(ctx, "after the platform outage")
	if err != nil {
		return err
	}
	s.demo.monitor.awaitConvergence(s.demo.documentState.probes, began, true)
	return nil
}

// loseCommitAnswers makes the platform apply the next 3 writes but answer them
// with an error. It retries a commit with the same request id until it succeeds,
// at most 10 times in all.
func (s *script) loseCommitAnswers(ctx context.Context) error {
	s.demo.documentState.probes++
	s.demo.fleet.Platform.SetFaults(kqfakestore.Faults{LoseResponses: 3})
	var began time.Time
	err := errors.New("commit not attempted")
	for n := 0; err != nil && n < 10; n++ {
		began, err = s.demo.commit(ctx, "with answers lost")
	}
	s.demo.fleet.Platform.SetFaults(kqfakestore.Faults{})
	if err != nil {
		return err
	}
	s.demo.monitor.awaitConvergence(s.demo.documentState.probes, began, true)
	return nil
}

// killOnePerService kills one server of each service at the same time, as the loss of
// one failure domain in each region would, and restarts them together.
func (s *script) killOnePerService(ctx context.Context) error {
	names := make([]kqname.Node, 0, len(deployments))
	for _, dep := range deployments {
		names = append(names, kqname.Node(fmt.Sprintf("%s-3", dep.service)))
	}
	var err error
	s.startTimes, err = s.killAndRestart(ctx, names)
	return err
}

// killAndRestart kills servers at the same time and restarts them together. It
// returns how long each took from its restart to become ready and apply the newest
// version.
func (s *script) killAndRestart(ctx context.Context, names []kqname.Node) ([]time.Duration, error) {
	targets := make([]*target, 0, len(names))
	for _, name := range names {
		t, err := s.demo.targetPool.at(name)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	var group conc.WaitGroup
	period := killPeriod{from: time.Now()}
	for _, t := range targets {
		t.killed.Store(true)
		group.Go(t.server.Kill)
	}
	time.Sleep(noticeDelay)
	for _, t := range targets {
		s.demo.targetPool.remove(t)
	}
	group.Wait()
	time.Sleep(downDuration - noticeDelay)
	period.to = time.Now()
	s.killPeriod = append(s.killPeriod, period)
	errs := make([]error, len(targets))
	took := make([]time.Duration, len(targets))
	for i, t := range targets {
		group.Go(func() { took[i], errs[i] = s.restart(ctx, t) })
	}
	group.Wait()
	return took, errors.Join(errs...)
}

// restart replaces a killed server and returns how long the new one took to
// become ready and to apply the newest version.
func (s *script) restart(ctx context.Context, old *target) (time.Duration, error) {
	began := time.Now()
	server, err := s.demo.fleet.Restart(old.server)
	if err != nil {
		return 0, err
	}
	server.Upstream.OnRun(s.demo.runLog.ran)
	if err := s.startNewVersion(server, deploymentOf(server.Spec.Service)); err != nil {
		return 0, err
	}
	for !server.Node.Ready() {
		if ctx.Err() != nil || time.Since(began) > restartTimeout {
			return 0, fmt.Errorf("node %s is not ready: timeout of %v passed or run cancelled", server.Spec.Node, restartTimeout)
		}
		time.Sleep(pollInterval)
	}
	if after, before := server.Node.Version(), old.server.Node.Version(); after < before {
		s.addProblem("%s became ready with version %d, older than its version %d before the kill", server.Spec.Node, after, before)
	}
	t := s.demo.targetPool.add(server)
	for !s.demo.monitor.hasProbe(t, s.demo.documentState.probes) {
		if ctx.Err() != nil || time.Since(began) > restartTimeout {
			return 0, fmt.Errorf("node %s lacks the newest probe route: timeout of %v passed or run cancelled", server.Spec.Node, restartTimeout)
		}
		time.Sleep(pollInterval)
	}
	took := time.Since(began)
	s.demo.monitor.recordConvergence(t, s.demo.documentState.probes, took, false)
	return took, nil
}

// stopNodeUnderLoad stops a node and its upstreams gracefully while callers send
// long calls to the node.
func (s *script) stopNodeUnderLoad(context.Context) error {
	t, err := s.demo.targetPool.at("portail-lecteurs-4")
	if err != nil {
		return err
	}
	s.stopped = t
	t.stopping.Store(true)
	var group conc.WaitGroup
	for i := range callersDuringStop {
		c := s.caller(deployments[0])
		group.Go(func() {
			// send returns false once the node refuses connections.
			for c.send(t, "GET", "/long/", i%2 == 0) {
			}
		})
	}
	time.Sleep(loadBeforeStop)
	t.server.Stop()
	s.demo.targetPool.remove(t)
	group.Wait()
	return nil
}

// sendBurst sends more concurrent calls than can run within their timeout.
func (s *script) sendBurst(context.Context) error {
	var group conc.WaitGroup
	for range burstCalls {
		c := s.caller(deployments[0])
		group.Go(func() { c.call("POST", burstPath) })
	}
	group.Wait()
	return nil
}

func deploymentOf(service kqname.Service) deployment {
	for _, d := range deployments {
		if d.service == service {
			return d
		}
	}
	return deployment{}
}
