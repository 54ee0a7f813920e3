package kqsend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// responseTimeout is the deadline of calls whose response never becomes readable, and
// earlyTimeout how long finding that out may take where the bytes show it.
const (
	responseTimeout = 2 * time.Second
	earlyTimeout    = time.Second
)

// startResponder starts a server that sends the response to each request, and then closes the
// connection if closes is set.
func startResponder(t *testing.T, response string, closes bool) *testServer {
	t.Helper()
	return startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequestPath(r); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil || closes {
				_ = c.Close()
				return
			}
		}
	})
}

// readWhole returns the call's response body, and whether the response counts as complete.
func readWhole(c *kqcall.Call, o kqcall.Outcome) (body string, whole bool) {
	if o.Result != kqcall.Answered {
		return "", false
	}
	if !c.Response.IsBodyStream() {
		return string(c.Response.Body()), true
	}
	defer func() { _ = c.Response.CloseBodyStream() }()
	data, err := io.ReadAll(c.Response.BodyStream())
	return string(data), err == nil
}

// expectMalformed sends two calls to a peer with the response, which must both end soon, on
// connections of their own, as calls that may have run.
func expectMalformed(t *testing.T, response string, closes bool) {
	t.Helper()
	p := startResponder(t, response, closes)
	client := p.client()
	for range 2 {
		c := call("/", responseTimeout)
		began := time.Now()
		o := client.Do(c)
		if body, _ := readWhole(c, o); o != kqcall.UnknownOutcome(kqcall.MalformedResponse) {
			t.Errorf("outcome is %+v with status %d and body %q, want malformed_response", o, c.Response.StatusCode(), body)
		}
		if took := time.Since(began); took > earlyTimeout {
			t.Errorf("the call took %v", took)
		}
	}
	if n := p.opened.Load(); n != 2 {
		t.Errorf("%d connections were opened for two calls, want 2", n)
	}
}

// expectMalformedAll runs expectMalformed for each response, on connections that the peer keeps
// and on those that it closes.
func expectMalformedAll(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, response := range responses {
		t.Run(name, func(t *testing.T) { expectMalformed(t, response, false) })
		t.Run(name+"/closed", func(t *testing.T) { expectMalformed(t, response, true) })
	}
}

// Guards against a response without a valid status line that is taken for an answer.
func TestMalformedStatusLineIsNoAnswer(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	expectMalformedAll(t, map[string]string{
		"status 000":               "HTTP/1.1 000 OK" + rest,
		"status 0":                 "HTTP/1.1 0 OK" + rest,
		"status of two digits":     "HTTP/1.1 20 OK" + rest,
		"status of four digits":    "HTTP/1.1 2000 OK" + rest,
		"status 099":               "HTTP/1.1 099 OK" + rest,
		"status 600":               "HTTP/1.1 600 OK" + rest,
		"status 999":               "HTTP/1.1 999 OK" + rest,
		"status with overflow":     "HTTP/1.1 18446744073709551816 OK" + rest,
		"status with letters":      "HTTP/1.1 2x0 OK" + rest,
		"no status":                "HTTP/1.1" + rest,
		"two blanks":               "HTTP/1.1  200 OK" + rest,
		"another protocol":         "ICY 200 OK" + rest,
		"another version":          "HTTP/2.0 200 OK" + rest,
		"no minor version":         "HTTP/1 200 OK" + rest,
		"version in small letters": "http/1.1 200 OK" + rest,
		"control byte in reason":   "HTTP/1.1 200 O\x00K" + rest,
		"empty line first":         "\r\nHTTP/1.1 200 OK" + rest,
		"line feed alone":          "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok",
		"garbage":                  "\x16\x03\x01\x02\x00\x01\x00",
		"garbage behind interim":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK" + rest,
		"status 000 of an interim": "HTTP/1.1 001 OK\r\n\r\nHTTP/1.1 200 OK" + rest,
		"switching protocols":      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
	})
}

