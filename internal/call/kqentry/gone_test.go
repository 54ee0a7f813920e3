package kqentry_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against calls that a busy node reads after their callers have left, and sends all the same.
func TestCallWhoseCallerLeftBeforeItWasReadIsNotSent(t *testing.T) {
	for name, request := range map[string]string{
		"get":                 "GET /x HTTP/1.1\r\nHost: store\r\n\r\n",
		"post":                "POST /x HTTP/1.1\r\nHost: store\r\nContent-Length: 2\r\n\r\nab",
		"chunked body":        "POST /x HTTP/1.1\r\nHost: store\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"bytes behind a get":  "GET /x HTTP/1.1\r\nHost: store\r\n\r\nPOST /y HTTP/1.1\r\n",
		"bytes behind a post": "POST /x HTTP/1.1\r\nHost: store\r\nContent-Length: 2\r\n\r\nabGET /y HTTP/1.1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e, sent := newCountedEntry(t)
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", raw.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			if err := c.Close(); err != nil {
				t.Fatal(err)
			}
			var group conc.WaitGroup
			handled := make(chan struct{}, 1)
			server := &fasthttp.Server{Handler: kqconnection.Serve(func(ctx *fasthttp.RequestCtx) {
				e.ServeOutside(ctx)
				select {
				case handled <- struct{}{}:
				default:
				}
			})}
			group.Go(func() { _ = server.Serve(kqconnection.New(raw)) })
			select {
			case <-handled:
			case <-time.After(5 * time.Second):
				t.Error("the call was not read")
			}
			_ = server.Shutdown()
			group.Wait()
			if n := sent.Load(); n != 0 {
				t.Errorf("%d calls were sent, want none", n)
			}
		})
	}
}

// newCountedEntry returns an entry with one upstream at a gate, which counts the calls that it gets.
func newCountedEntry(t *testing.T) (*kqentry.Entry, *atomic.Int32) {
	t.Helper()
	var sent atomic.Int32
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		id, _, _ := strings.Cut(r.Header.Get("Kq-Call"), ";")
		w.Header().Set(kqcall.HeaderID, id)
		w.Header().Set(kqcall.HeaderResult, string(kqcall.Answered))
	}))
	t.Cleanup(gate.Close)
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "t"}},
		Services: []kqdocument.Service{{Name: "store", Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store", TimeoutMS: 1000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	root.Version = 1
	snapshot, _, err := kqsnapshot.Build(root, objects, []kqname.Host{"store"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	upstream := kqmember.Candidate{
		Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6, WarmFrom: time.Unix(1, 0)},
		Node:     "gate-0", Gate: kqname.Address(gate.Listener.Addr().String()),
	}
	return kqentry.New("self", fixedConfig{snapshot}, fakeDirectory{upstream}, noLocal{}), &sent
}
