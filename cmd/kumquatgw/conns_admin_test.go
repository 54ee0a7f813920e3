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

// adminNode starts a node with an admin server and connects to that.
func adminNode(t *testing.T) (*process, net.Conn) {
	t.Helper()
	file := extended(t, settings(t, "front", after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on "), "", ""),
		"drain_timeout = 2s\n[admin]\nlisten = 127.0.0.1:0\n")
	p := node(t, file)
	conn, err := net.Dial("tcp", p.after(t, "admin "))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	p.after(t, "Started as")
	return p, conn
}

// An operator's browser has opened a connection ahead and is silent. A node that is
// told to stop must say goodbye and end in its time all the same: killed for it, the
// others would suspect it first and find its calls' ends by their deadlines.
func TestSilentOperatorDoesNotHoldTheLeave(t *testing.T) {
	p, _ := adminNode(t)
	began := time.Now()
	p.stop(t)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the node ended after %v, want 2 s and a moment", took)
	}
}

// Guards against operators who cannot tell what became of a change that they still sent
// when their node's time was up.
func TestOperatorThatStillSendsAtTheEndIsAnswered(t *testing.T) {
	p, conn := adminNode(t)
	fmt.Fprint(conn, "PUT /api/v1/document HTTP/1.1\r\nHost: admin\r\nContent-Length: 100\r\n\r\n{")
	time.Sleep(200 * time.Millisecond)
	p.signal(t, syscall.SIGTERM)
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusServiceUnavailable && a.StatusCode != http.StatusRequestTimeout {
		t.Errorf("answer %d, want one that says that nothing was changed", a.StatusCode)
	}
}
