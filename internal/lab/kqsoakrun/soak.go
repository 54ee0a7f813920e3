package kqsoakrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqchild"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	domains = 3
	// callersPerNode keep the upstreams well below their slots: what is refused is
	// refused for a fault.
	callersPerNode = 8
	mostCallers    = 160
	// warmWithin bounds the time until the first call of each route is answered.
	warmWithin = 60 * time.Second
	// recovery is the time after the last fault from which on calls are answered, for
	// as long as the fleet is watched then.
	recovery   = 10 * time.Second
	watched    = 3 * time.Second
	leastShare = 0.95
	lookEvery  = 50 * time.Millisecond
	// aftermath is how long a run goes on after a violation, for its story.
	aftermath = time.Second
)

// ErrViolated tells that the run ended with violations.
var ErrViolated = errors.New("what must hold did not")

type (
	// Soak is one run. It is used once.
	Soak struct {
		options kqsoak.Options
		program string
		folder  string
		command string
		began   time.Time
		checker   *kqsoakcheck.Checker

		storeURL string
		store    *kqchild.Child
		// storeLine is what nodes reach the store through, nil for planned work only.
		storeLine *line
		nodes     []*node
		children  children
		versions  versions
		timeline  timeline
		// group holds what follows processes and plays the plan.
		group conc.WaitGroup
	}

	versions struct {
		sync.Mutex
		// number is that of the last document sent, committed that of the one in force.
		number, committed int

		last     kqname.ConfigVersion
		rollouts []kqdocument.Rollout
	}

	timeline struct {
		sync.Mutex
		file *os.File
	}

	// children are the processes that run, all started here.
	children struct {
		sync.Mutex
		all    map[*kqchild.Child]bool
		killed map[*kqchild.Child]bool
		over   bool
	}

	// event is a line of the time line.
	event struct {
		At     float64       `json:"at"`
		Event  string        `json:"event"`
		Target string        `json:"target,omitempty"`
		Text   string        `json:"text,omitempty"`
		Fault  *kqsoak.Fault `json:"fault,omitempty"`
	}

	// Report is what a run found.
	Report struct {
		Seed       uint64                  `json:"seed"`
		Command    string                  `json:"command"`
		Folder     string                  `json:"folder"`
		Nodes      int                     `json:"nodes"`
		Faults     map[kqsoak.Kind]int     `json:"faults"`
		Seconds    float64                 `json:"seconds"`
		Processes  int                     `json:"processes"`
		MemoryMB   float64                 `json:"memory_mb"`
		Calls      kqsoakcheck.Tally       `json:"calls"`
		Violations []kqsoakcheck.Violation `json:"violations"`
	}
)

