package main_test

import (
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// stop sends SIGTERM, waits for the process to exit and fails the test if its drain failed.
func (p *process) stop(t *testing.T) {
	t.Helper()
	began := time.Now()
	p.signal(t, syscall.SIGTERM)
	<-p.ended
	if p.err != nil {
		t.Errorf("the node exited after %v with %v, want a complete drain", time.Since(began), p.err)
	}
}

// rounds returns how often a test with random timing does its check: the value of the
// environment variable CONNS_ROUNDS, or once.
func rounds() int {
	if n, err := strconv.Atoi(os.Getenv("CONNS_ROUNDS")); err == nil {
		return n
	}
	return 1
}

// Checks that an entry that stops under steady load, at a random moment, answers every call
// that it reads: from callers with persistent and single-use connections, that ignore the
// announced close, or that send and read slowly.
func TestStopOfTheEntryLosesNoCall(t *testing.T) {
	for range rounds() {
		f := newFleet(t, "", "")
		c := f.callers(f.entry)
		c.add(8, callerProfile{keepAlive: true, minWork: 5, maxWork: 60})
		c.add(8, callerProfile{keepAlive: true, ignoresClose: true, minWork: 5, maxWork: 60})
		c.add(8, callerProfile{keepAlive: true, minWork: 5, maxWork: 60, pause: 30 * time.Millisecond})
		c.add(4, callerProfile{keepAlive: true, minWork: 5, maxWork: 2000})
		c.add(8, callerProfile{minWork: 5, maxWork: 300})
		c.add(4, callerProfile{keepAlive: true, slow: true, body: 300000, minWork: 5, maxWork: 100})
		c.add(4, callerProfile{slow: true, chunked: true, body: 300000, minWork: 5, maxWork: 100})
		c.add(4, callerProfile{keepAlive: true, slow: true, answer: 200000, minWork: 5, maxWork: 100})
		time.Sleep(300*time.Millisecond + rand.N(400*time.Millisecond))
		f.front.stop(t)
		c.end().report(t, "stop of the entry")
	}
}

// Guards against a stop that answers only the first of two pipelined calls: the node has
// read both, but announces the close with the first response and closes the connection
// without answering the second.
func TestStopAnswersBothOfTwoPipelinedCalls(t *testing.T) {
	for range rounds() {
		f := newFleet(t, "", "")
		c := f.callers(f.entry)
		c.add(16, callerProfile{keepAlive: true, pipelined: true, minWork: 250, maxWork: 600})
		time.Sleep(300 * time.Millisecond)
		f.front.stop(t)
		c.end().report(t, "pipelined")
	}
}

// Checks that no call is lost when an upstream's node is stopped and at once restarted at
// the same addresses, rounds times, while another node sends to it over persistent
// connections. The upstream keeps running.
func TestRestartOfTheGateLosesNoCall(t *testing.T) {
	lines := "entry_listen = " + freeAddress(t) + "\nlocal_listen = " + freeAddress(t) + "\ngate_listen = " + freeAddress(t) + "\ncontrol_listen = " + freeAddress(t) + "\n"
	f := newFleet(t, "", lines)
	c := f.callers(f.entry)
	c.add(12, callerProfile{keepAlive: true, minWork: 5, maxWork: 60})
	c.add(6, callerProfile{keepAlive: true, minWork: 5, maxWork: 1500})
	c.add(6, callerProfile{minWork: 5, maxWork: 60, body: 20000})
	c.add(4, callerProfile{keepAlive: true, slow: true, answer: 200000, minWork: 5, maxWork: 60})
	for range rounds() {
		time.Sleep(500 * time.Millisecond)
		f.back.stop(t)
		f.back = startNode(t, f.back.file)
		f.back.readAfter(t, "local ")
		go func(p *process) { _, _ = io.Copy(logOutput(), p.lines) }(f.back)
	}
	f.await(f.entry)
	c.end().report(t, "restarts")
}

// Checks that no call is lost when its entry and its gate are stopped at the same time.
func TestStopOfEntryAndGateLosesNoCall(t *testing.T) {
	for range rounds() {
		f := newFleet(t, "", "")
		c := f.callers(f.entry)
		c.add(12, callerProfile{keepAlive: true, minWork: 5, maxWork: 60})
		c.add(6, callerProfile{keepAlive: true, minWork: 5, maxWork: 1500})
		c.add(6, callerProfile{minWork: 5, maxWork: 60, body: 20000})
		c.add(4, callerProfile{keepAlive: true, slow: true, answer: 200000, minWork: 5, maxWork: 60})
		time.Sleep(500 * time.Millisecond)
		f.back.signal(t, syscall.SIGTERM)
		f.front.stop(t)
		<-f.back.ended
		c.end().report(t, "both")
	}
}
