package kqsoakrun

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqchild"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// startTimeout bounds a process's start on a busy server.
	startTimeout = 20 * time.Second
	// lastRole is the role of the address that a node prints last.
	lastRole = "admin"
	// exitTimeout is longer than the node's settings allow a drain to take.
	exitTimeout = drainTimeout + 5*time.Second
	// upstreamDrainPeriod is how long a draining upstream keeps serving. It exceeds the
	// 2 s for which the checker still permits calls (drainGrace), so that a later call
	// is observed.
	upstreamDrainPeriod = 3 * time.Second
	slots               = 32
)

var errNotStarted = errors.New("start did not complete")

type (
	// node is a node's process and the upstream next to it.
	node struct {
		soak   *Soak
		number int
		name   string
		// lifecycle is held while the process is ended and the next one started. On a
		// slow server faults may last longer than the plan assumes and overlap.
		lifecycle sync.Mutex

		mu        sync.Mutex
		child     *kqchild.Child
		addresses map[string]string
		changes   int

		// proxies are the proxies through which peers reach the node. The map does not
		// change once nodes have started.
		proxies  map[kqsoak.Role]*faultProxy
		upstream upstream
	}

	// upstream is the process next to a node. name is that of the running one, and address
	// where it accepts calls.
	upstream struct {
		lifecycle sync.Mutex
		mu        sync.Mutex
		child     *kqchild.Child
		starts    int
		name      string
		address   kqname.Address
	}
)

// output opens the file for a process's output.
func (s *Soak) output(name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open output file: %w", err)
	}
	return f, nil
}

// launch starts this executable with other arguments and writes its output to a file.
// The caller checks how the process exits, usually with watch.
func (s *Soak) launch(name string, arguments []string, onLine func(string)) (*kqchild.Child, error) {
	f, err := s.output(name)
	if err != nil {
		return nil, err
	}
	c, err := s.children.start(func() (*kqchild.Child, error) { return kqchild.Start(s.program, arguments, f, onLine) })
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	s.group.Go(func() {
		<-c.Ended()
		_ = f.Close()
	})
	return c, nil
}

// watch waits in the background for a started process to exit. It records a wrong exit
// unless the process was sent SIGTERM or SIGKILL by this run and then exited with status 0
// or was killed by this run, or is an upstream that ended under a call.
func (s *Soak) watch(name string, c *kqchild.Child) {
	s.group.Go(func() {
		err := c.Wait()
		s.children.remove(c)
		status := "status 0"
		if err != nil {
			status = err.Error()
		}
		s.logEvent(event{Event: "ended", Target: name, Text: status})
		if !s.children.hasDied(name) && (!c.EndRequested() || err != nil && !s.wasKilled(c)) {
			s.checker.RecordWrongExit(name, status, s.now())
		}
	})
}

func (s *Soak) startStore() error {
	listens := make(chan string, 1)
	c, err := s.launch("store", []string{"platform", "--listen", "127.0.0.1:0"}, func(line string) {
		if _, url, ok := strings.Cut(line, "listens on "); ok {
			listens <- url
		}
	})
	if err != nil {
		return err
	}
	s.watch("store", c)
	select {
	case s.storeURL = <-listens:
		s.store = c
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("store: %w", errNotStarted)
	}
}

// address returns the address at which the node listens for a role.
func (n *node) address(role string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[role]
}

// start starts the node's process at the addresses that it had before, sends it SIGHUP at
// the given ages and waits until it has printed its addresses.
func (n *node) start(reloads []time.Duration) error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	up, found := make(chan struct{}), make(map[string]string)
	c, err := n.soak.launch(n.name, []string{"node", "--settings", n.settingsFile()}, func(line string) {
		name, address, _ := strings.Cut(line, " ")
		if _, known := found[name]; known || name != lastRole && !slices.Contains(roles, name) {
			return
		}
		if found[name] = address; name == lastRole {
			close(up)
		}
	})
	if err != nil {
		return err
	}
	n.soak.logEvent(event{Event: "started", Target: n.name, Text: fmt.Sprint("process ", c.ID())})
	n.mu.Lock()
	n.child = c
	n.mu.Unlock()
	for _, age := range reloads {
		time.AfterFunc(age, func() { n.reload(c) })
	}
	select {
	case <-up:
	case <-c.Ended():
		n.soak.children.remove(c)
		status := fmt.Sprint(c.Wait())
		if !c.EndRequested() {
			n.soak.checker.RecordWrongExit(n.name, status+" during its start", n.soak.now())
		}
		return fmt.Errorf("%s: %w: %s", n.name, errNotStarted, status)
	case <-time.After(startTimeout):
		return fmt.Errorf("%s: %w", n.name, errNotStarted)
	}
	n.mu.Lock()
	for _, role := range roles {
		n.addresses[role] = found[role]
		if fp, ok := n.proxies[kqsoak.Role(role)]; ok {
			fp.proxy.SetTarget(found[role])
		}
	}
	n.mu.Unlock()
	n.soak.watch(n.name, c)
	return nil
}

