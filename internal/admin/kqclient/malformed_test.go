package kqclient_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqrawserver"
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
			server, err := kqrawserver.Start(response, "")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			client, err := kqclient.New(kqclient.Access{URL: server.URL()})
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
