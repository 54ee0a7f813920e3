package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a slow upload that is cut without a response when the drain times out.
// The node did not count the call as in flight until its body had arrived, so it did not
// cancel and answer it. Any response passes: it may state that the call did not run.
func TestCallerThatStillSendsAtTheEndIsAnswered(t *testing.T) {
	f := newFleet(t, "drain_timeout = 1s\n", "")
	conn, err := net.Dial("tcp", f.entry)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST /?ms=5 HTTP/1.1\r\nHost: store\r\n%s: slow\r\nContent-Length: 40\r\n\r\n", callIDHeader)
	go func() {
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if _, err := io.WriteString(conn, "b"); err != nil {
				return
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	f.front.signal(t, syscall.SIGTERM)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v; the call ran %d times", err, f.upstream.runCount("slow"))
	}
	_ = a.Body.Close()
}

// Guards against a chunked request that is refused as malformed although only the read
// timeout or the drain timeout ended it between two chunks.
func TestCallerBetweenChunksGetsTheTrueReason(t *testing.T) {
	for reason, c := range map[string]struct {
		settings string
		stop     bool
		status   int
	}{
		"too_slow": {settings: "[call]\nread_timeout = 1s\n", status: http.StatusRequestTimeout},
		"draining": {settings: "drain_timeout = 1s\n", stop: true, status: http.StatusServiceUnavailable},
	} {
		for _, sent := range []string{"5", "5\r", "5;a=", "5\r\nabcde\r\n", "5\r\nabcde\r\n4\r"} {
			t.Run(fmt.Sprintf("%s after %q", reason, sent), func(t *testing.T) {
				f := newFleet(t, c.settings, "")
				conn, err := net.Dial("tcp", f.entry)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				fmt.Fprintf(conn, "POST /?ms=5 HTTP/1.1\r\nHost: store\r\nTransfer-Encoding: chunked\r\n\r\n%s", sent)
				time.Sleep(200 * time.Millisecond)
				if c.stop {
					f.front.signal(t, syscall.SIGTERM)
				}
				a, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("no response: %v", err)
				}
				defer func() { _ = a.Body.Close() }()
				text, err := io.ReadAll(a.Body)
				if err != nil {
					t.Fatal(err)
				}
				if want := "not_run: " + reason + "\n"; a.StatusCode != c.status || string(text) != want {
					t.Errorf("response %d %q, want %d %q", a.StatusCode, text, c.status, want)
				}
			})
		}
	}
}
