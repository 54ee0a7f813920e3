package main_test

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// descriptorsVariable is the environment variable that sets the descriptor limit of the test
// binary when it runs as kumquatgw.
const descriptorsVariable = "KUMQUATGW_FILES"

// limitDescriptors lowers this process's descriptor limit if descriptorsVariable is set.
func limitDescriptors() {
	n, err := strconv.ParseUint(os.Getenv(descriptorsVariable), 10, 32)
	if err != nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
}

// Guards against a listener that stops accepting after it ran out of descriptors. Idle
// connections exhaust a node's descriptors, so that it can neither accept nor connect. It
// must finish its in-flight calls, and serve again once the connections are closed.
func TestNodeRecoversFromIdleConnectionFlood(t *testing.T) {
	t.Setenv(descriptorsVariable, "64")
	m := newMesh(t, 700*time.Millisecond)
	answers := m.startCalls(t, 4)
	time.Sleep(200 * time.Millisecond)
	var idle []net.Conn
	for range 150 {
		c, err := net.DialTimeout("tcp", m.entry, 50*time.Millisecond)
		if err != nil {
			break
		}
		idle = append(idle, c)
	}
	for range 60 {
		if c, err := net.DialTimeout("tcp", m.control, 50*time.Millisecond); err == nil {
			idle = append(idle, c)
		}
	}
	assertAnswered(t, answers())
	time.Sleep(4 * time.Second)
	m.front.assertRunning(t)
	t.Logf("%d idle connections; %s", len(idle), m.descriptors(t))
	for _, c := range idle {
		_ = c.Close()
	}
	assertAnswered(t, m.startCalls(t, 4)())
	m.front.assertRunning(t)
	m.back.assertRunning(t)
}

// descriptors returns the number of open descriptors of the front node as a text.
func (m *mesh) descriptors(t *testing.T) string {
	t.Helper()
	list, err := os.ReadDir("/proc/" + strconv.Itoa(m.front.command.Process.Pid) + "/fd")
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(len(list)) + " descriptors"
}