// process returns the node's process, which may have exited.
func (n *node) process() *kqchild.Child {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.child
}

// reload sends SIGHUP to a process of the node once it has reached MinSignalAge, unless it
// has ended.
func (n *node) reload(c *kqchild.Child) {
	time.Sleep(kqsoak.MinSignalAge - c.Age())
	if c.HasEnded() {
		return
	}
	n.soak.logEvent(event{Event: "SIGHUP", Target: n.name})
	if err := c.Signal(syscall.SIGHUP); err != nil {
		n.soak.logEvent(event{Event: "not sent", Target: n.name, Text: err.Error()})
	}
}

// startUpstream starts the upstream next to the node, at a new address.
func (n *node) startUpstream() error {
	u := &n.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	name := fmt.Sprintf("upstream-%d.%d", n.number, u.starts)
	c, address, err := n.launchUpstream(name)
	if err == nil {
		u.child, u.name, u.address = c, name, address
	}
	return err
}

// launchUpstream starts an upstream, waits until it accepts calls and returns its address.
func (n *node) launchUpstream(name string, extra ...string) (*kqchild.Child, kqname.Address, error) {
	up := make(chan kqname.Address, 1)
	if n.service() == coldService {
		extra = append(extra, "--cold-for", coldTime.String(), "--cold-work", coldWork.String(), "--state-cold")
	}
	c, err := n.soak.launch(name, append([]string{
		"upstream", "--service", string(n.service()), "--node", n.address("local"), "--listen", n.soak.address(upstreamSubnet, n.number), "--slots", fmt.Sprint(slots),
		"--tell", "--instance", name, "--deadly", "/read/" + kqsoakcheck.DeadlyPrefix, "--serves-on", upstreamDrainPeriod.String(),
	}, extra...), func(line string) { n.handleEvent(name, line, up) })
	if err != nil {
		return nil, "", err
	}
	n.soak.logEvent(event{Event: "started", Target: name, Text: fmt.Sprint("process ", c.ID())})
	n.soak.watch(name, c)
	n.soak.group.Go(func() {
		<-c.Ended()
		n.soak.checker.UpstreamGone(name, n.soak.now())
	})
	select {
	case address := <-up:
		return c, address, nil
	case <-c.Ended():
		return nil, "", fmt.Errorf("%s: %w", name, errors.Join(errNotStarted, c.Wait()))
	case <-time.After(startTimeout):
		return nil, "", fmt.Errorf("%s: %w", name, errNotStarted)
	}
}

// handleEvent records an event that an upstream printed. It closes up when the upstream
// accepts calls.
func (n *node) handleEvent(name, line string, up chan<- kqname.Address) {
	var e kqupstream.Event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		return
	}
	at := e.At.Sub(n.soak.began)
	switch e.Kind {
	case kqupstream.Listening:
		if n.service() == coldService {
			n.soak.checker.Cold(name, coldRate, at+coldTime)
		}
		up <- e.Address
	case kqupstream.Begun:
		n.soak.checker.Began(e.WorkID, name, n.number, at)
	case kqupstream.Ended:
		n.soak.checker.RunEnded(e.WorkID, name, at)
	case kqupstream.Died:
		n.soak.children.setDied(name)
		n.soak.checker.EndedUnder(e.WorkID, at)
		n.soak.group.Go(func() { n.replaceEnded(name, at) })
	case kqupstream.LimitNamed:
		n.soak.checker.LimitNamed(name, string(n.service()), e.Limit, at)
	case kqupstream.LimitEnded:
		n.soak.checker.LimitEnded(name)
	case kqupstream.DrainAcknowledged:
		n.soak.checker.DrainAcknowledged(name, at)
		n.soak.logEvent(event{Event: "goodbye", Target: name})
	}
}
