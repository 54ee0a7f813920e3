package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendPipelined sends one call for each element of ms, processed for that many
// milliseconds, pipelined on one connection. It returns a function that reads their
// responses: the id of the call, or the status if it is not 200.
func (f *fleet) sendPipelined(ms ...int) func() []string {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.entry)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	var sent strings.Builder
	for i, m := range ms {
		fmt.Fprintf(&sent, "GET /?ms=%d HTTP/1.1\r\nHost: store\r\n%s: call-%d\r\n\r\n", m, callIDHeader, i)
	}
	if _, err := io.WriteString(conn, sent.String()); err != nil {
		f.t.Fatal(err)
	}
	return func() []string {
		f.t.Helper()
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		r := bufio.NewReader(conn)
		var ids []string
		for range ms {
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				f.t.Fatalf("response after %v: %v", ids, err)
			}
			body, err := io.ReadAll(a.Body)
			if err != nil {
				f.t.Fatalf("response after %v: %v", ids, err)
			}
			_ = a.Body.Close()
			id, _, _ := strings.Cut(string(body), " ")
			if a.StatusCode != http.StatusOK {
				id = fmt.Sprint(a.StatusCode)
			}
			ids = append(ids, id)
		}
		return ids
	}
}

// Checks that five pipelined calls of 400 ms run concurrently. In sequence the last
// response would come after two seconds although the upstream announces 256 slots.
func TestPipelinedCallsRunConcurrently(t *testing.T) {
	f := newFleet(t, "", "")
	began := time.Now()
	got := strings.Join(f.sendPipelined(400, 400, 400, 400, 400)(), " ")
	if want := "call-0 call-1 call-2 call-3 call-4"; got != want {
		t.Errorf("responses %q, want %q", got, want)
	}
	if took := time.Since(began); took > 1600*time.Millisecond {
		t.Errorf("the last response came after %v, want at most 1.6 s", took)
	}
}

// Checks that five pipelined calls each get a response, possibly an error, in order and on
// the same connection, when the gate that runs them is killed.
func TestPipelinedCallsAreAnsweredWhenTheirGateDies(t *testing.T) {
	f := newFleet(t, "", "")
	answers := f.sendPipelined(50, 3000, 3000, 3000, 3000)
	time.Sleep(500 * time.Millisecond)
	if err := f.back.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	got := answers()
	if got[0] != "call-0" {
		t.Errorf("the first response is %q, want that of the completed call", got[0])
	}
	for i, a := range got[1:] {
		if strings.HasPrefix(a, "call-") && a != fmt.Sprint("call-", i+1) {
			t.Errorf("response %d is %q, which belongs to another call", i+1, a)
		}
	}
}
