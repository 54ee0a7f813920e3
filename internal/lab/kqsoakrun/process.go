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
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
)

const (
	// startWithin bounds a process's start, on a busy machine.
	startWithin = 20 * time.Second
	// lastRole is the address that a node tells last.
	lastRole = "admin"
	// endWithin is longer than a leave may take by the node's settings.
	endWithin = drainTimeout + 5*time.Second
	// servesOn is how long a leaving upstream is there; a late call would show.
	servesOn = 3 * time.Second
	slots    = 32
)

var errNotStarted = errors.New("process did not start")

type (
	// node is a node's process and the upstream beside it.
	node struct {
		soak   *Soak
		number int
		name   string
		// life is held by whoever ends the process and starts the next, on a machine so
		// slow that faults last longer than the plan thinks.
		life sync.Mutex

		mu        sync.Mutex
		child     *kqchild.Child
		addresses map[string]string
		changes   int

		// lines are what peers reach the node through; they do not change.
		lines    map[kqsoak.Role]*line
		upstream upstream
	}

	upstream struct {
		life   sync.Mutex
		mu     sync.Mutex
		child  *kqchild.Child
		starts int
	}
)

// output opens the file of a process's output.
func (s *Soak) output(name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("keep output: %w", err)
	}
	return f, nil
}

// launch starts this very program in another role. The process's end is judged
// unless it was told to end; watch decides about one that was.
func (s *Soak) launch(name string, arguments []string, each func(string)) (*kqchild.Child, error) {
	f, err := s.output(name)
	if err != nil {
		return nil, err
	}
	c, err := s.children.start(func() (*kqchild.Child, error) { return kqchild.Start(s.program, arguments, f, each) })
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	s.group.Go(func() {
		<-c.Ended()
		_ = f.Close()
	})
	return c, nil
}

// watch judges how a process ends that was started whole.
func (s *Soak) watch(name string, c *kqchild.Child) {
	s.group.Go(func() {
		err := c.Status()
		s.children.remove(c)
		status := "status 0"
		if err != nil {
			status = err.Error()
		}
		s.tell(event{Event: "ended", Target: name, Text: status})
		if !c.Told() || err != nil && !s.killed(c) {
			s.checker.Exited(name, status, s.now())
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
	case <-time.After(startWithin):
		return fmt.Errorf("store: %w", errNotStarted)
	}
}

// address returns where the node listens.
func (n *node) address(role string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[role]
}

// start starts the node's process, at the addresses that it had; it is told of changed
// settings at the given ages.
func (n *node) start(reloads []time.Duration) error {
	if err := n.write(); err != nil {
		return err
	}
	up, found := make(chan struct{}), make(map[string]string)
	c, err := n.soak.launch(n.name, []string{"node", "--settings", n.file()}, func(line string) {
		name, address, _ := strings.Cut(line, " ")
		if _, again := found[name]; again || name != lastRole && !slices.Contains(roles, name) {
			return
		}
		if found[name] = address; name == lastRole {
			close(up)
		}
	})
	if err != nil {
		return err
	}
	n.soak.tell(event{Event: "started", Target: n.name, Text: fmt.Sprint("process ", c.ID())})
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
		status := fmt.Sprint(c.Status())
		if !c.Told() {
			n.soak.checker.Exited(n.name, status+" while it started", n.soak.now())
		}
		return fmt.Errorf("%s: %w: %s", n.name, errNotStarted, status)
	case <-time.After(startWithin):
		return fmt.Errorf("%s: %w", n.name, errNotStarted)
	}
	n.mu.Lock()
	for _, role := range roles {
		n.addresses[role] = found[role]
		if l, ok := n.lines[kqsoak.Role(role)]; ok {
			l.proxy.Aim(found[role])
		}
	}
	n.mu.Unlock()
	n.soak.watch(n.name, c)
	return nil
}

// process returns the node's process, which may have ended.
func (n *node) process() *kqchild.Child {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.child
}

// reload tells a process of the node that its settings changed, once it is old enough.
func (n *node) reload(c *kqchild.Child) {
	time.Sleep(kqsoak.MinSignalAge - c.Age())
	if c.Over() {
		return
	}
	n.soak.tell(event{Event: "SIGHUP", Target: n.name})
	if err := c.Signal(syscall.SIGHUP); err != nil {
		n.soak.tell(event{Event: "not sent", Target: n.name, Text: err.Error()})
	}
}

// startUpstream starts the upstream beside the node, at a new address.
func (n *node) startUpstream() error {
	u := &n.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	c, err := n.launchUpstream(fmt.Sprintf("upstream-%d.%d", n.number, u.starts))
	if err == nil {
		u.child = c
	}
	return err
}

// launchUpstream starts an upstream and waits until it takes calls.
func (n *node) launchUpstream(name string, more ...string) (*kqchild.Child, error) {
	up := make(chan struct{})
	c, err := n.soak.launch(name, append([]string{
		"upstream", "--service", string(n.service()), "--node", n.address("local"), "--slots", fmt.Sprint(slots),
		"--tell", "--serves-on", servesOn.String(),
	}, more...), func(line string) { n.heard(name, line, up) })
	if err != nil {
		return nil, err
	}
	n.soak.tell(event{Event: "started", Target: name, Text: fmt.Sprint("process ", c.ID())})
	n.soak.watch(name, c)
	select {
	case <-up:
		return c, nil
	case <-c.Ended():
		return nil, fmt.Errorf("%s: %w", name, errors.Join(errNotStarted, c.Status()))
	case <-time.After(startWithin):
		return nil, fmt.Errorf("%s: %w", name, errNotStarted)
	}
}

// heard takes in what an upstream tells.
func (n *node) heard(name, line string, up chan<- struct{}) {
	var e kqupstream.Event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		return
	}
	at := e.At.Sub(n.soak.began)
	switch e.Step {
	case kqupstream.Listening:
		close(up)
	case kqupstream.Begun:
		n.soak.checker.Began(e.Work, name, n.number, at)
	case kqupstream.Ended:
		n.soak.checker.RunEnded(e.Work, name, at)
	case kqupstream.Goodbye:
		n.soak.checker.Goodbye(name, at)
		n.soak.tell(event{Event: "goodbye", Target: name})
	}
}
