package main_test

import (
	"bufio"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// lineTimeout bounds the wait for an expected line of a process's output, including the
// lines before it.
const lineTimeout = 20 * time.Second

// process is a node's process, whose output and exit a test checks.
type process struct {
	command *exec.Cmd
	// reader is this test's end of the process's standard output.
	reader *os.File
	lines  *bufio.Reader
	// file is the path of the node's settings file.
	file string

	// mu serializes the calls of readAfter.
	mu sync.Mutex
	// ended is closed when the process has ended; err is then its exit error.
	ended chan struct{}
	err   error
}

// startNode starts a node with a settings file. It is killed when the test ends.
func startNode(t *testing.T, file string) *process {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: command(t, "node", "--settings", file), reader: r, lines: bufio.NewReader(r), file: file, ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = w, os.Stderr
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		_ = r.Close()
	})
	return p
}

// readAfter reads the process's output up to a line that contains the mark, and returns
// the rest of that line.
func (p *process) readAfter(t *testing.T, mark string) string {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.reader.SetReadDeadline(time.Now().Add(lineTimeout)); err != nil {
		t.Fatalf("set deadline for a line with %q: %v", mark, err)
	}
	return readAfter(t, p.lines, mark)
}

// signal sends the process a signal.
func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Errorf("send %v: %v", s, err)
	}
}