// New returns a run of a plan. Its processes are of this program; their output, the
// time line and the report go to the folder. command is how to play it again.
func New(o kqsoak.Options, folder, command string) (*Soak, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find this program: %w", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	f, err := os.Create(filepath.Join(folder, "timeline.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("keep time line: %w", err)
	}
	s := &Soak{options: o, program: program, folder: folder, command: command, began: time.Now(), checker: kqsoakcheck.New(), timeline: timeline{file: f}}
	s.children.all, s.children.killed = make(map[*kqchild.Child]bool), make(map[*kqchild.Child]bool)
	for i := range o.Nodes {
		n := &node{soak: s, number: i, name: fmt.Sprintf("node-%d", i), addresses: make(map[string]string)}
		for _, role := range roles {
			n.addresses[role] = n.home()
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// Run starts the fleet, plays the plan and ends all processes that it started. The
// error is ErrViolated where something that must hold did not.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	defer func() { _ = s.timeline.file.Close() }()
	plan := kqsoak.Generate(s.options)
	r := Report{Seed: s.options.Seed, Command: s.command, Folder: s.folder, Nodes: s.options.Nodes, Faults: make(map[kqsoak.Kind]int)}
	for _, f := range plan {
		r.Faults[f.Kind]++
	}
	err := s.play(ctx, plan, &r)
	s.children.end()
	s.closeLines()
	s.group.Wait()
	r.Seconds, r.Calls, r.Violations = s.now().Seconds(), s.checker.Tally(), s.checker.Violations()
	if err == nil && len(r.Violations) > 0 {
		err = ErrViolated
	}
	text, encodeErr := json.MarshalIndent(r, "", "  ")
	if encodeErr != nil {
		return r, errors.Join(err, fmt.Errorf("write report: %w", encodeErr))
	}
	if writeErr := os.WriteFile(filepath.Join(s.folder, "report.json"), append(text, '\n'), 0o600); writeErr != nil {
		return r, errors.Join(err, fmt.Errorf("write report: %w", writeErr))
	}
	return r, err
}

func (s *Soak) play(ctx context.Context, plan kqsoak.Plan, r *Report) error {
	if err := s.start(ctx); err != nil {
		return err
	}
	outer := ctx
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var callers conc.WaitGroup
	for i := range min(callersPerNode*len(s.nodes), mostCallers) {
		c := &caller{soak: s, name: fmt.Sprintf("c%d", i), habit: opener, random: rand.New(rand.NewPCG(s.options.Seed, uint64(i)))}
		if i%2 == 0 {
			c.habit = keeper
		}
		callers.Go(func() { c.run(ctx) })
	}
	prober := &caller{soak: s, name: "probe", habit: opener, random: rand.New(rand.NewPCG(s.options.Seed, uint64(mostCallers)))}
	callers.Go(func() { s.probe(ctx, prober) })
	violated := make(chan struct{})
	callers.Go(func() { s.look(ctx, violated) })
	done := make(chan error, 1)
	s.group.Go(func() { done <- s.faults(ctx, plan) })
	var err error
	select {
	case <-violated:
		time.Sleep(aftermath)
	case err = <-done:
	}
	r.Processes, r.MemoryMB = s.children.memory()
	stop()
	callers.Wait()
	time.Sleep(2 * aftermath / 3)
	s.checker.EvaluatePending(s.now())
	return errors.Join(err, context.Cause(outer))
}

// look judges what is known by now, until something must not be.
func (s *Soak) look(ctx context.Context, violated chan<- struct{}) {
	for ctx.Err() == nil {
		s.checker.EvaluatePending(s.now())
		if len(s.checker.Violations()) > 0 {
			s.tell(event{Event: "violation", Text: s.checker.Violations()[0].Text})
			close(violated)
			return
		}
		time.Sleep(lookEvery)
	}
}

// start starts the processes and waits until calls of every route are answered.
func (s *Soak) start(ctx context.Context) error {
	if err := s.startStore(); err != nil {
		return err
	}
	if err := s.openLines(); err != nil {
		return err
	}
	if err := s.commit(ctx); err != nil {
		return err
	}
	// The first tells its address to the others.
	if err := s.nodes[0].start(nil); err != nil {
		return err
	}
	var group conc.WaitGroup
	errs := make([]error, len(s.nodes))
	for i, n := range s.nodes {
		group.Go(func() {
			if i > 0 {
				errs[i] = n.start(nil)
			}
			if errs[i] == nil {
				errs[i] = n.startUpstream()
			}
		})
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return s.warm(ctx)
}

// warm waits until each node answers a call of each route.
func (s *Soak) warm(ctx context.Context) error {
	end := time.Now().Add(warmWithin)
	c := &caller{soak: s, name: "warm", habit: opener, random: rand.New(rand.NewPCG(s.options.Seed, 0))}
	for i := range s.nodes {
		for _, r := range routes {
			for !c.answered(i, r) {
				if ctx.Err() != nil || time.Now().After(end) {
					return fmt.Errorf("node %d does not answer %s%s: %w", i, r.host, r.path, errNotStarted)
				}
				time.Sleep(lookEvery)
			}
		}
	}
	s.tell(event{Event: "warm"})
	return nil
}

func (s *Soak) now() time.Duration { return time.Since(s.began) }

// tell adds a line to the time line.
func (s *Soak) tell(e event) {
	s.timeline.Lock()
	defer s.timeline.Unlock()
	e.At = s.now().Seconds()
	if text, err := json.Marshal(e); err == nil {
		_, _ = s.timeline.file.Write(append(text, '\n'))
	}
}
