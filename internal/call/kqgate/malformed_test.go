package kqgate_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/run/kqconditionlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqmetric"
)

// newRawServer starts a server that sends the response, byte for byte as given, to each request.
func newRawServer(t *testing.T, response string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		writeAndWait(conn, buffer, response)
	}))
	t.Cleanup(server.Close)
	return server
}

// newLoggingGate returns a gate to an upstream that sends the response, and its log.
func newLoggingGate(t *testing.T, response string) (*kqgate.Gate, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	logger, err := kqlog.New(&out, "info", "json")
	if err != nil {
		t.Fatal(err)
	}
	log := kqconditionlog.New(logger.Part("upstream"), kqmetric.New())
	return kqgate.New(announceServer(t, newRawServer(t, response)), kqgate.WithConditionRecorder(log)), &out
}

// Guards against a malformed response of which something reaches the caller, that is not logged,
// or that does not count as its upstream's failure.
func TestMalformedResponseIsAFailure(t *testing.T) {
	for name, response := range map[string]string{
		"status":   "HTTP/1.1 000 OK\r\nX-Stamp: a1\r\nContent-Length: 6\r\n\r\nbroken",
		"lengths":  "HTTP/1.1 200 OK\r\nX-Stamp: a1\r\nContent-Length: 9\r\nContent-Length: 6\r\n\r\nbroken",
		"name":     "HTTP/1.1 200 OK\r\nX-Stamp: a1\r\nContent-Length : 6\r\n\r\nbroken",
		"no field": "HTTP/1.1 200 OK\r\nX-Stamp: a1\r\n\nContent-Length: 6\r\n\r\nbroken",
	} {
		t.Run(name, func(t *testing.T) {
			g, out := newLoggingGate(t, response)
			rate := 0.0
			for range 30 {
				c := newCall("/")
				c.ID = "one"
				o, load := g.Do(c)
				if o != kqcall.UnknownOutcome(kqcall.MalformedResponse) {
					t.Fatalf("outcome is %+v", o)
				}
				c.Answer(o)
				if got := c.Response.String(); c.Response.StatusCode() != fasthttp.StatusGatewayTimeout || strings.Contains(got, "X-Stamp") || strings.Contains(got, "broken") {
					t.Fatalf("the caller gets %q", got)
				}
				rate = load.FailureRate
			}
			if lines := strings.Count(out.String(), `"event":"response_malformed"`); lines < 1 || lines > 15 || !strings.Contains(out.String(), `"id":"one"`) || rate < 0.5 {
				t.Errorf("%d lines for 30 responses, the failure rate is %v: %.300s", lines, rate, out.String())
			}
		})
	}
}

// Guards against a streamed response that turns out malformed and is not logged.
func TestMalformedStreamIsLogged(t *testing.T) {
	for _, body := range []string{"zz\r\n", "0\r\nX-Sum\r\n\r\n"} {
		g, out := newLoggingGate(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
		c := newCall("/")
		if o, _ := g.Do(c); o != kqcall.OK() {
			t.Fatalf("outcome is %+v", o)
		}
		if _, err := io.ReadAll(c.Response.BodyStream()); err == nil {
			t.Errorf("%q counts as complete", body)
		}
		_ = c.Response.CloseBodyStream()
		if lines := strings.Count(out.String(), `"event":"response_malformed"`); lines != 1 {
			t.Errorf("%q: %d lines: %s", body, lines, out.String())
		}
	}
}