// Guards against a response whose head is spoilt where it tells the length of the body, or holds a
// line that is no field, and which is taken for a complete one, with other bytes as its body.
func TestMalformedFramingIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunks = "\r\n2\r\nok\r\n0\r\n\r\n"
	expectMalformedAll(t, map[string]string{
		"no digits":                            ok + "Content-Length: x\r\n\r\nok",
		"digits and others":                    ok + "Content-Length: 2x\r\n\r\nok",
		"no length":                            ok + "Content-Length:\r\n\r\nok",
		"plus":                                 ok + "Content-Length: +2\r\n\r\nok",
		"minus":                                ok + "Content-Length: -2\r\n\r\nok",
		"hexadecimal":                          ok + "Content-Length: 0x2\r\n\r\nok",
		"fraction":                             ok + "Content-Length: 2.0\r\n\r\nok",
		"two numbers":                          ok + "Content-Length: 2 2\r\n\r\nok",
		"length with overflow":                 ok + "Content-Length: 18446744073709551618\r\n\r\nok",
		"length that wraps to 2":               ok + "Content-Length: 36893488147419103234\r\n\r\nok",
		"length of 64 bits":                    ok + "Content-Length: 9223372036854775808\r\n\r\nok",
		"two lengths":                          ok + "Content-Length: 9\r\nContent-Length: 2\r\n\r\nok",
		"list of two lengths":                  ok + "Content-Length: 2, 9\r\n\r\nok",
		"list with an empty length":            ok + "Content-Length: 2,\r\n\r\nok",
		"length beside chunks":                 ok + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"chunks beside a length":               ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" + chunks,
		"spoilt length after chunks":           ok + "Transfer-Encoding: chunked\r\nContent-Length: x\r\n" + chunks,
		"unknown encoding":                     ok + "Transfer-Encoding: chunkedd\r\n" + chunks,
		"compressed chunks":                    ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
		"chunks that are not last":             ok + "Transfer-Encoding: chunked, gzip\r\n" + chunks,
		"chunked twice":                        ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"no encoding":                          ok + "Transfer-Encoding:\r\nContent-Length: 2\r\n\r\nok",
		"identity":                             ok + "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok",
		"chunks of HTTP/1.0":                   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"no colon":                             ok + "X-Name\r\nContent-Length: 2\r\n\r\nok",
		"no colon at the length":               ok + "Content-Length 2\r\n\r\nok",
		"no colon in the last line":            ok + "Content-Length: 2\r\nX-Name\r\n\r\nok",
		"folded line":                          ok + "X-Name: a\r\n Content-Length: 2\r\n\r\nok",
		"folded length":                        ok + "Content-Length: 2\r\n 3\r\n\r\nok",
		"folded with nothing":                  ok + "Content-Length: 2\r\n \r\n\r\nok",
		"first line folded":                    ok + " X-Name: a\r\nContent-Length: 2\r\n\r\nok",
		"line feed alone":                      ok + "X-Name: a\nContent-Length: 2\r\n\r\nok",
		"empty line with a line feed":          ok + "X-Name: a\r\n\nContent-Length: 2\r\n\r\nok",
		"head that ends with line feeds":       ok + "Content-Length: 2\r\n\nok",
		"carriage return alone":                ok + "X-Name: a\rContent-Length: 2\r\n\r\nok",
		"carriage return before the end":       ok + "Content-Length: 2\r\r\n\r\nok",
		"interim with a spoilt length":         "HTTP/1.1 103 Early Hints\r\nContent-Length: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"interim with a line that is no field": "HTTP/1.1 103 Early Hints\r\nno field\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"no content with a spoilt length":      "HTTP/1.1 204 No Content\r\nContent-Length: x\r\n\r\n",
	})
}

// Guards against a field whose name or value holds a byte that is not allowed there, and which is
// passed on or not recognized: its response would have another meaning for the next recipient.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	responses := map[string]string{
		"no name":                  ok + ": a\r\nContent-Length: 2\r\n\r\nok",
		"blank behind the length":  ok + "Content-Length : 2\r\n\r\nok",
		"tab behind the length":    ok + "Content-Length\t: 2\r\n\r\nok",
		"blank behind chunks":      ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in an interim name": "HTTP/1.1 103 Early Hints\r\nX Name: a\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	}
	for _, b := range []string{"\x00", "\x01", "\t", "\n", "\v", "\r", "\x1b", " ", "\"", "(", ",", "/", ";", "=", "@", "[", "{", "\x7f", "\x80", "\xff"} {
		responses[fmt.Sprintf("%q in the name", b)] = ok + "X" + b + "Name: a\r\nContent-Length: 2\r\n\r\nok"
		responses[fmt.Sprintf("%q before the name", b)] = ok + "X-Name: a\r\n" + b + "Content-Length: 2\r\n\r\nok"
		responses[fmt.Sprintf("%q in the name of the length", b)] = ok + "Content" + b + "-Length: 2\r\n\r\nok"
	}
	for _, b := range []string{"\x00", "\x01", "\b", "\v", "\f", "\r", "\x1b", "\x7f"} {
		responses[fmt.Sprintf("%q in a value", b)] = ok + "X-Name: a" + b + "b\r\nContent-Length: 2\r\n\r\nok"
		responses[fmt.Sprintf("%q behind the length", b)] = ok + "Content-Length: 2" + b + "\r\n\r\nok"
	}
	expectMalformedAll(t, responses)
}

