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
	// callersPerNode keeps the load well below the upstreams' slots, so that calls are
	// refused only because of faults.
	callersPerNode = 8
	maxCallers     = 160
	// warmUpTimeout bounds the time until each node has answered a call of each route.
	warmUpTimeout = 60 * time.Second
	// recoveryTime is how long the fleet has to recover after the last fault. Callers
	// then continue for recoveryWindow, and at least minAnsweredShare of the calls sent
	// in it, but for its last second, must be answered.
	recoveryTime     = 10 * time.Second
	recoveryWindow   = 3 * time.Second
	minAnsweredShare = 0.95
	checkInterval    = 50 * time.Millisecond
	// postViolationTime is how long a run continues after a violation, to record what
	// follows.
	postViolationTime = time.Second
)

// ErrViolated is returned if the run ended with violations and without another error.
var ErrViolated = errors.New("the run ended with violations")

type (
	// Soak is one soak run. It is used once.
	Soak struct {
		options kqsoak.Options
		program string
		folder  string
		command string
		began   time.Time
		checker *kqsoakcheck.Checker

		storeURL string
		store    *kqchild.Child
		// storeProxy is the proxy through which nodes reach the store, nil if
		// Options.PlannedOnly is set.
		storeProxy *faultProxy
		nodes      []*node
		children   children
		versions   versions
		timeline   timeline
		// group holds the goroutines that watch processes and run the plan.
		group conc.WaitGroup
	}

	// versions is the state of the document's commits.
	versions struct {
		sync.Mutex
		// number is that of the last document sent, committed that of the last one
		// committed. Documents whose commit failed are numbered too, so these numbers may
		// exceed the configuration versions.
		number, committed int

		// evacuations are those of the next document.
		evacuations []kqdocument.Evacuation
		// lastConfigVersion is the base of the next commit.
		lastConfigVersion kqname.ConfigVersion
		rollouts          []kqdocument.Rollout
	}

	// timeline is the log of a run, with one JSON object on each line.
	timeline struct {
		sync.Mutex
		file *os.File
	}

	// children are the running processes that this run started, and all that it killed.
	children struct {
		sync.Mutex
		all       map[*kqchild.Child]bool
		wasKilled map[*kqchild.Child]bool
		// died holds the names of upstreams that ended under a call.
		died map[string]bool
		// closed is set once no more processes may be started.
		closed bool
	}

	// event is a line of the timeline. Target is the name of the process that the event
	// concerns; for faults of kinds without a target it is that of the first node.
	event struct {
		At     float64       `json:"at"`
		Event  string        `json:"event"`
		Target string        `json:"target,omitempty"`
		Text   string        `json:"text,omitempty"`
		Fault  *kqsoak.Fault `json:"fault,omitempty"`
	}

	// Report is the result of a run. Faults counts the faults of the plan, injected or
	// not. Processes is the number of processes just before the callers stop, and
	// MemoryMB their resident memory in MiB.
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

// New returns a run with the given options. It runs this executable for all processes;
// their output, the timeline and the report are written to the folder. command is the
// command line that repeats the run.
func New(o kqsoak.Options, folder, command string) (*Soak, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("locate executable: %w", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f, err := os.Create(filepath.Join(folder, "timeline.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("create timeline: %w", err)
	}
	s := &Soak{options: o, program: program, folder: folder, command: command, began: time.Now(), checker: kqsoakcheck.New(), timeline: timeline{file: f}}
	s.children.all, s.children.wasKilled, s.children.died = make(map[*kqchild.Child]bool), make(map[*kqchild.Child]bool), make(map[string]bool)
	for i := range o.Nodes {
		n := &node{soak: s, number: i, name: fmt.Sprintf("node-%d", i), addresses: make(map[string]string)}
		for _, role := range roles {
			n.addresses[role] = n.initialAddress()
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// Run starts the fleet, runs the plan, kills all processes that it started and writes the
// report. The error is ErrViolated if there were violations and nothing else failed.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	defer func() { _ = s.timeline.file.Close() }()
	plan := kqsoak.Generate(s.options)
	r := Report{Seed: s.options.Seed, Command: s.command, Folder: s.folder, Nodes: s.options.Nodes, Faults: make(map[kqsoak.Kind]int)}
	for _, f := range plan {
		r.Faults[f.Kind]++
	}
	err := s.runFleet(ctx, plan, &r)
	s.children.killAll()
	s.closeProxies()
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

// runFleet starts the fleet and its callers, and runs the plan until its end or until
// postViolationTime after the first violation.
func (s *Soak) runFleet(ctx context.Context, plan kqsoak.Plan, r *Report) error {
	if err := s.start(ctx); err != nil {
		return err
	}
	parent := ctx
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var callers conc.WaitGroup
	for i := range min(callersPerNode*len(s.nodes), maxCallers) {
		c := &caller{soak: s, name: fmt.Sprintf("c%d", i), connMode: connPerCall, random: rand.New(rand.NewPCG(s.options.Seed, uint64(i)))}
		if i%2 == 0 {
			c.connMode = reuseConn
		}
		callers.Go(func() { c.run(ctx) })
	}
	prober := &caller{soak: s, name: "probe", connMode: connPerCall, random: rand.New(rand.NewPCG(s.options.Seed, uint64(maxCallers)))}
	callers.Go(func() { s.probe(ctx, prober) })
	violated := make(chan struct{})
	callers.Go(func() { s.watchViolations(ctx, violated) })
	done := make(chan error, 1)
	s.group.Go(func() { done <- s.runPlan(ctx, plan) })
	var err error
	select {
	case <-violated:
		time.Sleep(postViolationTime)
	case err = <-done:
	}
	r.Processes, r.MemoryMB = s.children.memory()
	stop()
	callers.Wait()
	// Upstreams report runs with a delay; the checker allows 300 ms (runReportDelay)
	// before it evaluates an unanswered call.
	time.Sleep(2 * postViolationTime / 3)
	s.checker.EvaluatePending(s.now())
	return errors.Join(err, context.Cause(parent))
}

// watchViolations evaluates pending calls until the first violation, and then closes
// violated. It returns without doing so if ctx ends first.
func (s *Soak) watchViolations(ctx context.Context, violated chan<- struct{}) {
	for ctx.Err() == nil {
		s.checker.EvaluatePending(s.now())
		if len(s.checker.Violations()) > 0 {
			s.logEvent(event{Event: "violation", Text: s.checker.Violations()[0].Text})
			close(violated)
			return
		}
		time.Sleep(checkInterval)
	}
}

// start starts the processes and waits until every node answers calls of every route.
func (s *Soak) start(ctx context.Context) error {
	if err := s.startStore(); err != nil {
		return err
	}
	if err := s.openProxies(); err != nil {
		return err
	}
	if err := s.commit(ctx); err != nil {
		return err
	}
	// The first node starts alone, so that its address can be a seed of the others.
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
	return s.warmUp(ctx)
}

// warmUp waits until each node answers a call of each route.
func (s *Soak) warmUp(ctx context.Context) error {
	end := time.Now().Add(warmUpTimeout)
	c := &caller{soak: s, name: "warm", connMode: connPerCall, random: rand.New(rand.NewPCG(s.options.Seed, 0))}
	for i := range s.nodes {
		for _, r := range routes {
			for !c.callSucceeds(i, r) {
				if ctx.Err() != nil || time.Now().After(end) {
					return fmt.Errorf("node %d did not answer calls to %s%s: %w", i, r.host, r.path, errNotStarted)
				}
				time.Sleep(checkInterval)
			}
		}
	}
	s.logEvent(event{Event: "warm"})
	return nil
}

func (s *Soak) now() time.Duration { return time.Since(s.began) }

// logEvent adds a line to the timeline.
func (s *Soak) logEvent(e event) {
	s.timeline.Lock()
	defer s.timeline.Unlock()
	e.At = s.now().Seconds()
	if text, err := json.Marshal(e); err == nil {
		_, _ = s.timeline.file.Write(append(text, '\n'))
	}
}
