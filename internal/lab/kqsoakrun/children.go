package kqsoakrun

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqchild"
)

var errOver = errors.New("the run is over")

// start starts a process unless the run is over: nobody would end it.
func (c *children) start(f func() (*kqchild.Child, error)) (*kqchild.Child, error) {
	c.Lock()
	defer c.Unlock()
	if c.over {
		return nil, errOver
	}
	one, err := f()
	if err == nil {
		c.all[one] = true
	}
	return one, err
}

func (c *children) remove(one *kqchild.Child) {
	c.Lock()
	defer c.Unlock()
	delete(c.all, one)
}

// kill ends a process as a fault; its status is not judged.
func (c *children) kill(one *kqchild.Child) {
	c.Lock()
	c.killed[one] = true
	c.Unlock()
	one.Kill()
}

// killed reports whether a process was ended as a fault.
func (s *Soak) killed(one *kqchild.Child) bool {
	s.children.Lock()
	defer s.children.Unlock()
	return s.children.killed[one]
}

// end ends every process that still runs. One that is paused is ended as well.
func (c *children) end() {
	c.Lock()
	c.over = true
	var group conc.WaitGroup
	for one := range c.all {
		c.killed[one] = true
		group.Go(one.Kill)
	}
	c.Unlock()
	group.Wait()
}

// memory returns how many processes run and their resident memory in MB.
func (c *children) memory() (int, float64) {
	c.Lock()
	defer c.Unlock()
	kb := 0
	for one := range c.all {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", one.ID()))
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
