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

// stop tells a node to stop and waits for its end, which must be a whole leave.
func (p *process) stop(t *testing.T) {
	t.Helper()
	began := time.Now()
	p.signal(t, syscall.SIGTERM)
	<-p.ended
	if p.err != nil {
		t.Errorf("the node ended after %v with %v, want a whole leave", time.Since(began), p.err)
	}
}

// rounds is how often a test of many moments is played.
func rounds() int {
	if n, err := strconv.Atoi(os.Getenv("CONNS_ROUNDS")); err == nil {
		return n
	}
	return 1
}

// A node that callers use is told to stop under steady load, at one moment or another.
// Callers keep a connection or open one for each call, heed that it will be closed or
// not, send and read slowly. Each call that the node reads must have a whole answer.
func TestStopOfTheEntryCutsNoCall(t *testing.T) {
	for range rounds() {
		f := newFleet(t, "", "")
		c := f.crowd(f.entry)
		c.add(8, manner{kept: true, least: 5, most: 60})
		c.add(8, manner{kept: true, obstinate: true, least: 5, most: 60})
		c.add(8, manner{kept: true, least: 5, most: 60, pause: 30 * time.Millisecond})
		c.add(4, manner{kept: true, least: 5, most: 2000})
		c.add(8, manner{least: 5, most: 300})
		c.add(4, manner{kept: true, slow: true, body: 300000, least: 5, most: 100})
		c.add(4, manner{slow: true, chunked: true, body: 300000, least: 5, most: 100})
		c.add(4, manner{kept: true, slow: true, answer: 200000, least: 5, most: 100})
		time.Sleep(300*time.Millisecond + rand.N(400*time.Millisecond))
		f.front.stop(t)
		c.end().report(t, "stop of the entry")
	}
}

// Callers that send two idempotent calls at once are at work when their node is told to
// stop. The node has read both; it answered the first, said that it closes, and closed
// with the second unanswered.
func TestStopAnswersBothOfTwoPipelinedCalls(t *testing.T) {
	for range rounds() {
		f := newFleet(t, "", "")
		c := f.crowd(f.entry)
		c.add(16, manner{kept: true, pipelined: true, least: 250, most: 600})
		time.Sleep(300 * time.Millisecond)
		f.front.stop(t)
		c.end().report(t, "pipelined")
	}
}

// The node beside an upstream is told to stop while another node sends to it over
// kept connections, and started again at the same addresses at once, again and again.
// The upstream runs on.
func TestRestartOfTheGateCutsNoCall(t *testing.T) {
	lines := "entry_listen = " + port(t) + "\nlocal_listen = " + port(t) + "\ngate_listen = " + port(t) + "\ncontrol_listen = " + port(t) + "\n"
	f := newFleet(t, "", lines)
	c := f.crowd(f.entry)
	c.add(12, manner{kept: true, least: 5, most: 60})
	c.add(6, manner{kept: true, least: 5, most: 1500})
	c.add(6, manner{least: 5, most: 60, body: 20000})
	c.add(4, manner{kept: true, slow: true, answer: 200000, least: 5, most: 60})
	for range rounds() {
		time.Sleep(500 * time.Millisecond)
		f.back.stop(t)
		f.back = node(t, f.back.file)
		f.back.after(t, "local ")
		go func(p *process) { _, _ = io.Copy(logs(), p.lines) }(f.back)
	}
	f.await(f.entry)
	c.end().report(t, "restarts")
}

// The node that took a call and the one that runs it are told to stop together.
func TestStopOfEntryAndGateCutsNoCall(t *testing.T) {
	for range rounds() {
		f := newFleet(t, "", "")
		c := f.crowd(f.entry)
		c.add(12, manner{kept: true, least: 5, most: 60})
		c.add(6, manner{kept: true, least: 5, most: 1500})
		c.add(6, manner{least: 5, most: 60, body: 20000})
		c.add(4, manner{kept: true, slow: true, answer: 200000, least: 5, most: 60})
		time.Sleep(500 * time.Millisecond)
		f.back.signal(t, syscall.SIGTERM)
		f.front.stop(t)
		<-f.back.ended
		c.end().report(t, "both")
	}
}