// Guards against a response that is refused although it is valid, in an unusual form.
func TestUnusualResponsesPassWhole(t *testing.T) {
	for name, c := range map[string]struct {
		method, response, body string
		status                 int
		closes                 bool
	}{
		"empty reason":                  {response: "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"no reason":                     {response: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"obsolete bytes in the reason":  {response: "HTTP/1.1 200 \xfcber\tall\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"status 599":                    {response: "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 599},
		"HTTP/1.0":                      {response: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"HTTP/1.0 until the close":      {response: "HTTP/1.0 200 OK\r\n\r\nok", body: "ok", closes: true},
		"HTTP/1.2":                      {response: "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"until the close":               {response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", body: "ok", closes: true},
		"no fields":                     {response: "HTTP/1.1 200 OK\r\n\r\nok", body: "ok", closes: true},
		"obsolete bytes in a value":     {response: "HTTP/1.1 200 OK\r\nX-Name: \xfc\xff\x80\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"empty value":                   {response: "HTTP/1.1 200 OK\r\nX-Name:\r\nX-Other: \t \r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"blanks around values":          {response: "HTTP/1.1 200 OK\r\nX-Name:\t a b\t \r\nContent-Length: \t2\t \r\n\r\nok", body: "ok"},
		"no blanks":                     {response: "HTTP/1.1 200 OK\r\nContent-Length:2\r\n\r\nok", body: "ok"},
		"token characters":              {response: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: x\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"colons in a value":             {response: "HTTP/1.1 200 OK\r\nX-Name: :a: b:\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"small letters":                 {response: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", body: "ok"},
		"leading zeros":                 {response: "HTTP/1.1 200 OK\r\nContent-Length: 0002\r\n\r\nok", body: "ok"},
		"equal lengths in two fields":   {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"equal lengths in a list":       {response: "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", body: "ok"},
		"chunks":                        {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", body: "ok"},
		"chunked in capitals":           {response: "HTTP/1.1 200 OK\r\ntransfer-encoding: \tCHUNKED \r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		"chunk extensions":              {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b;c=\"d\"\r\nok\r\n0;e\r\n\r\n", body: "ok"},
		"chunk size with leading zeros": {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0002\r\nok\r\n000\r\n\r\n", body: "ok"},
		"trailer":                       {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: \xfc 1\r\nX-Empty:\r\n\r\n", body: "ok"},
		"no content":                    {response: "HTTP/1.1 204 No Content\r\n\r\n", status: fasthttp.StatusNoContent},
		"not modified":                  {response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", status: fasthttp.StatusNotModified},
		"not modified in chunks":        {response: "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", status: fasthttp.StatusNotModified},
		"answer to HEAD":                {method: http.MethodHead, response: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
		"answer to HEAD in chunks":      {method: http.MethodHead, response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"interim responses":             {response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			client := startResponder(t, c.response, c.closes).client()
			for range 2 {
				q := call("/", callTimeout)
				if c.method != "" {
					q.Request.Header.SetMethod(c.method)
				}
				o := client.Do(q)
				body, whole := readWhole(q, o)
				if !whole || body != c.body || q.Response.StatusCode() != max(c.status, fasthttp.StatusOK) {
					t.Errorf("outcome is %+v with status %d and body %q, complete %t", o, q.Response.StatusCode(), body, whole)
				}
			}
		})
	}
}

// Guards against a malformed interim response by which a body is sent that its peer did not ask
// for. The peer has not got the body, so the call has not run.
func TestMalformedInterimAsksForNoBody(t *testing.T) {
	for _, response := range []string{"HTTP/1.1 000 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\nX Name: a\r\n\r\n", "HTTP/1.1 100 Continue\r\nno field\r\n\r\n"} {
		received := make(chan int64, 1)
		p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
			n, _ := io.Copy(io.Discard, q.Body)
			received <- n
		})
		client := newAnnouncingClient(p)
		c := call("/", responseTimeout)
		c.Request.SetBodyString(strings.Repeat("x", 1000))
		if o := client.Do(c); o != kqcall.Refuse(kqcall.ConnectFailed) {
			t.Errorf("%q: outcome is %+v, want a call that has not run", response, o)
		}
		if n := <-received; n != 0 {
			t.Errorf("%q: the peer got %d bytes of the body", response, n)
		}
	}
}

func newAnnouncingClient(p *testServer) *kqsend.Client {
	return kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithAnnouncedBodies(1))
}
