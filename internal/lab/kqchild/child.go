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

// Child is a process started by this one. It is safe for concurrent use.
type Child struct {
	command *exec.Cmd
	ended   chan struct{}
	// waitErr is the result of command.Wait, set before ended is closed.
	waitErr      error
	endRequested atomic.Bool
	group        conc.WaitGroup
	started      time.Time
}

// lineWriter copies output to a writer and calls onLine with each complete line.
type lineWriter struct {
	mu      sync.Mutex
	output  io.Writer
	partial []byte
	onLine  func(string)
}

// Start runs a program. Its standard output and error are written to output, which
// must be safe for concurrent use, and each complete line of its standard output is
// passed to onLine.
func Start(program string, arguments []string, output io.Writer, onLine func(string)) (*Child, error) {
	c := &Child{command: exec.Command(program, arguments...), ended: make(chan struct{}), started: time.Now()}
	stdout := &lineWriter{output: output, onLine: onLine}
	c.command.Stdout, c.command.Stderr = stdout, output
	// A process group of its own keeps a terminal's interrupt from reaching the child.
	// The parent receives it and ends its children.
	c.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.command.Start(); err != nil {
		return nil, fmt.Errorf("start process %v: %w", arguments, err)
	}
	c.group.Go(func() {
		c.waitErr = c.command.Wait()
		close(c.ended)
	})
	return c, nil
}

// ID returns the process id.
func (c *Child) ID() int { return c.command.Process.Pid }

// Signal sends a signal. It sends none and returns nil if the process has ended.
func (c *Child) Signal(s syscall.Signal) error {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		c.endRequested.Store(true)
	}
	if err := c.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send signal %v: %w", s, err)
	}
	return nil
}

// EndRequested reports whether Signal was called with SIGTERM or SIGKILL, or Kill was
// called, even if the process had already ended.
func (c *Child) EndRequested() bool { return c.endRequested.Load() }

// Ended returns a channel that is closed once the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Age returns how long ago the process was started.
func (c *Child) Age() time.Duration { return time.Since(c.started) }

// HasEnded reports whether the process has ended.
func (c *Child) HasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// Wait waits for the process to end and returns nil for exit status 0, otherwise an
// error.
func (c *Child) Wait() error {
	<-c.ended
	return c.waitErr
}

// Kill sends SIGKILL and waits for the process to end.
func (c *Child) Kill() {
	_ = c.Signal(syscall.SIGKILL)
	<-c.ended
}

// Write implements io.Writer.
func (l *lineWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.output.Write(p)
	l.partial = append(l.partial, p...)
	for {
		end := bytes.IndexByte(l.partial, '\n')
		if end < 0 {
			return len(p), nil
		}
		l.onLine(string(l.partial[:end]))
		l.partial = l.partial[end+1:]
	}
}
