package kqsoakrun

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqchild"
)

var errRunEnded = errors.New("the run has ended")

// start starts a process unless the run has ended, since nothing would kill the process
// then.
func (c *children) start(f func() (*kqchild.Child, error)) (*kqchild.Child, error) {
	c.Lock()
	defer c.Unlock()
	if c.closed {
		return nil, errRunEnded
	}
	child, err := f()
	if err == nil {
		c.all[child] = true
	}
	return child, err
}

func (c *children) remove(child *kqchild.Child) {
	c.Lock()
	defer c.Unlock()
	delete(c.all, child)
}

// kill kills a process for a fault or because it did not exit in time. Its exit status is
// not checked.
func (c *children) kill(child *kqchild.Child) {
	c.Lock()
	c.wasKilled[child] = true
	c.Unlock()
	child.Kill()
}

// wasKilled reports whether this run killed a process: for a fault, because it did not
// exit in time, or at the end of the run.
func (s *Soak) wasKilled(child *kqchild.Child) bool {
	s.children.Lock()
	defer s.children.Unlock()
	return s.children.wasKilled[child]
}

// setDied records that an upstream ends under a call.
func (c *children) setDied(name string) {
	c.Lock()
	defer c.Unlock()
	c.died[name] = true
}

// hasDied reports whether an upstream ended under a call.
func (c *children) hasDied(name string) bool {
	c.Lock()
	defer c.Unlock()
	return c.died[name]
}

// killAll kills every process that still runs, including suspended ones, and prevents
// further starts.
func (c *children) killAll() {
	c.Lock()
	c.closed = true
	var group conc.WaitGroup
	for child := range c.all {
		c.wasKilled[child] = true
		group.Go(child.Kill)
	}
	c.Unlock()
	group.Wait()
}

// memory returns the number of running processes and their resident memory in MiB.
func (c *children) memory() (int, float64) {
	c.Lock()
	defer c.Unlock()
	kb := 0
	for child := range c.all {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", child.ID()))
		if err != nil {
			continue
		}
		if _, rest, ok := strings.Cut(string(text), "VmRSS:"); ok {
			size := 0
			if _, err := fmt.Sscan(rest, &size); err == nil {
				kb += size
			}
		}
	}
	return len(c.all), float64(kb) / 1024
}
