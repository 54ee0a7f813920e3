package main_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that ends when the reader of its log exits: writing the next line
// to the closed standard output raises SIGPIPE, whose default action ends the process
// ("signal: broken pipe") with all in-flight calls.
func TestCallsOutliveTheReaderOfTheLog(t *testing.T) {
	m := newMesh(t, 700*time.Millisecond)
	answers := m.startCalls(t, 8)
	time.Sleep(200 * time.Millisecond)
	if err := m.front.reader.Close(); err != nil {
		t.Fatal(err)
	}
	m.front.appendSettings(t, "[log]\nsample = 1\n")
	m.front.signal(t, syscall.SIGHUP)
	assertAnswered(t, answers())
	assertAnswered(t, m.startCalls(t, 1)())
	m.front.assertRunning(t)
}

// Checks that reload signals, and signals that the node does not use, interrupt no
// in-flight call.
func TestCallsOutliveSignals(t *testing.T) {
	m := newMesh(t, 300*time.Millisecond)
	for _, s := range []syscall.Signal{
		syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGPROF,
		syscall.SIGWINCH, syscall.SIGCONT, syscall.SIGURG, syscall.SIGIO, syscall.SIGCHLD, syscall.SIGXCPU, syscall.SIGXFSZ,
	} {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			answers := m.startCalls(t, 4)
			time.Sleep(100 * time.Millisecond)
			m.front.signal(t, s)
			assertAnswered(t, answers())
			m.front.assertRunning(t)
		})
	}
}
