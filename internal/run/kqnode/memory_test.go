package kqnode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// Guards against a call that a gate refuses before it has read it, for its size or for lack of room,
// and that its entry takes for one that may have run: the refusal lacks the call's id.
func TestRefusalsOfAGateCarryTheCallsID(t *testing.T) {
	s := kqsettings.Default()
	s.Node.Name, s.Node.Domain, s.Node.Region = "a", "one", "one"
	s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Call.MaxBody, s.Node.Descriptors = 1<<10, 160
	n, err := kqnode.New(s, kqfakestore.New())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	// call makes a call on a connection of its own, which stays open.
	call := func(t *testing.T, body string) *http.Response {
		conn, err := net.Dial("tcp", string(n.GateAddress()))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: store\r\nkq-call: call-7;someone;r;store;v1;critical;;;store;99000000;0;\r\n%s", body)
		a, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		return a
	}
	for name, body := range map[string]string{
		"stated too large": "Content-Length: 2000\r\n\r\n",
		"too large":        "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n",
	} {
		a := call(t, body)
		if a.Header.Get(kqcall.HeaderID) != "call-7" || a.Header.Get(kqcall.HeaderResult) != string(kqcall.NotRun) || a.Header.Get(kqcall.HeaderReason) != string(kqcall.TooLarge) {
			t.Errorf("%s: got %d with headers %v, want not_run, too_large, with the call's id", name, a.StatusCode, a.Header)
		}
	}
	for range s.Node.Descriptors {
		a := call(t, "Content-Length: 0\r\n\r\n")
		if a.Header.Get(kqcall.HeaderID) != "call-7" || a.Header.Get(kqcall.HeaderResult) != string(kqcall.NotRun) {
			t.Fatalf("got %d with headers %v, want not_run with the call's id", a.StatusCode, a.Header)
		}
		if a.Header.Get(kqcall.HeaderReason) == string(kqcall.NoMemory) {
			return
		}
	}
	t.Errorf("all of %d connections had room", s.Node.Descriptors)
}
