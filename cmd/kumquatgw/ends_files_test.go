package main_test

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// filesVariable has the test's own program allow itself that many descriptors.
const filesVariable = "KUMQUATGW_FILES"

// limitFiles lowers this process's own bound on descriptors, if it was told to.
func limitFiles() {
	n, err := strconv.ParseUint(os.Getenv(filesVariable), 10, 32)
	if err != nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
}

// Callers open connections until a node has no descriptors left, and leave them idle.
// It can neither accept, nor connect to other nodes or the store. Calls under way must
// be finished, and once the connections have gone it must be well again: a listener
// that had given up would leave the node out of service for good.
func TestNodeOutlivesALackOfDescriptors(t *testing.T) {
	t.Setenv(filesVariable, "64")
	m := newMesh(t, 700*time.Millisecond)
	answers := m.calls(t, 4)
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
	answered(t, answers())
	time.Sleep(4 * time.Second)
	m.front.alive(t)
	t.Logf("%d connections were left idle; %s", len(idle), m.files(t))
	for _, c := range idle {
		_ = c.Close()
	}
	answered(t, m.calls(t, 4)())
	m.front.alive(t)
	m.back.alive(t)
}

// files tells how many descriptors the front node has.
func (m *mesh) files(t *testing.T) string {
	t.Helper()
	list, err := os.ReadDir("/proc/" + strconv.Itoa(m.front.command.Process.Pid) + "/fd")
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(len(list)) + " descriptors"
}
