package main_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// startAdminNode starts a node with an admin server and opens a connection to the server.
func startAdminNode(t *testing.T) (*process, net.Conn) {
	t.Helper()
	file := extendSettings(t, writeSettings(t, "front", readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on "), "", ""),
		"drain_timeout = 2s\n[admin]\nlisten = 127.0.0.1:0\n")
	p := startNode(t, file)
	conn, err := net.Dial("tcp", p.readAfter(t, "admin "))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	p.readAfter(t, "Started as")
	return p, conn
}

// Guards against an idle admin connection, such as a browser's preconnect, that delays the
// drain until the node is killed. If a node is killed before its goodbye, its peers
// still send it calls, which fail, until they declare it dead.
func TestIdleOperatorDoesNotDelayTheDrain(t *testing.T) {
	p, _ := startAdminNode(t)
	began := time.Now()
	p.stop(t)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the node ended after %v, want little more than 2 s", took)
	}
}

// Guards against an admin request that is cut without a response because its body was
// still arriving at the drain timeout: the operator could not know whether it took effect.
func TestOperatorUploadingAtTheDrainTimeoutIsAnswered(t *testing.T) {
	p, conn := startAdminNode(t)
	fmt.Fprint(conn, "PUT /api/v1/document HTTP/1.1\r\nHost: admin\r\nContent-Length: 100\r\n\r\n{")
	time.Sleep(200 * time.Millisecond)
	p.signal(t, syscall.SIGTERM)
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusServiceUnavailable && a.StatusCode != http.StatusRequestTimeout {
		t.Errorf("response %d, want 503 or 408, which state that nothing was changed", a.StatusCode)
	}
}
