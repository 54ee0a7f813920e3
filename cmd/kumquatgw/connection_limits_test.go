package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Checks that calls that last longer than the drain timeout get a 504, which states that
// their outcome is unknown, before the node ends.
func TestCallsLongerThanTheDrainAreAnswered(t *testing.T) {
	f := newFleet(t, "drain_timeout = 1s\n", "")
	c := f.callers(f.entry)
	c.add(8, callerProfile{minWork: 2500, maxWork: 2600})
	time.Sleep(300 * time.Millisecond)
	f.front.signal(t, syscall.SIGTERM)
	<-f.front.ended
	r := c.end()
	r.report(t, "calls longer than the drain")
	if r.unknown != 8 {
		t.Errorf("%d of 8 callers got a 504, want all", r.unknown)
	}
}

// Guards against a drain that fails because of a caller's idle connection. The HTTP
// library's shutdown waits for a connection that has sent nothing, up to the drain timeout,
// so the node closes it first.
func TestIdleCallerDoesNotFailTheDrain(t *testing.T) {
	f := newFleet(t, "drain_timeout = 2s\n", "")
	conn, err := net.Dial("tcp", f.entry)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	f.front.stop(t)
}

// Checks the response to a caller that half-closes its connection after sending its call.
// A half-close is indistinguishable from a disconnect, so the call is cancelled, but the
// caller must get a complete response that does not deny that the call ran.
func TestHalfClosedCallerGetsACompleteResponse(t *testing.T) {
	f := newFleet(t, "", "")
	conn, err := net.Dial("tcp", f.entry)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "GET /?ms=1000 HTTP/1.1\r\nHost: store\r\n%s: half\r\n\r\n", callIDHeader)
	for range 100 {
		if f.upstream.runCount("half") > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if body, err := io.ReadAll(a.Body); err != nil || a.StatusCode != http.StatusGatewayTimeout && a.StatusCode != http.StatusOK {
		t.Errorf("response %d %q, error %v, want a complete 200 or 504", a.StatusCode, body, err)
	}
}

// Checks a node whose descriptors are exhausted by its callers' connections: it must
// finish its in-flight call, and accept calls again once the connections are closed.
func TestNodeOutlivesAShortageOfDescriptors(t *testing.T) {
	f := newFleet(t, "", "")
	answers := make(chan string, 1)
	go func() { answers <- callPath(t, f.entry, "/?ms=1500") }()
	time.Sleep(200 * time.Millisecond)
	limit := unix.Rlimit{Cur: 100, Max: 100}
	if err := unix.Prlimit(f.front.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	var held []net.Conn
	for range 120 {
		conn, err := net.DialTimeout("tcp", f.entry, time.Second)
		if err != nil {
			break
		}
		held = append(held, conn)
	}
	if a := <-answers; !strings.HasPrefix(a, "200 ") {
		t.Errorf("in-flight call: response %q, want 200", a)
	}
	for _, c := range held {
		_ = c.Close()
	}
	time.Sleep(300 * time.Millisecond)
	f.front.assertRunning(t)
	if a := callPath(t, f.entry, "/"); !strings.HasPrefix(a, "200 ") {
		t.Errorf("call afterwards: response %q, want 200", a)
	}
}

// callPath sends a GET for the host store without keep-alive and returns the status, body
// and error as text.
func callPath(t *testing.T, address, path string) string {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err.Error()
	}
	q.Host = "store"
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return fmt.Sprint(a.StatusCode, " ", string(body), err)
}
