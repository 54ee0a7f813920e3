package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	outageFor = 4 * time.Second
	deadFor   = 1500 * time.Millisecond
	// noticed is how long callers go on choosing a node that has died.
	noticed     = 300 * time.Millisecond
	restartWait = 14 * time.Second
	pressing    = 10
	pressFor    = 150 * time.Millisecond
	burstOf     = 400
)

type (
	// drained is what became of an upstream that was told to leave.
	drained struct {
		node kqname.Node
		at   time.Time
		last atomic.Int64
	}

	// deaths is when servers were killed, and when the last one was dead.
	deaths struct{ from, to time.Time }

	// outage is what happened while the platform was away.
	outage struct {
		from, to time.Time
		// refused tells that a commit meanwhile was told to have failed.
		refused bool
	}
)

// drain tells an upstream to leave and notes when it last began a call.
func (s *script) drain(context.Context) error {
	e, err := s.demo.crowd.at("woodshed-1")
	if err != nil {
		return err
	}
	d := &s.drained
	d.node = e.server.Spec.Node
	e.server.Upstream.OnRun(func(r kqupstream.Run) {
		d.last.Store(r.At.UnixNano())
		s.demo.ledger.ran(r)
	})
	d.at = time.Now()
	e.server.Upstream.Drain()
	return nil
}

// after returns how long after it was told to leave the upstream last began a
// call; 0 where it began none.
func (d *drained) after() time.Duration {
	return max(time.Duration(d.last.Load()-d.at.UnixNano()), 0)
}

// around reports whether a call was under way while servers died.
func (d deaths) around(r record) bool { return r.ended.After(d.from) && r.began.Before(d.to) }

// takePlatform takes the platform away, commits in vain, replaces two servers
// that can learn the configuration from their peers alone, and commits again
// once the platform is back.
func (s *script) takePlatform(ctx context.Context) error {
	platform := s.demo.fleet.Platform
	s.outage.from = time.Now()
	platform.SetFaults(kqstandin.Faults{Down: true})
	s.demo.state.probes++
	_, err := s.demo.commit(ctx, "while the platform is away")
	s.outage.refused = err != nil
	s.demo.state.probes--
	s.replaced, err = s.kill(ctx, []kqname.Node{"portail-lecteurs-2", "bureau-redaction-2"})
	if err != nil {
		s.trouble("replace servers without the platform: %v", err)
	}
	s.demo.state.probes++
	if rest := outageFor - time.Since(s.outage.from); rest > 0 {
		time.Sleep(rest)
	}
	platform.SetFaults(kqstandin.Faults{})
	s.outage.to = time.Now()
	began, err := s.demo.commit(ctx, "while the platform is away")
	if err != nil {
		return err
	}
	s.demo.witness.converge(s.demo.state.probes, began, true)
	return nil
}

// loseAnswer commits under the same id until an answer arrives.
func (s *script) loseAnswer(ctx context.Context) error {
	s.demo.state.probes++
	s.demo.fleet.Platform.SetFaults(kqstandin.Faults{LoseAnswers: 3})
	var began time.Time
	err := errors.New("not tried")
	for n := 0; err != nil && n < 10; n++ {
		began, err = s.demo.commit(ctx, "with answers lost")
	}
	s.demo.fleet.Platform.SetFaults(kqstandin.Faults{})
	if err != nil {
		return err
	}
	s.demo.witness.converge(s.demo.state.probes, began, true)
	return nil
}

// killOfEach ends one server of each service at once, the way a rack is lost,
// and starts them all again together.
func (s *script) killOfEach(ctx context.Context) error {
	names := make([]kqname.Node, 0, len(deployments))
	for _, dep := range deployments {
		names = append(names, kqname.Node(fmt.Sprintf("%s-3", dep.service)))
	}
	var err error
	s.restarted, err = s.kill(ctx, names)
	return err
}

// kill ends servers at once and starts them again together; it returns how long
// each took to be ready with the newest version.
func (s *script) kill(ctx context.Context, names []kqname.Node) ([]time.Duration, error) {
	dead := make([]*entry, 0, len(names))
	for _, name := range names {
		e, err := s.demo.crowd.at(name)
		if err != nil {
			return nil, err
		}
		dead = append(dead, e)
	}
	var group conc.WaitGroup
	d := deaths{from: time.Now()}
	for _, e := range dead {
		e.killed.Store(true)
		group.Go(e.server.Kill)
	}
	time.Sleep(noticed)
	for _, e := range dead {
		s.demo.crowd.shut(e)
	}
	group.Wait()
	time.Sleep(deadFor - noticed)
	d.to = time.Now()
	s.deaths = append(s.deaths, d)
	errs := make([]error, len(dead))
	took := make([]time.Duration, len(dead))
	for i, e := range dead {
		group.Go(func() { took[i], errs[i] = s.restart(ctx, e) })
	}
	group.Wait()
	return took, errors.Join(errs...)
}

// restart returns how long the new server took until it was ready and applied
// the newest version.
func (s *script) restart(ctx context.Context, old *entry) (time.Duration, error) {
	began := time.Now()
	server, err := s.demo.fleet.Restart(old.server)
	if err != nil {
		return 0, err
	}
	server.Upstream.OnRun(s.demo.ledger.ran)
	if err := s.startNext(server, deploymentOf(server.Spec.Service)); err != nil {
		return 0, err
	}
	for !server.Node.Ready() {
		if ctx.Err() != nil || time.Since(began) > restartWait {
			return 0, fmt.Errorf("%s is not ready %v after its start", server.Spec.Node, restartWait)
		}
		time.Sleep(pollEvery)
	}
	if now, then := server.Node.Version(), old.server.Node.Version(); now < then {
		s.trouble("%s was ready with version %d after %d", server.Spec.Node, now, then)
	}
	e := s.demo.crowd.open(server)
	for !s.demo.witness.answers(e, s.demo.state.probes) {
		if ctx.Err() != nil || time.Since(began) > restartWait {
			return 0, fmt.Errorf("%s lacks the newest route %v after its start", server.Spec.Node, restartWait)
		}
		time.Sleep(pollEvery)
	}
	took := time.Since(began)
	s.demo.witness.converged(e, s.demo.state.probes, took, false)
	return took, nil
}

// stopOne stops a node gracefully while callers press it with long calls.
func (s *script) stopOne(context.Context) error {
	e, err := s.demo.crowd.at("portail-lecteurs-4")
	if err != nil {
		return err
	}
	s.stopped = e
	e.leaving.Store(true)
	var group conc.WaitGroup
	for i := range pressing {
		c := s.caller(deployments[0])
		group.Go(func() {
			for c.send(e, "GET", "/long/", i%2 == 0) {
			}
		})
	}
	time.Sleep(pressFor)
	e.server.Stop()
	s.demo.crowd.shut(e)
	group.Wait()
	return nil
}

// burst sends more calls at once than can run in the time that they have.
func (s *script) burst(context.Context) error {
	var group conc.WaitGroup
	for range burstOf {
		c := s.caller(deployments[0])
		group.Go(func() { c.call("POST", rushPath) })
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
