package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
)

const (
	changeCount    = 10
	changeInterval = time.Second
	// settleTime is the wait between the end of the load and the evaluation. It
	// exceeds the time that an upstream still runs a call abandoned by its caller.
	settleTime = time.Second
)

type (
	// script runs the changes and faults on a demo and keeps the observations
	// for the report.
	script struct {
		demo      *Demo
		began     time.Time
		loadGroup conc.WaitGroup
		mu        sync.Mutex
		callers   []*caller

		observedRollout []*observedRollout
		drainedUpstream drainedUpstream
		outage          outage
		killPeriod      []killPeriod
		// startTimes and startTimesInOutage are how long restarted servers took to
		// apply the newest version, the first with the platform available, the second
		// during its outage.
		startTimes, startTimesInOutage []time.Duration
		invalidVersion                 invalidVersion
		// stopped is the target of the node that was stopped gracefully.
		stopped  *target
		problems []string

		// controlBytes and platformCalls are the counters at the start of the load
		// and, after the last step, what was added to them since then.
		controlBytes  int64
		platformCalls uint64
		ended         time.Time
	}

	// step is one change or fault of the script.
	step struct {
		name string
		run  func(context.Context) error
	}
)

// RunScript starts the fleet, runs the script and returns its report.
func (d *Demo) RunScript(ctx context.Context) (Report, error) {
	if err := d.start(ctx); err != nil {
		return Report{}, errors.Join(err, d.close())
	}
	s := &script{demo: d}
	if err := s.run(ctx); err != nil {
		return Report{}, errors.Join(err, d.close())
	}
	report := s.report()
	return report, d.close()
}

func (s *script) run(ctx context.Context) error {
	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	var monitorGroup conc.WaitGroup
	monitorGroup.Go(func() { s.demo.monitor.run(backgroundCtx) })
	s.startLoad(backgroundCtx)
	for _, step := range []step{
		{"start new versions beside the old ones", s.startRollouts},
		{"change routes while the rollouts run", s.changeRoutes},
		{"wait for the rollouts", s.awaitRollouts},
		{"drain an upstream", s.drainUpstream},
		{"make the platform unavailable", s.injectPlatformOutage},
		{"lose the platform's answers to a commit", s.loseCommitAnswers},
		{"kill nodes together and start them again", s.killOnePerService},
		{"write an invalid configuration version without checks", s.writeInvalidVersion},
		{"stop a node under load", s.stopNodeUnderLoad},
		{"send more concurrent calls than can run in time", s.sendBurst},
		{"change a route once more", s.commitProbe},
	} {
		if ctx.Err() != nil {
			return fmt.Errorf("run script: %w", ctx.Err())
		}
		s.step(ctx, step)
	}
	s.ended = time.Now()
	counts := s.demo.fleet.Platform.Counts()
	s.platformCalls = counts.Reads + counts.Writes - s.platformCalls
	s.controlBytes = s.demo.fleet.ControlBytes() - s.controlBytes
	stop()
	s.loadGroup.Wait()
	monitorGroup.Wait()
	time.Sleep(settleTime)
	return nil
}

// step runs one step and writes its duration and control traffic to progress.
// An error becomes a problem in the report; the script goes on.
func (s *script) step(ctx context.Context, step step) {
	began, bytes := time.Now(), s.demo.fleet.ControlBytes()
	if err := step.run(ctx); err != nil {
		s.addProblem("%s: %v", step.name, err)
	}
	took := time.Since(began).Seconds()
	rate := byteRatePerNode(s.demo.fleet.ControlBytes()-bytes, len(s.demo.fleet.Servers()), took)
	fmt.Fprintf(s.demo.progress, "%5.1f s  %s: %.1f s, %.1f KB/s of control traffic per node\n",
		time.Since(s.demo.started).Seconds(), step.name, took, rate/1000)
}

// byteRatePerNode returns the average bytes that a node sent and received per
// second. Each transferred byte counts twice: at its sender and its receiver.
func byteRatePerNode(bytes int64, nodes int, seconds float64) float64 {
	return 2 * float64(bytes) / float64(nodes) / seconds
}

func (s *script) startLoad(ctx context.Context) {
	s.began = time.Now()
	counts := s.demo.fleet.Platform.Counts()
	s.platformCalls = counts.Reads + counts.Writes
	s.controlBytes = s.demo.fleet.ControlBytes()
	for _, dep := range deployments {
		for range dep.callers {
			c := s.caller(dep)
			s.loadGroup.Go(func() { c.run(ctx) })
		}
	}
}

// caller adds a caller whose calls the report counts.
func (s *script) caller(dep deployment) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newCaller(dep, len(s.callers)+1, s.demo.targetPool)
	s.callers = append(s.callers, c)
	return c
}

// changeRoutes commits a series of route changes. One of them routes the
// storefront's /stock/ to another service. At the end, every node must route it
// there.
func (s *script) changeRoutes(ctx context.Context) error {
	for i := range changeCount {
		s.demo.documentState.stockMoved = s.demo.documentState.stockMoved || i == changeCount/2
		if err := s.commitProbe(ctx); err != nil {
			return err
		}
		time.Sleep(changeInterval)
	}
	for _, t := range s.demo.targetPool.targets() {
		if _, _, service := t.sendUncounted("storefront", "/stock/billets"); service != "woodshed" {
			s.addProblem("node %s routes /stock/ to service %q", t.server.Spec.Node, service)
		}
	}
	return nil
}

// commitProbe commits a document with one more probe route and waits until every
// node applies it, is killed or is overdue.
func (s *script) commitProbe(ctx context.Context) error {
	s.demo.documentState.probes++
	began, err := s.demo.commit(ctx, fmt.Sprintf("probe %d", s.demo.documentState.probes))
	if err != nil {
		return err
	}
	s.demo.monitor.awaitConvergence(s.demo.documentState.probes, began, true)
	return nil
}

// startNewVersion starts an upstream of the new version on a server, in addition
// to the old one.
func (s *script) startNewVersion(server *kqfleet.Server, dep deployment) error {
	b := dep.newBehaviour
	b.LongPath, b.LongWork = longPath, longWork
	u, err := server.StartUpstream(newVersion, dep.slots, b)
	if err != nil {
		return fmt.Errorf("start new version: %w", err)
	}
	u.OnRun(s.demo.runLog.ran)
	return nil
}

func (s *script) addProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}
