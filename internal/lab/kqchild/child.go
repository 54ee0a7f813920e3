package kqchild

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// Child is a process that this one started. It is safe for concurrent use.
type Child struct {
	command *exec.Cmd
	ended   chan struct{}
	status  error
	told    atomic.Bool
	group   conc.WaitGroup
	began   time.Time
}

// lines hands on whole lines, and keeps all in a file.
type lines struct {
	mu   sync.Mutex
	keep io.Writer
	rest []byte
	each func(string)
}

// Start runs a program; its standard output and error go to keep, and each line of
// its standard output to each.
func Start(program string, arguments []string, keep io.Writer, each func(string)) (*Child, error) {
	c := &Child{command: exec.Command(program, arguments...), ended: make(chan struct{}), began: time.Now()}
	shared := &lines{keep: keep, each: each}
	c.command.Stdout, c.command.Stderr = shared, keep
	// In a group of its own, so that a terminal's interrupt reaches the parent alone,
	// which then ends its children.
	c.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.command.Start(); err != nil {
		return nil, fmt.Errorf("start %v: %w", arguments, err)
	}
	c.group.Go(func() {
		c.status = c.command.Wait()
		close(c.ended)
	})
	return c, nil
}

// ID returns the process's id.
func (c *Child) ID() int { return c.command.Process.Pid }

// Signal sends a signal; a process that has ended gets none.
func (c *Child) Signal(s syscall.Signal) error {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		c.told.Store(true)
	}
	if err := c.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}

// Told reports whether the process was told to end.
func (c *Child) Told() bool { return c.told.Load() }

// Ended is closed once the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Age returns how long ago the process was started.
func (c *Child) Age() time.Duration { return time.Since(c.began) }

// Over reports whether the process has ended.
func (c *Child) Over() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// Status returns how the process ended, nil for a status of 0. It waits for the end.
func (c *Child) Status() error {
	<-c.ended
	return c.status
}

// Kill ends the process at once and waits for that.
func (c *Child) Kill() {
	_ = c.Signal(syscall.SIGKILL)
	<-c.ended
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.keep.Write(p)
	l.rest = append(l.rest, p...)
	for {
		end := bytes.IndexByte(l.rest, '\n')
		if end < 0 {
			return len(p), nil
		}
		l.each(string(l.rest[:end]))
		l.rest = l.rest[end+1:]
	}
}
