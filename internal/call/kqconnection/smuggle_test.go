package kqconnection_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// startStreamingServer starts a server that streams requests' bodies, as nodes do, and returns
// a caller's connection to it and the paths of the requests that have run.
func startStreamingServer(t *testing.T) (caller net.Conn, paths func() string) {
	t.Helper()
	l := listen(t)
	var mu sync.Mutex
	var ran []string
	serve := kqconnection.Serve(func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		ran = append(ran, string(ctx.Path()))
		mu.Unlock()
		// What is behind the request is read ahead meanwhile.
		time.Sleep(50 * time.Millisecond)
		ctx.SetBody(ctx.Path())
	})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if ctx.Request.IsBodyStream() {
			body, _ := io.ReadAll(ctx.RequestBodyStream())
			ctx.Request.ResetBody()
			ctx.Request.SetBodyRaw(body)
		}
		serve(ctx)
	}, ReadTimeout: 10 * time.Second, MaxRequestBodySize: 1 << 20, StreamRequestBody: true}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _, _ = caller.Close(), l.Close(), <-ended })
	return caller, func() string {
		mu.Lock()
		defer mu.Unlock()
		return strings.Join(ran, " ")
	}
}

// Guards against a text in a body that runs as a request: where a head or its body ends is
// read differently by the HTTP library and by what reads ahead.
func TestTextInABodyIsNoRequest(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	long := strings.Repeat("x", 9000) + smuggled
	post := func(body string) string {
		return "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	for name, c := range map[string]struct {
		sent string
		want string
	}{
		"line feeds alone, with a body": {
			"GET /get HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc" + post("abc"+smuggled), "/get /post",
		},
		"line feeds alone": {
			"GET /get HTTP/1.1\nHost: a\n\n" + post("abc"+smuggled), "/get /post",
		},
		"a line feed alone before the empty line": {
			"GET /get HTTP/1.1\r\nHost: a\nContent-Length: 3\n\r\nabc" + post("abc"+smuggled), "/get /post",
		},
		"a second request with line feeds alone": {
			"GET /get HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\nHost: a\n\n" + post("abc"+smuggled), "/get /next /post",
		},
		"a second request with line feeds alone and a body": {
			"GET /get HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc" + post("abc"+smuggled), "/get /next /post",
		},
		"a second request with line feeds alone and a third": {
			"GET /get HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\nHost: a\n\nGET /third HTTP/1.1\r\nHost: a\r\n\r\n" + post("x"), "/get /next /third /post",
		},
		"a folded length": {
			"GET /get HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n " + strconv.Itoa(len(smuggled)) + "\r\n\r\n" + smuggled + post("x"), "/get /post",
		},
		"a folded length of a long body": {
			"GET /get HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n " + strconv.Itoa(len(long)) + "\r\n\r\n" + long + post("x"), "/get /post",
		},
		"a safe request with a long body": {
			"GET /get HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long + post("x"), "/get /post",
		},
		"a second safe request with a long body": {
			"GET /get HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long + post("x"), "/get /next /post",
		},
		"two lengths": {
			"GET /get HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: " + strconv.Itoa(len(smuggled)) + "\r\n\r\n" + smuggled + post("x"), "",
		},
		"a length with a sign": {
			"GET /get HTTP/1.1\r\nHost: a\r\nContent-Length: +" + strconv.Itoa(len(smuggled)) + "\r\n\r\n" + smuggled + post("x"), "",
		},
	} {
		for piece, size := range map[string]int{"at once": 1 << 20, "byte by byte": 1, "in parts": 37} {
			t.Run(name+", "+piece, func(t *testing.T) {
				t.Parallel()
				caller, paths := startStreamingServer(t)
				go func() {
					for rest := c.sent; rest != ""; {
						n := min(size, len(rest))
						if _, err := io.WriteString(caller, rest[:n]); err != nil {
							return
						}
						rest = rest[n:]
						if size < 1000 && len(rest)%64 == 0 {
							time.Sleep(100 * time.Microsecond)
						}
					}
				}()
				for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && paths() != c.want; time.Sleep(5 * time.Millisecond) {
				}
				time.Sleep(150 * time.Millisecond)
				got := paths()
				if strings.Contains(got, "smuggled") || c.want != "" && got != c.want {
					t.Errorf("requests %q ran, want %q", got, c.want)
				}
			})
		}
	}
}
