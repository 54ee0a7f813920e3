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
	changes     = 10
	changeEvery = time.Second
	// quiet is the wait between the end of the load and the counting, longer
	// than any upstream still works on a call that its caller has given up.
	quiet = time.Second
)

type (
	// script drives a demo through its changes and faults, and keeps what it
	// sees on the way.
	script struct {
		demo    *Demo
		began   time.Time
		load    conc.WaitGroup
		mu      sync.Mutex
		callers []*caller

		followed []*followed
		drained  drained
		outage   outage
		deaths   []deaths
		// restarted and replaced are how long new servers took, with the
		// platform and without it.
		restarted, replaced []time.Duration
		rogue               rogue
		stopped             *entry
		troubles            []string

		control  int64
		platform uint64
		ended    time.Time
	}

	step struct {
		name string
		run  func(context.Context) error
	}
)

// Once runs the script and returns what came of it.
func (d *Demo) Once(ctx context.Context) (Report, error) {
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
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var watch conc.WaitGroup
	watch.Go(func() { s.demo.witness.run(watching) })
	s.startLoad(watching)
	for _, step := range []step{
		{"start new versions beside the old ones", s.startRollouts},
		{"change routes while the rollouts run", s.change},
		{"wait for the rollouts", s.awaitRollouts},
		{"drain an upstream", s.drain},
		{"take the platform away", s.takePlatform},
		{"lose an answer of the platform", s.loseAnswer},
		{"kill nodes together and start them again", s.killOfEach},
		{"write a bad configuration version past all checks", s.writeRogue},
		{"stop a node under load", s.stopOne},
		{"call more than there are slots", s.burst},
		{"change a route once more", s.changeOnce},
	} {
		if ctx.Err() != nil {
			return fmt.Errorf("run script: %w", ctx.Err())
		}
		s.step(ctx, step)
	}
	s.ended = time.Now()
	counts := s.demo.fleet.Platform.Counts()
	s.platform = counts.Reads + counts.Writes - s.platform
	s.control = s.demo.fleet.ControlBytes() - s.control
	stop()
	s.load.Wait()
	watch.Wait()
	time.Sleep(quiet)
	return nil
}

// step runs one step and tells how long it took and what control traffic there
// was meanwhile.
func (s *script) step(ctx context.Context, step step) {
	began, bytes := time.Now(), s.demo.fleet.ControlBytes()
	if err := step.run(ctx); err != nil {
		s.trouble("%s: %v", step.name, err)
	}
	took := time.Since(began).Seconds()
	rate := perNode(s.demo.fleet.ControlBytes()-bytes, len(s.demo.fleet.Servers()), took)
	fmt.Fprintf(s.demo.progress, "%5.1f s  %s: %.1f s, %.1f KB/s of control a node\n",
		time.Since(s.demo.started).Seconds(), step.name, took, rate/1000)
}

// perNode returns the bytes that a node sent and received in a second; each
// byte of the wire is one node's sent and another's received.
func perNode(bytes int64, nodes int, seconds float64) float64 {
	return 2 * float64(bytes) / float64(nodes) / seconds
}

func (s *script) startLoad(ctx context.Context) {
	s.began = time.Now()
	counts := s.demo.fleet.Platform.Counts()
	s.platform = counts.Reads + counts.Writes
	s.control = s.demo.fleet.ControlBytes()
	for _, dep := range deployments {
		for range dep.callers {
			c := s.caller(dep)
			s.load.Go(func() { c.run(ctx) })
		}
	}
}

func (s *script) caller(dep deployment) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newCaller(dep, len(s.callers)+1, s.demo.crowd)
	s.callers = append(s.callers, c)
	return c
}

// change commits changes of routes, one of which leads calls for one service's
// host to another service.
func (s *script) change(ctx context.Context) error {
	for i := range changes {
		s.demo.state.moved = s.demo.state.moved || i == changes/2
		if err := s.changeOnce(ctx); err != nil {
			return err
		}
		time.Sleep(changeEvery)
	}
	for _, e := range s.demo.crowd.entries() {
		if _, _, service := e.ask("storefront", "/stock/billets"); service != "woodshed" {
			s.trouble("%s leads /stock/ to %q", e.server.Spec.Node, service)
		}
	}
	return nil
}

func (s *script) changeOnce(ctx context.Context) error {
	s.demo.state.probes++
	began, err := s.demo.commit(ctx, fmt.Sprintf("probe %d", s.demo.state.probes))
	if err != nil {
		return err
	}
	s.demo.witness.converge(s.demo.state.probes, began, true)
	return nil
}

// startNext starts the new version beside the old one on a server.
func (s *script) startNext(server *kqfleet.Server, dep deployment) error {
	b := dep.next
	b.LongPath, b.LongWork = longPath, longWork
	u, err := server.StartUpstream(newVersion, dep.slots, b)
	if err != nil {
		return fmt.Errorf("start new version: %w", err)
	}
	u.OnRun(s.demo.ledger.ran)
	return nil
}

func (s *script) trouble(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles = append(s.troubles, fmt.Sprintf(format, args...))
}
