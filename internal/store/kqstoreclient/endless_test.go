package kqstoreclient_test

import (
	"errors"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrawserver"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstoreclient"
)

const (
	// endlessTimeout is the timeout of calls whose response does not end.
	endlessTimeout = time.Second
	// endlessMemory is what such a call may allocate, in bytes, the test's server included: half
	// of what a node may hold for control.
	endlessMemory = 32 << 20
)

// startStore starts a store that answers each request with the response and then, as long as the
// connection is open, with the rest.
func startStore(t *testing.T, response, rest string) kqstore.Store {
	t.Helper()
	server, err := kqrawserver.Start(response, rest)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return kqstoreclient.New(server.URL(), kqstoreclient.WithTimeout(endlessTimeout))
}

// Guards against a response without end that a node keeps in memory until its timeout.
func TestEndlessResponsesKeepWithinMemory(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct{ response, rest string }{
		"text":          {"HTTP/1.1 200 OK\r\n\r\n{\"error\":\"", block},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", "10000\r\n" + strings.Repeat(" ", 64<<10) + "\r\n"},
		"fields":        {"HTTP/1.1 200 OK\r\n", "X-Name: " + block + "\r\n"},
		"a field":       {"HTTP/1.1 200 OK\r\nX-Name: ", block},
		"status line":   {"HTTP/1.1 200 ", block},
		"interim heads": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startStore(t, c.response, c.rest)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			if _, err := s.Get(t.Context(), "a"); !errors.Is(err, kqstore.ErrUnavailable) {
				t.Errorf("error %v, want ErrUnavailable", err)
			}
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if got := after.TotalAlloc - before.TotalAlloc; got > endlessMemory {
				t.Errorf("%d bytes were allocated, want at most %d", got, endlessMemory)
			}
			if took > 2*endlessTimeout {
				t.Errorf("the call took %v", took)
			}
		})
	}
}
