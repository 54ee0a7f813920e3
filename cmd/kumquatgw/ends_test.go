package main_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// All calls at a node ended without an answer, and the process was gone, when whoever
// collects its log had gone away: the next line met a pipe without a reader, whose
// signal ends a process that writes to its standard output unless it says otherwise.
// The process ended with "signal: broken pipe", at its next line and not before.
func TestCallsOutliveTheReaderOfTheLog(t *testing.T) {
	m := newMesh(t, 700*time.Millisecond)
	answers := m.calls(t, 8)
	time.Sleep(200 * time.Millisecond)
	if err := m.front.reader.Close(); err != nil {
		t.Fatal(err)
	}
	m.front.change(t, "[log]\nsample = 1\n")
	m.front.signal(t, syscall.SIGHUP)
	answered(t, answers())
	answered(t, m.calls(t, 1)())
	m.front.alive(t)
}

// A node may be told of changed settings, or sent a signal that means nothing to it,
// at any moment: calls under way must not notice.
func TestCallsOutliveSignals(t *testing.T) {
	m := newMesh(t, 300*time.Millisecond)
	for _, s := range []syscall.Signal{
		syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGPROF,
		syscall.SIGWINCH, syscall.SIGCONT, syscall.SIGURG, syscall.SIGIO, syscall.SIGCHLD, syscall.SIGXCPU, syscall.SIGXFSZ,
	} {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			answers := m.calls(t, 4)
			time.Sleep(100 * time.Millisecond)
			m.front.signal(t, s)
			answered(t, answers())
			m.front.alive(t)
		})
	}
}
