package kqclient_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
)

// Guards against a malformed response that a command shows as the fleet's state.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":     "HTTP/1.1 000 OK\r\nConnection: close\r\n\r\n{\"name\":\"a\"}",
		"status 600":     "HTTP/1.1 600 OK\r\nConnection: close\r\n\r\n{\"name\":\"a\"}",
		"spoilt length":  "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n{\"name\":\"a\"}",
		"short length":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"name\":\"a\"}",
		"two lengths":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 12\r\n\r\n{\"name\":\"a\"}",
		"no field":       "HTTP/1.1 200 OK\r\nX-Name\r\nConnection: close\r\n\r\n{\"name\":\"a\"}",
		"control byte":   "HTTP/1.1 200 OK\r\nX\x01Name: a\r\nConnection: close\r\n\r\n{\"name\":\"a\"}",
		"no body":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"cut off":        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"name\":\"a\"",
		"broken chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"bytes, no HTTP": "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, response)
				}
				_ = c.Close()
			}()
			client, err := kqclient.New(kqclient.Access{URL: "http://" + l.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			var value struct{ Name string }
			if err := client.Get(t.Context(), "/v1/fleet", &value); err == nil {
				t.Errorf("the command would show %+v", value)
			}
		})
	}
}
