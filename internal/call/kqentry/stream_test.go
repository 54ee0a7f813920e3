package kqentry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
)

// Guards against corrupting bodies of all sizes, of known and unknown length, on reused
// connections. Response bodies above 64 KiB or of unknown length are streamed, others are
// buffered. A missing or extra byte would corrupt a body, and bytes left over would be read
// as the next call's response.
func TestLargeBodiesPassWhole(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 0, 0, 0)
	server := s.start(t, kqfleet.Spec{Node: "back", Domain: "one", Region: "one"})
	startHTTPUpstream(t, server, "store", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path != "/chunked" {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		_, _ = w.Write(body)
	})
	poll(t, "the upstream is known", func() bool {
		o, err := s.send(http.MethodGet, "warm")
		return err == nil && o.Result == kqcall.Answered
	})
	for _, size := range []int{0, 1, 100, 4096, 64 << 10, 64<<10 + 1, 3 << 20} {
		for _, path := range []string{"/known", "/chunked"} {
			for _, known := range []bool{true, false} {
				sent := bytes.Repeat([]byte{byte(size), 'x', 'y'}, size/3+1)[:size]
				var body io.Reader = bytes.NewReader(sent)
				if !known {
					body = io.MultiReader(body)
				}
				got, status := upload(t, "http://"+string(s.front.Node.EntryAddress())+path, body)
				if status != http.StatusOK || !bytes.Equal(got, sent) {
					t.Errorf("%d bytes to %s, length known %v: status %d, %d bytes back", size, path, known, status, len(got))
				}
			}
		}
	}
}

// upload sends the body and returns the response's body and status.
func upload(t *testing.T, url string, body io.Reader) ([]byte, int) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, body)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "store"
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Errorf("upload: %v", err)
		return nil, 0
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(a.Body)
	if err != nil {
		t.Errorf("read response: %v", err)
	}
	return got, a.StatusCode
}
