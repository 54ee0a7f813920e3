package kqsend_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhead"
)

// Guards against a chunked body or a trailer that is malformed and counts as complete, or after
// which the connection is used again.
func TestMalformedChunksAreNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"no size":                            "\r\nok\r\n0\r\n\r\n",
		"no size but an extension":           ";a=b\r\nok\r\n0\r\n\r\n",
		"no hexadecimal size":                "2g\r\nok\r\n0\r\n\r\n",
		"sign":                               "+2\r\nok\r\n0\r\n\r\n",
		"prefix":                             "0x2\r\nok\r\n0\r\n\r\n",
		"blank before the size":              " 2\r\nok\r\n0\r\n\r\n",
		"size with overflow":                 "10000000000000002\r\nok\r\n0\r\n\r\n",
		"size that ends with a line feed":    "2\nok\r\n0\r\n\r\n",
		"carriage return in the size":        "2\r;a\r\nok\r\n0\r\n\r\n",
		"chunk without an end":               "2\r\nok0\r\n\r\n",
		"chunk that ends with a line feed":   "2\r\nok\n0\r\n\r\n",
		"chunk longer than its size":         "2\r\nok!\r\n0\r\n\r\n",
		"last chunk with a line feed":        "2\r\nok\r\n0\n\r\n",
		"trailer that ends with a line feed": "2\r\nok\r\n0\r\n\n",
		"field that ends with a line feed":   "2\r\nok\r\n0\r\nX-Sum: 1\n\r\n",
		"trailer of one byte":                "2\r\nok\r\n0\r\nX\n",
		"trailer without a colon":            "2\r\nok\r\n0\r\nX-Sum\r\n\r\n",
		"trailer with a blank in a name":     "2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n",
		"trailer with a control byte":        "2\r\nok\r\n0\r\nX-Sum: \x001\r\n\r\n",
		"trailer that is folded":             "2\r\nok\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n",
		"trailer that is another response":   "2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			p := startResponder(t, head+body, false)
			client := p.client()
			for range 2 {
				c := call("/", responseTimeout)
				began := time.Now()
				if o := client.Do(c); o != kqcall.OK() {
					t.Fatalf("outcome is %+v", o)
				}
				got, err := io.ReadAll(c.Response.BodyStream())
				if _, again := c.Response.BodyStream().Read(make([]byte, 8)); err == nil || again == nil || again == io.EOF {
					t.Errorf("the body %q ends with %v, then %v", got, err, again)
				}
				_ = c.Response.CloseBodyStream()
				if !c.BodyFailed || !errors.Is(c.ResponseError, kqhead.ErrMalformed) {
					t.Errorf("the failure of the body is recorded: %t, %v", c.BodyFailed, c.ResponseError)
				}
				if took := time.Since(began); took > earlyTimeout {
					t.Errorf("the call took %v", took)
				}
			}
			if n := p.opened.Load(); n != 2 {
				t.Errorf("%d connections were opened for two calls, want 2", n)
			}
		})
	}
}

// Guards against a body that is cut off and counts as complete, or is recorded as malformed.
func TestBrokenOffBodiesAreNotMalformed(t *testing.T) {
	for name, response := range map[string]string{
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"size":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nok" + strings.Repeat("x", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			c := call("/", responseTimeout)
			if o := startResponder(t, response, true).client().Do(c); o != kqcall.OK() {
				t.Fatalf("outcome is %+v", o)
			}
			if _, err := io.ReadAll(c.Response.BodyStream()); err == nil {
				t.Error("the body counts as complete")
			}
			if !c.BodyFailed || c.ResponseError != nil {
				t.Errorf("the failure of the body is recorded: %t, %v", c.BodyFailed, c.ResponseError)
			}
			_ = c.Response.CloseBodyStream()
		})
	}
}
